#include "cuminferry_core/text/ascii_text.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

char LowerAscii(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return LowerAscii(a) == LowerAscii(b); });
}

std::string ToLowerAscii(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerAscii);
  return lower;
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

std::vector<std::string_view> SplitText(std::string_view text, char separator,
                                        std::size_t max_parts) {
  std::vector<std::string_view> parts;
  while (parts.size() + 1 < max_parts) {
    const auto at = text.find(separator);
    if (at == std::string_view::npos) {
      break;
    }
    parts.push_back(text.substr(0, at));
    text.remove_prefix(at + 1);
  }
  parts.push_back(text);
  return parts;
}

std::optional<double> ParseDecimalNumber(std::string_view text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool is_number = error == std::errc() && read_to == end && std::isfinite(number);
  return is_number ? std::optional(number) : std::nullopt;
}

}  // namespace cuminferry
