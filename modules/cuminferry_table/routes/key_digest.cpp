#include "cuminferry_table/routes/key_digest.h"

#include <sodium.h>

#include "cuminferry_table/routes/hex_text.h"

namespace cuminferry {

key_digest key_digest::Of(std::string_view key) {
  static_assert(kBytes >= crypto_generichash_BYTES_MIN);
  key_digest digest;
  crypto_generichash(digest.bytes_.data(), digest.bytes_.size(),
                     reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
  return digest;
}

std::optional<key_digest> key_digest::Parse(std::string_view text) {
  key_digest digest;
  return ReadHexText(text, digest.bytes_) ? std::optional(digest) : std::nullopt;
}

std::string key_digest::ToText() const { return ToHexText(bytes_); }

}  // namespace cuminferry
