#pragma once

#include <string>
#include <string_view>

namespace cuminferry {

/** Takes the first segment off a path without its leading slash. */
std::string_view TakeSegment(std::string_view& path);

/** "{name}", which stands for any one segment that is not empty. */
bool IsPlaceholder(std::string_view segment);

/** Closes a pattern and stands for all that follows, also for nothing. */
inline constexpr std::string_view kRestOfPath = "**";

/** Longest pattern, and most segments in one. */
inline constexpr std::size_t kLongestPattern = 512;
inline constexpr std::size_t kMostSegments = 16;

/** The path of a request as patterns are compared with it: without the leading
    slash and without a query. */
std::string_view ComparedPath(std::string_view path);

/** What is wrong with a pattern and what would be accepted; empty where it is good. */
std::string FaultOfPattern(std::string_view pattern);

/** Whether two good patterns match the same paths: placeholders may have other names. */
bool SamePaths(std::string_view pattern, std::string_view other);

}  // namespace cuminferry
