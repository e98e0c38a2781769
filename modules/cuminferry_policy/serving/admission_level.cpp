#include "cuminferry_policy/serving/admission_level.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Weight of one arrival in the mean age: the last hundred count.
constexpr double kAgeWeight = 0.01;

}  // namespace

duration admission_level::Aim(std::uint32_t slots, duration service_time) {
  const double variance = static_cast<double>(kShortLoop.count()) *
                          static_cast<double>(service_time.count()) / std::max(1U, slots);
  const duration aim(static_cast<duration::rep>(kAimDeviations * std::sqrt(variance)));
  return std::clamp(aim, kLeastAim, kMostAim);
}

void admission_level::Step(duration wait, std::uint32_t taken, std::uint32_t slots,
                           duration service_time) {
  const duration aim = Aim(slots, service_time);
  const double over = static_cast<double>(wait.count()) / static_cast<double>(aim.count()) - 1.0;
  const double busy = static_cast<double>(taken) / std::max(1U, slots);
  const double free = std::max(0.0, kBusyShare - busy) / kBusyShare;
  const double step = over > 0 ? -kFallPerStep * std::min(1.0, over)
                               : kRisePerStep * -over + kFreeRisePerStep * free;
  const double scale =
      static_cast<double>(kShortLoop.count()) / static_cast<double>(loop_delay().count());
  level_ = std::clamp(level_ + std::min(1.0, scale) * step, 0.0, top_);
}

void admission_level::OnArrival(duration age) {
  age_micros_ += kAgeWeight * (static_cast<double>(age.count()) - age_micros_);
}

duration admission_level::loop_delay() const {
  return kTellingDelay + duration(static_cast<duration::rep>(age_micros_));
}

void admission_level::SetTop(double top) {
  const bool was_open = open();
  top_ = top;
  level_ = was_open ? top : std::min(level_, top);
}

}  // namespace cuminferry
