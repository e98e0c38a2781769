#include "cuminferry_policy/serving/admission_level.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Weight of one arrival in the mean age: the last hundred count.
constexpr double kAgeWeight = 0.01;
// Periods over which the share in force is taken: the load is a mean over as many.
constexpr std::size_t kMeanPeriods = 3;
// Periods remembered: a loop's delay is 0.5 to 2 s, more where deadlines end it.
constexpr std::size_t kMostPeriods = 40;
// What waits may add to the load and what an empty queue may take off it. A load that
// is met by more than half again or less than a seventh is worked off in several loops.
constexpr double kMostWorkedOff = 0.5;
constexpr double kLeastWorkedOff = -0.15;
// A load of next to nothing asks for no more than all.
constexpr double kLeastLoad = 0.01;

}  // namespace

duration admission_level::Aim(std::uint32_t slots, duration service_time) {
  const double variance = static_cast<double>(kShortLoop.count()) *
                          static_cast<double>(service_time.count()) / std::max(1U, slots);
  const duration aim(static_cast<duration::rep>(kAimDeviations * std::sqrt(variance)));
  return std::clamp(aim, kLeastAim, kMostAim);
}

void admission_level::OnArrival(duration age, duration work, std::optional<double> share) {
  told_ += share.value_or(1.0);
  ++tellers_;
  age_micros_ += kAgeWeight * (static_cast<double>(age.count()) - age_micros_);
  work_micros_ += static_cast<double>(work.count());
}

duration admission_level::loop_delay() const {
  return kTellingDelay + duration(static_cast<duration::rep>(age_micros_));
}

double admission_level::ShareInForce() const {
  const std::size_t last = shares_.size() - 1;
  const auto first = std::min(last, static_cast<std::size_t>(loop_delay() / kPeriod));
  double sum = 0.0;
  for (std::size_t i = 0; i < kMeanPeriods; ++i) {
    sum += shares_[std::min(last, first + i)];
  }
  return sum / kMeanPeriods;
}

void admission_level::Step(duration wait, std::uint32_t taken, std::uint32_t slots,
                           duration service_time) {
  const double all = std::max(1U, slots);
  const double came = work_micros_ / (all * static_cast<double>(kPeriod.count()));
  work_micros_ = 0.0;
  offered_ += kLoadWeight * (came - offered_);
  used_ += kLoadWeight * (taken / all - used_);
  shares_.push_front(tellers_ > 0 ? told_ / tellers_ : share_);
  told_ = 0.0;
  tellers_ = 0;
  if (shares_.size() > kMostPeriods) {
    shares_.pop_back();
  }

  const duration aim = Aim(slots, service_time);
  const double waits = static_cast<double>(wait.count()) / static_cast<double>(aim.count());
  const double load = used_ + std::min(1.0, waits) * std::max(0.0, offered_ - used_);
  const double over =
      static_cast<double>((wait - aim).count()) / static_cast<double>(kWorkOff.count());
  const double worked_off = std::clamp(over, kLeastWorkedOff, kMostWorkedOff);
  share_ = std::clamp(ShareInForce() / std::max(kLeastLoad, load + worked_off), kLeastShare, 1.0);
}

}  // namespace cuminferry
