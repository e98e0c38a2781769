#include "cuminferry_policy/entry/limit_to_tell.h"

#include <map>
#include <string>
#include <utility>

namespace cuminferry {
namespace {

// The lowest of the own limit and the limits of the called rows.
row_limit LowestLimit(const row_limit& own, const std::map<std::string, double>& calls_per_run,
                      const entry_admission& admission, instant now) {
  row_limit lowest = own;
  for (const auto& [called, calls] : calls_per_run) {
    row_limit called_limit = admission.Limit(called, now);
    if (called_limit.share < lowest.share) {
      const double cost = calls * static_cast<double>(called_limit.cost.count());
      called_limit.cost = duration(static_cast<duration::rep>(cost));
      lowest = std::move(called_limit);
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
    return LowestLimit(own, causes.CalledBy(row), admission, now);
  }
  const bool may_be_limited = !in_force || *in_force < 1.0;
  const row_limit lowest = may_be_limited && may_call_unseen
                               ? LowestLimit(own, causes.CalledByAnyRun(), admission, now)
                               : own;
  return lowest.share < in_force.value_or(1.0) ? std::optional<row_limit>(lowest) : std::nullopt;
}

}  // namespace cuminferry
