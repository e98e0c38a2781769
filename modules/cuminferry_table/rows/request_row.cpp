#include "cuminferry_table/rows/request_row.h"

#include "cuminferry_table/rows/path_pattern.h"

namespace cuminferry {

bool request_row::Matches(std::string_view request_method, std::string_view path) const {
  if (request_method != method || path.empty() || path.front() != '/') {
    return false;
  }
  std::string_view pattern = NormalizedPath(path_pattern);
  path = NormalizedPath(path);
  while (!pattern.empty() && !path.empty()) {
    const std::string_view expected = TakeSegment(pattern);
    if (expected == kAnyRemainder) {
      return true;
    }
    const std::string_view segment = TakeSegment(path);
    if (expected != segment && !(IsPlaceholder(expected) && !segment.empty())) {
      return false;
    }
  }
  return path.empty() && (pattern.empty() || pattern == kAnyRemainder);
}

}  // namespace cuminferry
