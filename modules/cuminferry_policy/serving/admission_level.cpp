#include "cuminferry_policy/serving/admission_level.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Weight of one arrival in the mean age, which covers about the last hundred arrivals.
constexpr double kAgeWeight = 0.01;
// Number of periods over which the share in force is averaged. The load is averaged over as many.
constexpr std::size_t kShareMeanPeriods = 3;
// Number of periods stored. A loop delay is 0.5 to 2 s, and longer where calls run into their
// deadlines.
constexpr std::size_t kMaxStoredPeriods = 40;
// Bounds of the correction of the load by the wait: added while requests wait too long, subtracted
// while the queue is short. A load that is off by more than a half above or a seventh below is
// corrected over several loops.
constexpr double kMaxBacklogCorrection = 0.5;
constexpr double kMinBacklogCorrection = -0.15;
// Avoids a division by a load of zero.
constexpr double kMinLoad = 0.01;

}  // namespace

duration admission_level::WaitSetpointFor(std::uint32_t slots, duration service_time) {
  const double variance = static_cast<double>(kShortLoop.count()) *
                          static_cast<double>(service_time.count()) / std::max(1U, slots);
  const duration setpoint(
      static_cast<duration::rep>(kWaitSetpointDeviations * std::sqrt(variance)));
  return std::clamp(setpoint, kMinWaitSetpoint, kMaxWaitSetpoint);
}

void admission_level::OnArrival(duration age, duration work, std::optional<double> share) {
  reported_share_sum_ += share.value_or(1.0);
  ++report_count_;
  age_micros_ += kAgeWeight * (static_cast<double>(age.count()) - age_micros_);
  work_micros_ += static_cast<double>(work.count());
}

duration admission_level::loop_delay() const {
  return kReportDelay + duration(static_cast<duration::rep>(age_micros_));
}

double admission_level::ShareInForce() const {
  const std::size_t last = shares_.size() - 1;
  const auto first = std::min(last, static_cast<std::size_t>(loop_delay() / kPeriod));
  double sum = 0.0;
  for (std::size_t i = 0; i < kShareMeanPeriods; ++i) {
    sum += shares_[std::min(last, first + i)];
  }
  return sum / kShareMeanPeriods;
}

void admission_level::Step(duration wait, std::uint32_t taken, std::uint32_t slots,
                           duration service_time) {
  const double slot_count = std::max(1U, slots);
  const double arrived_load = work_micros_ / (slot_count * static_cast<double>(kPeriod.count()));
  work_micros_ = 0.0;
  offered_load_ += kLoadWeight * (arrived_load - offered_load_);
  utilization_ += kLoadWeight * (taken / slot_count - utilization_);
  shares_.push_front(report_count_ > 0 ? reported_share_sum_ / report_count_ : share_);
  reported_share_sum_ = 0.0;
  report_count_ = 0;
  if (shares_.size() > kMaxStoredPeriods) {
    shares_.pop_back();
  }

  const duration setpoint = WaitSetpointFor(slots, service_time);
  const double wait_ratio =
      static_cast<double>(wait.count()) / static_cast<double>(setpoint.count());
  const double load =
      utilization_ + std::min(1.0, wait_ratio) * std::max(0.0, offered_load_ - utilization_);
  const double excess_ratio = static_cast<double>((wait - setpoint).count()) /
                              static_cast<double>(kBacklogDrainTime.count());
  const double backlog_correction =
      std::clamp(excess_ratio, kMinBacklogCorrection, kMaxBacklogCorrection);
  share_ =
      std::clamp(ShareInForce() / std::max(kMinLoad, load + backlog_correction), kMinShare, 1.0);
}

}  // namespace cuminferry
