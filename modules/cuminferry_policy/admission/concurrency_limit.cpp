#include "cuminferry_policy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Part of the slots that a cold backend server is given. */
constexpr double kColdPart = 0.25;
constexpr double kLeastCold = 4;
/** Self time this far above the baseline asks for a test. */
constexpr double kTolerance = 1.4;
constexpr double kTestCut = 0.8;
/** The limit counts as cause where self time fell by half of what it would
    have fallen if it were nothing but queueing. */
constexpr double kTestFall = 1.0 - (1.0 - kTestCut) / 2.0;
/** The deepest cut once a test has shown that the limit is too high. */
constexpr double kDeepestCut = 0.5;
/** The limit climbs so far before self time is looked at again. */
constexpr double kClimbFactor = 4.0;
constexpr std::uint32_t kLeastWindow = 32;
constexpr std::uint32_t kLargestWindow = 256;
/** Standard error of a window's mean, over the mean, that is good enough. */
constexpr double kGoodError = 0.06;
/** After a test that found no fault in the limit; doubled with each further one. */
constexpr milliseconds kFirstTestPause{8000};
constexpr milliseconds kLongestTestPause{64000};
/** Weight of one call in the means over calls. */
constexpr double kMeanWeight = 1.0 / 32;
/** The baseline is the mean of so many calls, follows longer self times slowly, shorter ones soon.
 */
constexpr double kBaselineRiseSeconds = 60;
constexpr std::uint32_t kBaselineFrom = 32;
constexpr double kBaselineFallWeight = 1.0 / 8;
constexpr double kOverloadCut = 0.9;
constexpr milliseconds kOverloadEvery{100};
/** Older reports are not used. */
constexpr milliseconds kReportLasts{3000};
/** Own signs of trouble make a report credible for this long. */
constexpr milliseconds kTroubleLasts{2000};
/** Against evidence of its own a report cuts the limit to no less than this part. */
constexpr double kLeastOfReport = 0.75;
/** So many ends since the reports began are evidence enough against them. */
constexpr std::uint32_t kEvidence = 20;

void Follow(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

void FollowBaseline(row_record& row, instant now) {
  const double passed = std::chrono::duration<double>(now - row.last_end).count();
  if (row.baseline_ends < kBaselineFrom) {
    ++row.baseline_ends;
    row.baseline_micros += (row.self_micros - row.baseline_micros) / row.baseline_ends;
  } else if (row.self_micros < row.baseline_micros) {
    row.baseline_micros += (row.self_micros - row.baseline_micros) * kBaselineFallWeight;
  } else {
    const double weight = std::min(passed / kBaselineRiseSeconds, kMeanWeight);
    row.baseline_micros += (row.self_micros - row.baseline_micros) * weight;
  }
}

}  // namespace

concurrency_limit::concurrency_limit(admission_blackboard& board) : board_(board) { Reset(); }

void concurrency_limit::window::Add(double ratio) {
  sum += ratio;
  squares += ratio * ratio;
  ++count;
}

// Of calls that start together the short ones end first, so a window holds at least
// as many as run at once.
bool concurrency_limit::window::IsEnough(double limit) const {
  if (count >= kLargestWindow) {
    return true;
  }
  if (count < kLeastWindow || count < limit) {
    return false;
  }
  const double variance = squares / count - mean() * mean();
  return variance <= kGoodError * kGoodError * mean() * mean() * count;
}

void concurrency_limit::Reset() {
  own_limit_ = FloorLimit();
  climbs_to_ = own_limit_ * kClimbFactor;
  climbs_fast_ = true;
  window_ = window();
  stage_ = stage::kClimb;
  next_test_ = instant();
  test_pause_ = kFirstTestPause;
  board_.limit.limit = own_limit_;
}

double concurrency_limit::FloorLimit() const {
  const double slots = board_.fixed.slots;
  return std::min(slots, std::max(kLeastCold, slots * kColdPart));
}

void concurrency_limit::OnReport(std::uint32_t most_running, instant now) {
  reported_ = most_running;
  reported_at_ = now;
  reported_ever_ = true;
  Publish(now);
}

