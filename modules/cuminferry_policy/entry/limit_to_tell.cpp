#include "cuminferry_policy/entry/limit_to_tell.h"

#include <map>
#include <string>
#include <utility>

namespace cuminferry {
namespace {

// The lowest of the own limit and those of the rows that are called.
row_limit Lowest(const row_limit& own, const std::map<std::string, double>& calls_per_run,
                 const entry_admission& admission, instant now) {
  row_limit lowest = own;
  for (const auto& [called, calls] : calls_per_run) {
    row_limit further = admission.Limit(called, now);
    if (further.share < lowest.share) {
      const double cost = calls * static_cast<double>(further.cost.count());
      further.cost = duration(static_cast<duration::rep>(cost));
      lowest = std::move(further);
    }
  }
  return lowest;
}

}  // namespace

std::optional<row_limit> LimitToTell(std::string_view row, const row_limit& own,
                                     const std::optional<double>& in_force,
                                     const row_causes& causes, const entry_admission& admission,
                                     instant now) {
  const bool may_call_unseen = causes.MayCallUnseen(row);
  if (causes.IsKnown(row) && !may_call_unseen) {
    return Lowest(own, causes.CalledBy(row), admission, now);
  }
  const bool held_back = !in_force || *in_force < 1.0;
  const row_limit lowest =
      held_back && may_call_unseen ? Lowest(own, causes.CalledByAnyRun(), admission, now) : own;
  return lowest.share < in_force.value_or(1.0) ? std::optional<row_limit>(lowest) : std::nullopt;
}

}  // namespace cuminferry
