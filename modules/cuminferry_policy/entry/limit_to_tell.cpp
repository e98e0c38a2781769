#include "cuminferry_policy/entry/limit_to_tell.h"

#include <utility>

namespace cuminferry {

std::optional<row_limit> LimitToTell(std::string_view row, const row_limit& own,
                                     const std::optional<double>& in_force,
                                     const row_causes& causes, const entry_admission& admission,
                                     instant now) {
  if (!causes.IsKnown(row)) {
    return own.share < in_force.value_or(1.0) ? std::optional<row_limit>(own) : std::nullopt;
  }
  row_limit lowest = own;
  for (const auto& [called, calls_per_run] : causes.CalledBy(row)) {
    row_limit further = admission.Limit(called, now);
    if (further.share < lowest.share) {
      const double cost = calls_per_run * static_cast<double>(further.cost.count());
      further.cost = duration(static_cast<duration::rep>(cost));
      lowest = std::move(further);
    }
  }
  return lowest;
}

}  // namespace cuminferry
