#include "cuminferry_policy/customers/demand_rate.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

double Decay(duration elapsed, duration time_constant) {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(time_constant));
}

// Corrects a moving average whose time constant is not yet filled.
double Corrected(double sum, duration age, duration time_constant) {
  return sum / (1.0 - Decay(std::max(demand_rate::kMinTime, age), time_constant));
}

}  // namespace

void demand_rate::Add(double requests, instant now) {
  const duration elapsed = std::max(duration::zero(), now - updated_at_);
  short_sum_ = short_sum_ * Decay(elapsed, kShortTime) + requests / ToSeconds(kShortTime);
  long_sum_ = long_sum_ * Decay(elapsed, kLongTime) + requests / ToSeconds(kLongTime);
  updated_at_ = std::max(updated_at_, now);
  constexpr double kCountWeight = 0.1;
  mean_count_ += kCountWeight * (std::max(1.0, requests) - mean_count_);
  if (now - started_at_ < 2 * kShortTime) {
    return;
  }
  const double short_rate = ShortRate(now);
  const double long_rate = At(now);
  const double deviation =
      std::sqrt(std::max(1.0, long_rate) * mean_count_ / (2.0 * ToSeconds(kShortTime)));
  if (std::abs(short_rate - long_rate) > kChangeDeviations * deviation) {
    started_at_ = now - kShortTime;
    long_sum_ = short_rate * (1.0 - Decay(kShortTime, kLongTime));
  }
}

double demand_rate::ShortRate(instant now) const {
  return Corrected(short_sum_ * Decay(now - updated_at_, kShortTime), now - started_at_,
                   kShortTime);
}

double demand_rate::At(instant now) const {
  return Corrected(long_sum_ * Decay(now - updated_at_, kLongTime), now - started_at_, kLongTime);
}

double demand_rate::CountedTime(instant now) const {
  return ToSeconds(std::clamp<duration>(now - started_at_, kMinTime, 2 * kLongTime));
}

double demand_rate::LowerBound(instant now) const {
  const double rate = At(now);
  // At least half of the rate, as the deviation of a rate of one request is of its own size.
  return std::max(0.5 * rate, rate - kLowerDeviations * std::sqrt(rate / CountedTime(now)));
}

}  // namespace cuminferry
