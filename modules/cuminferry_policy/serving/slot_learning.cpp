#include "cuminferry_policy/serving/slot_learning.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Bound on the relative time of one run, so that single slow runs don't decide a trial.
constexpr double kMaxRelativeTime = 3.0;
// Length of the cycle of candidates. Every other candidate is a step up, because most backend
// servers are limited below their capacity, and a trial decided wrongly by chance is soon repeated.
constexpr std::uint32_t kCandidateCycle = 6;

}  // namespace

void slot_learning::SetSlots(std::uint32_t slots) {
  if (slots == slots_) {
    return;
  }
  slots_ = slots;
  chosen_ = std::max(1U, static_cast<std::uint32_t>(kInitialShare * slots));
  candidate_ = chosen_;
  is_candidate_active_ = false;
  trial_pause_ = kInitialTrialPause;
  paused_until_ = instant{};
  trial_index_ = 0;
}

std::uint32_t slot_learning::NextCandidate() const {
  const auto step = std::max(1U, static_cast<std::uint32_t>(kStepShare * slots_));
  switch (trial_index_ % kCandidateCycle) {
    case 0:
    case 2:
    case 4:
      return std::min(std::max(1U, slots_), chosen_ + step);
    case 1:
      return chosen_ > step ? chosen_ - step : chosen_;
    case 3:
      return std::max(1U, static_cast<std::uint32_t>(kLongStepFactor * chosen_));
    default:
      return std::max(1U, static_cast<std::uint32_t>(kLongestStepFactor * chosen_));
  }
}

void slot_learning::OnFullRun(std::uint32_t limit, double relative_time) {
  if (candidate_ == chosen_) {
    return;
  }
  if (limit != chosen_ && limit != candidate_) {
    return;
  }
  trial_side& side = limit == chosen_ ? with_chosen_ : with_candidate_;
  ++side.runs;
  side.relative_time += std::min(kMaxRelativeTime, relative_time);
}

void slot_learning::Step(bool waiting, instant now) {
  if (!waiting) {
    // Runs alongside free slots show nothing about the limit. The counts of the
    // trial are retained.
    is_candidate_active_ = false;
    return;
  }
  if (candidate_ == chosen_) {
    if (now < paused_until_) {
      return;
    }
    candidate_ = NextCandidate();
    with_chosen_ = {};
    with_candidate_ = {};
    if (candidate_ == chosen_) {
      ++trial_index_;
      return;
    }
  }
  if (with_chosen_.runs >= kMinRunsPerSide && with_candidate_.runs >= kMinRunsPerSide) {
    Decide(now);
    return;
  }
  if (now >= turn_end_) {
    is_candidate_active_ = !is_candidate_active_;
    turn_end_ = now + kTrialTurn;
  }
}

double slot_learning::ThroughputOf(std::uint32_t limit, const trial_side& side) {
  return static_cast<double>(limit) * side.runs / std::max(side.relative_time, 1e-9);
}

void slot_learning::Decide(instant now) {
  const bool is_better = ThroughputOf(candidate_, with_candidate_) >
                         (1.0 + kMinGain) * ThroughputOf(chosen_, with_chosen_);
  is_candidate_active_ = false;
  if (is_better) {
    // The next trial continues in the same direction.
    chosen_ = candidate_;
    trial_pause_ = kInitialTrialPause;
    return;
  }
  candidate_ = chosen_;
  ++trial_index_;
  paused_until_ = now + trial_pause_;
  trial_pause_ = std::min(kMaxTrialPause, 2 * trial_pause_);
}

}  // namespace cuminferry
