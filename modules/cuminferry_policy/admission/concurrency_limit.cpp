#include "cuminferry_policy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Initial limit, as a fraction of the slots, for a backend server that has just started. */
constexpr double kInitialFraction = 0.25;
constexpr double kMinInitialLimit = 4;
/** Ratio of self time to its baseline from which the limit is tested. */
constexpr double kMaxNormalRatio = 1.4;
constexpr double kTestCutFactor = 0.8;
/** A test confirms the limit as the cause where self time falls by at least half of what it would
    fall if it consisted only of queueing. */
constexpr double kMaxRelativeRatioAfterCut = 1.0 - (1.0 - kTestCutFactor) / 2.0;
/** Smallest factor by which the limit is cut once a test has shown that it is too high. */
constexpr double kMinCutFactor = 0.5;
/** The limit may increase by this factor before self time is evaluated again. */
constexpr double kIncreaseFactorPerWindow = 4.0;
constexpr std::uint32_t kMinWindowCalls = 32;
constexpr std::uint32_t kMaxWindowCalls = 256;
/** Largest relative standard error of a window's mean at which the mean is conclusive. */
constexpr double kMaxRelativeError = 0.06;
/** Interval after a test that did not confirm the limit as the cause; doubled with each further
    such test. */
constexpr milliseconds kMinTestInterval{8000};
constexpr milliseconds kMaxTestInterval{64000};
/** Weight of one call in the moving averages over calls. */
constexpr double kMeanWeight = 1.0 / 32;
/** The baseline starts as the mean of the first kMinBaselineSamples calls. Afterwards it follows
    longer self times slowly and shorter ones quickly. */
constexpr double kBaselineRiseSeconds = 60;
constexpr std::uint32_t kMinBaselineSamples = 32;
constexpr double kBaselineFallWeight = 1.0 / 8;
constexpr double kOverloadCutFactor = 0.9;
constexpr milliseconds kMinOverloadCutInterval{100};
/** Reports older than this are ignored. */
constexpr milliseconds kReportValidity{3000};
/** A sign of overload that the node itself saw makes the backend server's report credible for this
    long. */
constexpr milliseconds kOverloadSignValidity{2000};
/** Against the node's own evidence, a report cuts the limit to no less than this fraction. */
constexpr double kMinReportCutFactor = 0.75;
/** Number of finished calls from which the node's own evidence outweighs the reports. */
constexpr std::uint32_t kMinCallsAgainstReport = 20;

void UpdateMean(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

void UpdateBaseline(row_record& row, instant now) {
  const double elapsed_seconds = std::chrono::duration<double>(now - row.last_finished).count();
  if (row.baseline_samples < kMinBaselineSamples) {
    ++row.baseline_samples;
    row.baseline_micros += (row.self_micros - row.baseline_micros) / row.baseline_samples;
  } else if (row.self_micros < row.baseline_micros) {
    row.baseline_micros += (row.self_micros - row.baseline_micros) * kBaselineFallWeight;
  } else {
    const double weight = std::min(elapsed_seconds / kBaselineRiseSeconds, kMeanWeight);
    row.baseline_micros += (row.self_micros - row.baseline_micros) * weight;
  }
}

}  // namespace

concurrency_limit::concurrency_limit(admission_blackboard& board) : board_(board) { Reset(); }

void concurrency_limit::window::Add(double ratio) {
  sum += ratio;
  sum_of_squares += ratio * ratio;
  ++count;
}

// Of calls that start together the short ones finish first. A window therefore holds at least as
// many calls as run concurrently.
bool concurrency_limit::window::IsConclusive(double limit) const {
  if (count >= kMaxWindowCalls) {
    return true;
  }
  if (count < kMinWindowCalls || count < limit) {
    return false;
  }
  const double variance = sum_of_squares / count - mean() * mean();
  return variance <= kMaxRelativeError * kMaxRelativeError * mean() * mean() * count;
}

void concurrency_limit::Reset() {
  own_limit_ = FloorLimit();
  increase_bound_ = own_limit_ * kIncreaseFactorPerWindow;
  slow_start_ = true;
  window_ = window();
  stage_ = stage::kIncrease;
  next_test_ = instant();
  test_interval_ = kMinTestInterval;
  board_.limit.limit = own_limit_;
}

double concurrency_limit::FloorLimit() const {
  const double slots = board_.fixed.slots;
  return std::min(slots, std::max(kMinInitialLimit, slots * kInitialFraction));
}

void concurrency_limit::OnReport(std::uint32_t max_running, instant now) {
  reported_limit_ = max_running;
  reported_at_ = now;
  has_report_ = true;
  Publish(now);
}

