#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminferry {

/** The accepted word that a mistyped one most likely stands for; empty where
    none is near (more than a third of the letters would have to change). */
std::string_view NearestWord(std::string_view mistyped, std::span<const std::string> accepted);

/** "a, b or c" */
std::string JoinWords(std::span<const std::string> words);

/** "; did you mean \"weight\"?", or nothing where no accepted word is near. */
std::string DidYouMean(std::string_view mistyped, std::span<const std::string> accepted);

}  // namespace cuminferry