void concurrency_limit::OnEnded(const running_call& call, bool overloaded, duration self,
                                duration hold, instant now) {
  if (overloaded) {
    trouble_at_ = now;
    if (now - cut_at_ >= kOverloadEvery) {
      cut_at_ = now;
      own_limit_ = std::max(1.0, std::min<double>(own_limit_, board_.active() + 1) * kOverloadCut);
    }
    Publish(now);
    return;
  }
  ++ends_since_report_;
  const auto self_micros = static_cast<double>(std::max<std::int64_t>(self.count(), 1));
  const auto hold_micros = static_cast<double>(std::max<std::int64_t>(hold.count(), 1));
  Follow(board_.limit.self_micros, self_micros, kMeanWeight);
  Follow(board_.limit.hold_micros, hold_micros, kMeanWeight);
  CountSample(call, self_micros, now);
  Climb();
  Publish(now);
}

void concurrency_limit::CountSample(const running_call& call, double self_micros, instant now) {
  row_record& row = board_.rows.rows[call.row];
  Follow(row.self_micros, self_micros, kMeanWeight);
  if (stage_ == stage::kClimb) {
    FollowBaseline(row, now);
  }
  row.last_end = now;
  if (call.epoch != board_.limit.epoch || row.baseline_ends < kBaselineFrom) {
    return;
  }
  window_.Add(self_micros / row.baseline_micros);
  if (!window_.IsEnough(own_limit_)) {
    return;
  }
  const double ratio = window_.mean();
  window_ = window();
  JudgeWindow(ratio, now);
}

void concurrency_limit::JudgeWindow(double ratio, instant now) {
  switch (stage_) {
    case stage::kClimb:
      if (ratio < kTolerance) {
        test_pause_ = kFirstTestPause;
        climbs_to_ = own_limit_ * kClimbFactor;
      } else if (board_.active() + 1 >= own_limit_ * kTestCut && now >= next_test_) {
        Enter(stage::kHold);
      }
      return;
    case stage::kHold:
      ratio_before_test_ = ratio;
      limit_before_test_ = own_limit_;
      own_limit_ = std::max(1.0, own_limit_ * kTestCut);
      Enter(stage::kCut);
      return;
    case stage::kCut:
      Enter(stage::kClimb);
      JudgeTest(ratio, now);
      return;
  }
}

void concurrency_limit::Enter(stage next) {
  stage_ = next;
  ++board_.limit.epoch;
}

void concurrency_limit::JudgeTest(double ratio, instant now) {
  if (ratio <= ratio_before_test_ * kTestFall) {
    trouble_at_ = now;
    climbs_fast_ = false;
    own_limit_ = std::max(1.0, own_limit_ * std::clamp(kTolerance / ratio, kDeepestCut, 1.0));
    climbs_to_ = own_limit_ * kClimbFactor;
    test_pause_ = kFirstTestPause;
    return;
  }
  own_limit_ = std::max(own_limit_, limit_before_test_);
  climbs_to_ = own_limit_ * kClimbFactor;
  next_test_ = now + test_pause_;
  test_pause_ = std::min<duration>(2 * test_pause_, kLongestTestPause);
}

void concurrency_limit::Climb() {
  if (stage_ != stage::kClimb) {
    return;
  }
  const bool limit_binds = board_.active() + 2 >= own_limit_ || !board_.queue.empty();
  if (limit_binds) {
    const double step = climbs_fast_ ? 1.0 : 1.0 / own_limit_;
    const double most = std::max(own_limit_, std::min<double>(board_.fixed.slots, climbs_to_));
    own_limit_ = std::min(most, own_limit_ + step);
  }
}

// A backend server that always reports to be full would be given nothing, and callers
// would see refusals from an idle service. So a report counts in full only before there
// is evidence of its own, and later only together with signs of trouble, and in part.
double concurrency_limit::ReportedLimit(instant now) const {
  const double no_cap = board_.fixed.slots;
  if (!reported_ever_ || now - reported_at_ > kReportLasts) {
    return no_cap;
  }
  if (ends_since_report_ < kEvidence) {
    return std::max(reported_, FloorLimit());
  }
  const bool in_trouble = trouble_at_ != instant() && now - trouble_at_ < kTroubleLasts;
  return in_trouble ? std::max(reported_, own_limit_ * kLeastOfReport) : no_cap;
}

void concurrency_limit::Publish(instant now) {
  const double limit = std::min(own_limit_, ReportedLimit(now));
  board_.limit.limit = std::clamp<double>(limit, 1, board_.fixed.slots);
}

void concurrency_limit::OnTick(instant now) { Publish(now); }

}  // namespace cuminferry
