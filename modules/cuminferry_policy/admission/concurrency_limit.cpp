#include "cuminferry_policy/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Part of the slots that a cold backend server is given. */
constexpr double kColdPart = 0.125;
constexpr double kLeastCold = 4;
/** Self time this far above the baseline asks for a test. */
constexpr double kTolerance = 1.5;
constexpr double kTestCut = 0.75;
/** The limit counts as cause where self time fell by half of what it would
    have fallen if it were nothing but queueing. */
constexpr double kTestFall = 1.0 - (1.0 - kTestCut) / 2.0;
constexpr std::uint32_t kLeastWindow = 32;
/** Weight of one call in the means over calls. */
constexpr double kMeanWeight = 1.0 / 32;
constexpr double kBaselineWeight = 1.0 / 512;
/** Calls of a row until its baseline is taken as known. */
constexpr double kFirstWeight = 1.0 / 8;
constexpr double kOverloadCut = 0.9;
constexpr milliseconds kOverloadEvery{100};
/** Older reports are not used. */
constexpr milliseconds kReportLasts{3000};
/** Own signs of trouble make a report credible for this long. */
constexpr milliseconds kTroubleLasts{2000};
/** So many ends since the reports began are evidence enough against them. */
constexpr std::uint32_t kEvidence = 20;

void Follow(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + (sample - mean) * weight;
}

}  // namespace

concurrency_limit::concurrency_limit(admission_blackboard& board) : board_(board) { Reset(); }

void concurrency_limit::Reset() {
  own_limit_ = FloorLimit();
  pace_ = 1;
  window_sum_ = 0;
  window_count_ = 0;
  testing_ = false;
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
  Follow(row.baseline_micros, self_micros,
         row.baseline_micros == 0 ? kFirstWeight : kBaselineWeight);
  if (call.epoch != board_.limit.epoch) {
    return;
  }
  window_sum_ += self_micros / row.baseline_micros;
  ++window_count_;
  const auto wanted = std::max<std::uint32_t>(kLeastWindow, static_cast<std::uint32_t>(own_limit_));
  if (window_count_ >= wanted) {
    JudgeWindow(now);
  }
}

void concurrency_limit::JudgeWindow(instant now) {
  const double ratio = window_sum_ / window_count_;
  window_sum_ = 0;
  window_count_ = 0;
  if (testing_) {
    JudgeTest(ratio);
    return;
  }
  if (ratio < pace_) {
    pace_ = std::max(1.0, (pace_ + ratio) / 2);
    return;
  }
  if (ratio < pace_ * kTolerance) {
    return;
  }
  const bool limit_binds = board_.active() + 1 >= board_.limit.limit * kTestCut;
  if (!limit_binds) {
    pace_ = ratio;
    return;
  }
  trouble_at_ = now;
  testing_ = true;
  limit_before_test_ = own_limit_;
  ratio_before_test_ = ratio;
  own_limit_ = std::max(1.0, own_limit_ * kTestCut);
  ++board_.limit.epoch;
}

void concurrency_limit::JudgeTest(double ratio) {
  testing_ = false;
  if (ratio <= ratio_before_test_ * kTestFall) {
    return;
  }
  pace_ = std::max(1.0, ratio);
  own_limit_ = std::max(own_limit_, limit_before_test_);
}

void concurrency_limit::Climb() {
  if (testing_) {
    return;
  }
  const bool limit_binds = board_.active() + 2 >= own_limit_ || !board_.queue.empty();
  if (limit_binds) {
    own_limit_ = std::min<double>(board_.fixed.slots, own_limit_ + 1);
  }
}

bool concurrency_limit::TrustsReport(instant now) const {
  if (!reported_ever_ || now - reported_at_ > kReportLasts) {
    return false;
  }
  const bool in_trouble = trouble_at_ != instant() && now - trouble_at_ < kTroubleLasts;
  return in_trouble || ends_since_report_ < kEvidence;
}

// A backend server that always reports to be full would be given nothing, and
// callers would see refusals from an idle service. So a report counts only
// together with own signs of trouble, or before there is any own evidence.
void concurrency_limit::Publish(instant now) {
  double limit = own_limit_;
  if (TrustsReport(now)) {
    limit = std::min(limit, std::max(reported_, FloorLimit()));
  }
  board_.limit.limit = std::clamp<double>(limit, 1, board_.fixed.slots);
}

void concurrency_limit::OnTick(instant now) { Publish(now); }

}  // namespace cuminferry
