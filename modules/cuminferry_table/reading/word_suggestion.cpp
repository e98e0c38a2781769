#include "cuminferry_table/reading/word_suggestion.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace cuminferry {
namespace {

/** Maximum length of a word that is compared. A longer word is not a mistyped key, and the cost of
    a comparison grows with the product of both lengths. */
constexpr std::size_t kMaxWordLength = 64;

char ToLower(char character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

/** Returns the Levenshtein distance, ignoring case. */
std::size_t EditDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> previous(to.size() + 1);
  for (std::size_t column = 0; column <= to.size(); ++column) {
    previous[column] = column;
  }
  std::vector<std::size_t> current(to.size() + 1);
  for (std::size_t row = 1; row <= from.size(); ++row) {
    current[0] = row;
    for (std::size_t column = 1; column <= to.size(); ++column) {
      const std::size_t substituted =
          previous[column - 1] + (ToLower(from[row - 1]) == ToLower(to[column - 1]) ? 0 : 1);
      current[column] = std::min({previous[column] + 1, current[column - 1] + 1, substituted});
    }
    std::swap(previous, current);
  }
  return previous[to.size()];
}

}  // namespace

std::string_view NearestWord(std::string_view mistyped, std::span<const std::string> accepted) {
  if (mistyped.size() > kMaxWordLength) {
    return {};
  }
  std::string_view nearest;
  std::size_t best_distance = std::max<std::size_t>(1, mistyped.size() / 3) + 1;
  for (const std::string& word : accepted) {
    const std::size_t distance = EditDistance(mistyped, word);
    if (distance < best_distance) {
      best_distance = distance;
      nearest = word;
    }
  }
  return nearest;
}

std::string JoinWords(std::span<const std::string> words) {
  std::string joined;
  for (std::size_t index = 0; index < words.size(); ++index) {
    if (index > 0) {
      joined += index + 1 == words.size() ? " or " : ", ";
    }
    joined += words[index];
  }
  return joined;
}

std::string DidYouMean(std::string_view mistyped, std::span<const std::string> accepted) {
  const std::string_view nearest = NearestWord(mistyped, accepted);
  return nearest.empty() ? std::string() : "; did you mean \"" + std::string(nearest) + "\"?";
}

}  // namespace cuminferry
