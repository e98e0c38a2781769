#pragma once

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminferry {

// Debian's Abseil has a string_view of its own that std::string_view does not
// convert to; these take its place for views.

/** Whether two ASCII texts are the same but for the case of their letters. */
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
std::string ToLowerAscii(std::string_view text);
/** Without blanks and tabs at both ends. */
std::string_view TrimBlanks(std::string_view text);
/** The parts between separators; at most `most` parts, the last with the rest. */
std::vector<std::string_view> SplitText(std::string_view text, char separator,
                                        std::size_t most = static_cast<std::size_t>(-1));

/** A whole number, and nothing else. */
template <typename Number>
std::optional<Number> ParseWhole(std::string_view text, int base = 10) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, number, base);
  if (text.empty() || error != std::errc() || read_to != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace cuminferry
