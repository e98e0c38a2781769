#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

std::uint32_t waits_section::PlaceOf(std::string_view service) {
  for (std::size_t place = 0; place < callees.size(); ++place) {
    if (callees[place].service == service) {
      return static_cast<std::uint32_t>(place);
    }
  }
  if (callees.size() >= kCalleeBound) {
    return callee_row_record::kNoCallee;
  }
  callees.push_back({std::string(service), 0, {}});
  return static_cast<std::uint32_t>(callees.size() - 1);
}

}  // namespace cuminferry
