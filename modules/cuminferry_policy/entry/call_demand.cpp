#include "cuminferry_policy/entry/call_demand.h"

#include <algorithm>
#include <utility>

namespace cuminferry {

void call_demand::OnRunStart(const std::map<std::string, double>& calls, double represented) {
  for (const auto& [called, count] : calls) {
    double& pending = demand_[called];
    pending = std::min(kMaxRepresented, pending + count * represented);
  }
}

double call_demand::OnCall(std::string_view called) {
  const auto found = demand_.find(called);
  return found == demand_.end() ? 1.0 : std::exchange(found->second, 0.0);
}

}  // namespace cuminferry
