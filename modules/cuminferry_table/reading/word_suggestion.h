#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminferry {

/** Returns the accepted word with the smallest edit distance to a mistyped one. Returns an empty
    text where more than a third of the characters would have to change for every accepted word;
    one change is always allowed. */
std::string_view NearestWord(std::string_view mistyped, std::span<const std::string> accepted);

/** Joins words to an enumeration such as "a, b or c". */
std::string JoinWords(std::span<const std::string> words);

/** Returns a suggestion such as "; did you mean \"weight\"?", or an empty text where
    NearestWord() finds none. */
std::string DidYouMean(std::string_view mistyped, std::span<const std::string> accepted);

}  // namespace cuminferry
