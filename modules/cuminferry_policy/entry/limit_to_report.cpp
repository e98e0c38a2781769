#include "cuminferry_policy/entry/limit_to_report.h"

#include <map>
#include <string>
#include <utility>

namespace cuminferry {
namespace {

// The lowest of the own limit and the limits of the called rows.
row_limit LowestLimit(const row_limit& own, const std::map<std::string, double>& calls_per_run,
                      const ingress_admission& admission, instant now) {
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

std::optional<row_limit> LimitToReport(std::string_view row, const row_limit& own,
                                       const std::optional<double>& in_force,
                                       const call_attribution& attribution,
                                       const ingress_admission& admission, instant now) {
  const bool may_call_unseen = attribution.MayMakeUnattributedCalls(row);
  if (attribution.KnowsCallsOf(row) && !may_call_unseen) {
    return LowestLimit(own, attribution.CalleesOf(row), admission, now);
  }
  const bool may_be_limited = !in_force || *in_force < 1.0;
  const row_limit lowest = may_be_limited && may_call_unseen
                               ? LowestLimit(own, attribution.MeanCallsPerRun(), admission, now)
                               : own;
  return lowest.share < in_force.value_or(1.0) ? std::optional<row_limit>(lowest) : std::nullopt;
}

}  // namespace cuminferry
