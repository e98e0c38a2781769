#pragma once

#include <string>
#include <string_view>

namespace cuminferry {

/** Removes the first segment of a path, which must have no leading slash, and returns it. */
std::string_view TakeSegment(std::string_view& path);

/** Whether a segment of a pattern is "{name}", which matches any one segment that is not empty. */
bool IsPlaceholder(std::string_view segment);

/** The last segment of a pattern that matches any number of further segments, also none. */
inline constexpr std::string_view kAnyRemainder = "**";

/** Maximum length of a pattern in characters, and maximum number of its segments. */
inline constexpr std::size_t kMaxPatternLength = 512;
inline constexpr std::size_t kMaxSegments = 16;

/** Returns a path or pattern in the form in which both are compared: without the leading slash and
    without a query. */
std::string_view NormalizedPath(std::string_view path);

/** Describes what is wrong with a pattern and what is accepted; empty for a valid pattern. */
std::string DescribePatternError(std::string_view pattern);

/** Whether two valid patterns match the same paths. The names of placeholders may differ. */
bool MatchSamePaths(std::string_view pattern, std::string_view other);

}  // namespace cuminferry
