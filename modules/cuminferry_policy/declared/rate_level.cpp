#include "cuminferry_policy/declared/rate_level.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

// A request stands for no more than this many, as a calling node that admits nearly nothing makes
// the estimate depend on single requests.
constexpr double kMinReportedShare = 0.002;
constexpr double kMinShare = 0.001;
// Time in which a wait above the setpoint is brought down.
constexpr duration kBacklogDrainTime = std::chrono::seconds(1);
// Bounds of the correction of the share by the wait.
constexpr double kMaxReduction = 0.25;
constexpr double kMaxIncrease = 0.05;
// Requests that have nowhere else to go, as a part of the rate, from which on all demand counts.
constexpr double kAllCountFrom = 0.02;

duration FromSeconds(double seconds) {
  return std::chrono::round<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void rate_level::OnArrival(double requests, const std::optional<double>& share, bool awaits_turn) {
  const double represented = requests / std::clamp(share.value_or(1.0), kMinReportedShare, 1.0);
  arrived_ += represented;
  arrived_awaiting_ += awaits_turn ? represented : 0.0;
}

void rate_level::Step(double rate, duration wait) {
  const duration averaging_time =
      std::clamp(FromSeconds(kAveragedTurns / rate), kMinAveragingTime, kMaxAveragingTime);
  const double weight = ToSeconds(kPeriod) / ToSeconds(averaging_time);
  demand_ += weight * (std::exchange(arrived_, 0.0) / ToSeconds(kPeriod) - demand_);
  constexpr double kAwaitingWeight = ToSeconds(kPeriod) / ToSeconds(kMaxAveragingTime);
  awaiting_demand_ +=
      kAwaitingWeight *
      (std::exchange(arrived_awaiting_, 0.0) / ToSeconds(kPeriod) - awaiting_demand_);
  weight_ += weight * (1.0 - weight_);
  const duration setpoint = std::max(kMinWaitSetpoint, FromSeconds(kWaitSetpointTurns / rate));
  const double excess = ToSeconds(wait - setpoint) / ToSeconds(kBacklogDrainTime);
  const double correction = std::clamp(-excess, -kMaxReduction, kMaxIncrease);
  // The weights make up for the periods before the first one, in which there was no demand.
  const double part = std::min(1.0, awaiting_demand_ / (kAllCountFrom * rate));
  const double excess_demand = part * std::max(0.0, demand_ / weight_ - rate);
  share_ = std::clamp((1.0 + part * correction) * rate / (rate + excess_demand), kMinShare, 1.0);
}

}  // namespace cuminferry
