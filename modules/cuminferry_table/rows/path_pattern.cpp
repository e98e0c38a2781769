#include "cuminferry_table/rows/path_pattern.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace cuminferry {
namespace {

/** Characters that a literal segment may contain in addition to letters and digits. */
constexpr std::string_view kLiteralCharacters = "-._~!$&'()+,;=:@%";
constexpr std::string_view kAcceptedForms =
    "; accepted: \"/permits/{id}\": literal segments, {name} for one segment, a closing ** for "
    "all that follows";

bool IsLiteral(std::string_view segment) {
  return !segment.empty() && std::ranges::all_of(segment, [](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           kLiteralCharacters.find(character) != std::string_view::npos;
  });
}

bool IsNamedPlaceholder(std::string_view segment) {
  if (!IsPlaceholder(segment)) {
    return false;
  }
  const std::string_view name = segment.substr(1, segment.size() - 2);
  return std::ranges::all_of(name, [](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '_' ||
           character == '-';
  });
}

std::string DescribeSegmentError(std::string_view rest) {
  std::size_t segments = 0;
  while (!rest.empty()) {
    const std::string_view segment = TakeSegment(rest);
    if (++segments > kMaxSegments) {
      return "more than " + std::to_string(kMaxSegments) + " segments";
    }
    if (segment == kAnyRemainder) {
      return rest.empty() ? "" : "** stands before the end";
    }
    if (segment.empty()) {
      return "a segment is empty";
    }
    if (!IsLiteral(segment) && !IsNamedPlaceholder(segment)) {
      return "the segment \"" + std::string(segment) + "\" cannot be read";
    }
  }
  return "";
}

}  // namespace

std::string_view TakeSegment(std::string_view& path) {
  const std::size_t slash = path.find('/');
  const std::string_view segment = path.substr(0, slash);
  path.remove_prefix(slash == std::string_view::npos ? path.size() : slash + 1);
  return segment;
}

bool IsPlaceholder(std::string_view segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

std::string_view NormalizedPath(std::string_view path) {
  path = path.substr(0, path.find('?'));
  path.remove_prefix(1);
  return path;
}

std::string DescribePatternError(std::string_view pattern) {
  std::string error;
  if (pattern.empty() || pattern.front() != '/') {
    error = "it does not begin with /";
  } else if (pattern.size() > kMaxPatternLength) {
    error = "longer than " + std::to_string(kMaxPatternLength) + " characters";
  } else if (pattern.size() > 1 && pattern.back() == '/') {
    error = "it ends with /; a request's closing / is ignored anyway";
  } else {
    error = DescribeSegmentError(pattern.substr(1));
  }
  return error.empty() ? error : error + std::string(kAcceptedForms);
}

bool MatchSamePaths(std::string_view pattern, std::string_view other) {
  pattern = NormalizedPath(pattern);
  other = NormalizedPath(other);
  while (!pattern.empty() && !other.empty()) {
    const std::string_view left = TakeSegment(pattern);
    const std::string_view right = TakeSegment(other);
    if (left != right && !(IsPlaceholder(left) && IsPlaceholder(right))) {
      return false;
    }
  }
  return pattern.empty() && other.empty();
}

}  // namespace cuminferry
