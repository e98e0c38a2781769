#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

std::uint32_t waits_section::FindOrAddCallee(std::string_view service) {
  for (std::size_t index = 0; index < callees.size(); ++index) {
    if (callees[index].service == service) {
      return static_cast<std::uint32_t>(index);
    }
  }
  if (callees.size() >= kMaxCallees) {
    return callee_row_record::kNoCallee;
  }
  callees.push_back({std::string(service), 0, {}});
  return static_cast<std::uint32_t>(callees.size() - 1);
}

}  // namespace cuminferry
