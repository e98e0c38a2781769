#include "cuminferry_policy/declared/caller_rate.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Weight of a period's arrivals in their average.
constexpr double kArrivalWeight = 0.3;
// Part of a deviation that one period corrects. The calling nodes learn of a change with their next
// answers, some periods later.
constexpr double kGain = 0.1;
constexpr double kMinFactor = 0.5;
// Part of the declared rate that each calling node may send at the least: of 5,000 of them, all
// together may still send no more than is declared.
constexpr double kMinShare = 1.0 / 5'000.0;

}  // namespace

void caller_rate::Step(double declared) {
  const double arrived = arrivals_ / ToSeconds(kPeriod);
  arrivals_ = 0.0;
  arrival_rate_ += kArrivalWeight * (arrived - arrival_rate_);
  const double wanted = kUse * declared;
  const double factor = 1.0 + kGain * (wanted - arrival_rate_) / wanted;
  rate_ = std::clamp(rate_ * std::max(kMinFactor, factor), kMinShare * declared, declared);
}

}  // namespace cuminferry
