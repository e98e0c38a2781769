#include "cuminferry_table/reading/near_miss.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace cuminferry {
namespace {

/** A longer word is no key that was mistyped, and comparing costs its square. */
constexpr std::size_t kLongestWord = 64;

char Folded(char letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

/** Levenshtein distance, without regard to case. */
std::size_t EditDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> previous(to.size() + 1);
  for (std::size_t column = 0; column <= to.size(); ++column) {
    previous[column] = column;
  }
  std::vector<std::size_t> current(to.size() + 1);
  for (std::size_t row = 1; row <= from.size(); ++row) {
    current[0] = row;
    for (std::size_t column = 1; column <= to.size(); ++column) {
      const std::size_t changed =
          previous[column - 1] + (Folded(from[row - 1]) == Folded(to[column - 1]) ? 0 : 1);
      current[column] = std::min({previous[column] + 1, current[column - 1] + 1, changed});
    }
    std::swap(previous, current);
  }
  return previous[to.size()];
}

}  // namespace

std::string_view NearestWord(std::string_view mistyped, std::span<const std::string> accepted) {
  if (mistyped.size() > kLongestWord) {
    return {};
  }
  std::string_view nearest;
  std::size_t least = std::max<std::size_t>(1, mistyped.size() / 3) + 1;
  for (const std::string& word : accepted) {
    const std::size_t distance = EditDistance(mistyped, word);
    if (distance < least) {
      least = distance;
      nearest = word;
    }
  }
  return nearest;
}

std::string JoinWords(std::span<const std::string> words) {
  std::string joined;
  for (std::size_t at = 0; at < words.size(); ++at) {
    if (at > 0) {
      joined += at + 1 == words.size() ? " or " : ", ";
    }
    joined += words[at];
  }
  return joined;
}

std::string DidYouMean(std::string_view mistyped, std::span<const std::string> accepted) {
  const std::string_view nearest = NearestWord(mistyped, accepted);
  return nearest.empty() ? std::string() : "; did you mean \"" + std::string(nearest) + "\"?";
}

}  // namespace cuminferry