void concurrency_limit::OnFinished(const running_call& call, bool overloaded, duration self,
                                   duration hold, instant now) {
  if (overloaded) {
    overload_sign_at_ = now;
    if (now - last_overload_cut_at_ >= kMinOverloadCutInterval) {
      last_overload_cut_at_ = now;
      own_limit_ =
          std::max(1.0, std::min<double>(own_limit_, board_.active() + 1) * kOverloadCutFactor);
    }
    Publish(now);
    return;
  }
  ++finished_calls_;
  const auto self_micros = static_cast<double>(std::max<std::int64_t>(self.count(), 1));
  const auto hold_micros = static_cast<double>(std::max<std::int64_t>(hold.count(), 1));
  UpdateMean(board_.limit.self_micros, self_micros, kMeanWeight);
  UpdateMean(board_.limit.hold_micros, hold_micros, kMeanWeight);
  AddSample(call, self_micros, now);
  Increase();
  Publish(now);
}

void concurrency_limit::AddSample(const running_call& call, double self_micros, instant now) {
  row_record& row = board_.rows.rows[call.row];
  UpdateMean(row.self_micros, self_micros, kMeanWeight);
  if (stage_ == stage::kIncrease) {
    UpdateBaseline(row, now);
  }
  row.last_finished = now;
  if (call.epoch != board_.limit.epoch || row.baseline_samples < kMinBaselineSamples) {
    return;
  }
  window_.Add(self_micros / row.baseline_micros);
  if (!window_.IsConclusive(own_limit_)) {
    return;
  }
  const double ratio = window_.mean();
  window_ = window();
  EvaluateWindow(ratio, now);
}

void concurrency_limit::EvaluateWindow(double ratio, instant now) {
  switch (stage_) {
    case stage::kIncrease:
      if (ratio < kMaxNormalRatio) {
        test_interval_ = kMinTestInterval;
        increase_bound_ = own_limit_ * kIncreaseFactorPerWindow;
      } else if (board_.active() + 1 >= own_limit_ * kTestCutFactor && now >= next_test_) {
        EnterStage(stage::kHold);
      }
      return;
    case stage::kHold:
      ratio_before_test_ = ratio;
      limit_before_test_ = own_limit_;
      own_limit_ = std::max(1.0, own_limit_ * kTestCutFactor);
      EnterStage(stage::kCut);
      return;
    case stage::kCut:
      EnterStage(stage::kIncrease);
      EvaluateTest(ratio, now);
      return;
  }
}

void concurrency_limit::EnterStage(stage next) {
  stage_ = next;
  ++board_.limit.epoch;
}

void concurrency_limit::EvaluateTest(double ratio, instant now) {
  if (ratio <= ratio_before_test_ * kMaxRelativeRatioAfterCut) {
    overload_sign_at_ = now;
    slow_start_ = false;
    own_limit_ =
        std::max(1.0, own_limit_ * std::clamp(kMaxNormalRatio / ratio, kMinCutFactor, 1.0));
    increase_bound_ = own_limit_ * kIncreaseFactorPerWindow;
    test_interval_ = kMinTestInterval;
    return;
  }
  own_limit_ = std::max(own_limit_, limit_before_test_);
  increase_bound_ = own_limit_ * kIncreaseFactorPerWindow;
  next_test_ = now + test_interval_;
  test_interval_ = std::min<duration>(2 * test_interval_, kMaxTestInterval);
}

void concurrency_limit::Increase() {
  if (stage_ != stage::kIncrease) {
    return;
  }
  const bool limit_binds = board_.active() + 2 >= own_limit_ || !board_.queue.empty();
  if (limit_binds) {
    const double step = slow_start_ ? 1.0 : 1.0 / own_limit_;
    const double upper_bound =
        std::max(own_limit_, std::min<double>(board_.fixed.slots, increase_bound_));
    own_limit_ = std::min(upper_bound, own_limit_ + step);
  }
}

// A backend server that always reports that it is full would get no calls, and an idle service
// would refuse its callers. A report therefore counts in full only until the node has evidence of
// its own, and later only in part and together with signs of overload.
double concurrency_limit::ReportedLimit(instant now) const {
  const double no_cap = board_.fixed.slots;
  if (!has_report_ || now - reported_at_ > kReportValidity) {
    return no_cap;
  }
  if (finished_calls_ < kMinCallsAgainstReport) {
    return std::max(reported_limit_, FloorLimit());
  }
  const bool is_overload_likely =
      overload_sign_at_ != instant() && now - overload_sign_at_ < kOverloadSignValidity;
  return is_overload_likely ? std::max(reported_limit_, own_limit_ * kMinReportCutFactor) : no_cap;
}

void concurrency_limit::Publish(instant now) {
  const double limit = std::min(own_limit_, ReportedLimit(now));
  board_.limit.limit = std::clamp<double>(limit, 1, board_.fixed.slots);
}

void concurrency_limit::OnTick(instant now) { Publish(now); }

}  // namespace cuminferry
