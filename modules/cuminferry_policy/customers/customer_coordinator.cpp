#include "cuminferry_policy/customers/customer_coordinator.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
duration customer_coordinator::SliceTime() const {
  return std::max(duration(1), bounds_.window / static_cast<duration::rep>(kSlices - 1));
}

double customer_coordinator::AssumedUse(const customer& of) const {
  return of.rate * ToSeconds(bounds_.window) + (1.0 - kAssumedFreeBurst) * of.burst;
}

void customer_coordinator::StartAccount(account& state, const customer& of, double reachable_share,
                                        instant now) const {
  state = {.started_at = now,
           .last_report = now,
           .last_other_report = now,
           .newest_slice = now.time_since_epoch() / SliceTime(),
           .reachable_share = reachable_share,
           .not_larger_at = now};
  SpreadOverSlices(state, reachable_share * AssumedUse(of));
}

void customer_coordinator::SpreadOverSlices(account& state, double requests) {
  for (double& slice : state.admitted) {
    slice += requests / static_cast<double>(kSlices);
  }
  state.admitted_sum += requests;
}

// The admitted requests of nodes that become unreachable are subtracted; nodes that become
// reachable again may have admitted as much as their share.
void customer_coordinator::SetReachableShare(account& state, const customer& of,
                                             double reachable_share, instant now) const {
  if (reachable_share <= state.reachable_share) {
    state.not_larger_at = now;
  }
  if (reachable_share < state.reachable_share) {
    const double ratio = reachable_share / state.reachable_share;
    for (double& slice : state.admitted) {
      slice *= ratio;
    }
    state.admitted_sum *= ratio;
    state.reachable_share = reachable_share;
  } else if (now - state.not_larger_at >= kReachConfirmTime) {
    SpreadOverSlices(state, (reachable_share - state.reachable_share) * AssumedUse(of));
    state.reachable_share = reachable_share;
    state.not_larger_at = now;
  }
}

void customer_coordinator::Advance(account& state, instant now) const {
  const std::int64_t current = now.time_since_epoch() / SliceTime();
  const auto slice_count = static_cast<std::int64_t>(kSlices);
  for (std::int64_t slice = std::max(state.newest_slice + 1, current - slice_count + 1);
       slice <= current; ++slice) {
    double& oldest = state.admitted[static_cast<std::size_t>(slice) % kSlices];
    state.admitted_sum -= oldest;
    oldest = 0.0;
  }
  state.newest_slice = std::max(state.newest_slice, current);
}

// Whether another node may have counted the customer's requests during a gap without reports here:
// reports of a customer that is over its limit, or large, would have arrived otherwise. With two
// accounts open, such a customer received its burst twice within a second.
bool customer_coordinator::WasCountedElsewhere(const limit_report& report, const customer& of,
                                               duration gap) {
  constexpr double kMinExpectedRequests = 20.0;
  return gap > kMaxReportGap &&
         (report.share < 1.0 || of.rate * ToSeconds(gap) >= kMinExpectedRequests);
}

limit_reply customer_coordinator::OnReport(const limit_report& report, const customer& of,
                                           double reachable_share, bool is_own, instant now) {
  Forget(now);
  account& state = accounts_[report.customer];
  if (state.started_at == instant{} ||
      WasCountedElsewhere(report, of, now - state.last_other_report)) {
    StartAccount(state, of, reachable_share, now);
  }
  state.last_other_report = is_own ? state.last_other_report : now;
  Advance(state, now);
  SetReachableShare(state, of, reachable_share, now);
  state.request_rate *= std::exp(-ToSeconds(now - state.last_report) / ToSeconds(kRateTime));
  state.request_rate += report.requested / ToSeconds(kRateTime);
  state.last_report = now;
  state.admitted[static_cast<std::size_t>(state.newest_slice) % kSlices] += report.admitted;
  state.admitted_sum += report.admitted;

  const double limit =
      (of.rate * ToSeconds(bounds_.window) + of.burst + kAllowanceFraction * bounds_.allowance) *
      state.reachable_share;
  const double room = std::max(0.0, limit - state.admitted_sum);
  // A moving average that has just started is too low, because its time is not yet filled.
  const duration age = std::max(kMinRateTime, now - state.started_at);
  const double rate = state.request_rate / (1.0 - std::exp(-ToSeconds(age) / ToSeconds(kRateTime)));
  const double allowed_rate = room / ToSeconds(kRoomUseTime);
  const double share = rate <= allowed_rate ? 1.0 : allowed_rate / rate;
  return {.customer = report.customer, .share = share};
}

bool customer_coordinator::HasReportsOfOthers(std::string_view name, instant now) const {
  const auto at = accounts_.find(name);
  return at != accounts_.end() && now - at->second.last_other_report <= kMaxReportGap;
}

void customer_coordinator::Forget(instant now) {
  if (now - last_forget_ < kForgetAfter) {
    return;
  }
  last_forget_ = now;
  std::erase_if(accounts_,
                [now](const auto& entry) { return now - entry.second.last_report > kForgetAfter; });
}

}  // namespace cuminferry
