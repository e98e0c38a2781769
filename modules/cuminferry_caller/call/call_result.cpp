#include "cuminferry_caller/call/call_result.h"

#include <array>

namespace cuminferry {

std::string_view NameOf(const call_result& result) {
  constexpr std::array<std::string_view, 3> kNames = {"completed", "not_run", "unknown"};
  return kNames[result.index()];
}

}  // namespace cuminferry
