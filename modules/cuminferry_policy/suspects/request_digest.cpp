#include "cuminferry_policy/suspects/request_digest.h"

#include <sodium.h>

#include <cstring>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/routes/hex_text.h"

namespace cuminferry {
namespace {

void UpdateHash(crypto_generichash_state& state, std::string_view part) {
  const std::uint64_t length = part.size();
  std::array<unsigned char, sizeof(length)> prefix{};
  std::memcpy(prefix.data(), &length, sizeof(length));
  crypto_generichash_update(&state, prefix.data(), prefix.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()), length);
}

}  // namespace

request_digest request_digest::Of(const request_parts& parts) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kBytes);
  UpdateHash(state, parts.method);
  UpdateHash(state, parts.host);
  UpdateHash(state, parts.path);
  UpdateHash(state, parts.customer);
  UpdateHash(state, parts.body.substr(0, kMaxDigestedBodyBytes));
  UpdateHash(state, parts.is_body_truncated ? "longer" : "whole");
  request_digest digest;
  crypto_generichash_final(&state, digest.bytes_.data(), kBytes);
  return digest;
}

std::optional<request_digest> request_digest::Parse(std::string_view text) {
  request_digest digest;
  return ReadHexText(text, digest.bytes_) ? std::optional(digest) : std::nullopt;
}

std::string request_digest::ToText() const { return ToHexText(bytes_); }

std::uint64_t request_digest::first_64_bits() const {
  std::uint64_t bits = 0;
  std::memcpy(&bits, bytes_.data(), sizeof(bits));
  return bits;
}

std::uint64_t RouteHashOf(const request_parts& parts) {
  constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15;
  return (DigestOf(parts.host) * kMix ^ DigestOf(parts.path)) * kMix ^ DigestOf(parts.customer);
}

}  // namespace cuminferry
