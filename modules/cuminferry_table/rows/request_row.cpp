#include "cuminferry_table/rows/request_row.h"

namespace cuminferry {
namespace {

std::string_view TakeSegment(std::string_view& path) {
  const std::size_t slash = path.find('/');
  const std::string_view segment = path.substr(0, slash);
  path.remove_prefix(slash == std::string_view::npos ? path.size() : slash + 1);
  return segment;
}

bool IsPlaceholder(std::string_view segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

}  // namespace

bool request_row::Matches(std::string_view request_method, std::string_view path) const {
  if (request_method != method || path.empty() || path.front() != '/') {
    return false;
  }
  std::string_view pattern = path_pattern;
  pattern.remove_prefix(1);
  path = path.substr(1, path.find('?') - 1);
  while (!pattern.empty() && !path.empty()) {
    const std::string_view wanted = TakeSegment(pattern);
    if (wanted == "**") {
      return true;
    }
    const std::string_view segment = TakeSegment(path);
    if (wanted != segment && !(IsPlaceholder(wanted) && !segment.empty())) {
      return false;
    }
  }
  return path.empty() && (pattern.empty() || pattern == "**");
}

}  // namespace cuminferry
