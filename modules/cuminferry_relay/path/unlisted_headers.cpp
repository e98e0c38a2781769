#include "cuminferry_relay/path/unlisted_headers.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cuminferry {
namespace {

constexpr std::string_view kInstanceParameter = "id=";
constexpr std::string_view kRunParameter = "run=";
constexpr std::string_view kUnlistedParameter = "unlisted_ms=";
// A longer time says no more, and one near the largest integer would overflow as microseconds.
constexpr std::int64_t kMaxUnlistedMillis = 24 * 3'600 * 1'000;

std::int64_t ToMillis(duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::optional<unlisted_notice> ToNotice(std::string_view run, std::string_view unlisted_millis) {
  const auto started = ParseInteger<std::int64_t>(run);
  const auto unlisted_for = ParseInteger<std::int64_t>(unlisted_millis);
  if (!started || !unlisted_for || *unlisted_for < 0) {
    return std::nullopt;
  }
  return unlisted_notice{
      .started_millis = *started,
      .unlisted_for = std::chrono::milliseconds(std::min(*unlisted_for, kMaxUnlistedMillis))};
}

// Returns the value of a parameter of the query; empty where it is absent.
std::string_view ValueOf(std::string_view target, std::string_view parameter) {
  const auto begin = target.find('?');
  if (begin == std::string_view::npos) {
    return {};
  }
  for (const std::string_view part : SplitText(target.substr(begin + 1), '&')) {
    if (part.starts_with(parameter)) {
      return part.substr(parameter.size());
    }
  }
  return {};
}

// Whether a character may be part of a query as it is (RFC 3986, section 2.3).
bool IsUnreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("-._~").find(character) != std::string_view::npos;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

// Returns nothing if an escape is damaged.
std::optional<std::string> PercentDecode(std::string_view text) {
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      decoded += text[at];
      continue;
    }
    const std::string_view digits = text.substr(at + 1, kDigits);
    const auto byte = ParseInteger<std::uint8_t>(digits, 16);
    if (digits.size() < kDigits || !byte) {
      return std::nullopt;
    }
    decoded += static_cast<char>(*byte);
    at += kDigits;
  }
  return decoded;
}

}  // namespace

std::string unlisted_notice::ToText() const {
  return fmt::format("{} {}", started_millis, ToMillis(unlisted_for));
}

std::optional<unlisted_notice> unlisted_notice::Parse(std::string_view text) {
  const std::vector<std::string_view> parts = SplitText(text, ' ');
  return parts.size() < 2 ? std::nullopt : ToNotice(parts[0], parts[1]);
}

std::string registration_query::ToTarget() const {
  return fmt::format("{}?{}{}&{}{}&{}{}", kRegistrationPath, kInstanceParameter,
                     PercentEncode(instance), kRunParameter, notice.started_millis,
                     kUnlistedParameter, ToMillis(notice.unlisted_for));
}

std::optional<registration_query> registration_query::Parse(std::string_view target) {
  auto instance = PercentDecode(ValueOf(target, kInstanceParameter));
  const auto notice = ToNotice(ValueOf(target, kRunParameter), ValueOf(target, kUnlistedParameter));
  if (!instance || instance->empty() || !notice) {
    return std::nullopt;
  }
  return registration_query{.instance = *std::move(instance), .notice = *notice};
}

}  // namespace cuminferry
