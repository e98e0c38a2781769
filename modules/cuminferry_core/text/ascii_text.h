#pragma once

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminferry {

// Debian's Abseil is built with its own string_view type, to which std::string_view does not
// convert. These functions replace Abseil's text functions for std::string_view.

/** Returns whether two ASCII texts are equal apart from the case of their letters. */
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
std::string ToLowerAscii(std::string_view text);
/** Returns the text without leading and trailing spaces and tabs. */
std::string_view TrimBlanks(std::string_view text);
/** Splits the text at the separators into at most `max_parts` parts; the last part holds the rest.
 */
std::vector<std::string_view> SplitText(std::string_view text, char separator,
                                        std::size_t max_parts = static_cast<std::size_t>(-1));

/** Parses a decimal number without an exponent; nullopt if the text holds anything else or the
    number is not finite. */
std::optional<double> ParseDecimalNumber(std::string_view text);

/** Parses an integer; nullopt if the text holds anything else or the number is out of range. */
template <typename Number>
std::optional<Number> ParseInteger(std::string_view text, int base = 10) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, number, base);
  if (text.empty() || error != std::errc() || read_to != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace cuminferry
