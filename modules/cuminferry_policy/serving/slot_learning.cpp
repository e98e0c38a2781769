#include "cuminferry_policy/serving/slot_learning.h"

#include <algorithm>

namespace cuminferry {
namespace {

// A run that took longer tells of its own bad luck.
constexpr double kMostRelative = 3.0;
// Up every other time: most backend servers are held below what they can, and a trial that
// chance decided wrongly is soon made again.
constexpr std::uint32_t kDirections = 6;

}  // namespace

void slot_learning::SetSlots(std::uint32_t slots) {
  if (slots == slots_) {
    return;
  }
  slots_ = slots;
  chosen_ = std::max(1U, static_cast<std::uint32_t>(kFirstShare * slots));
  candidate_ = chosen_;
  trying_ = false;
  rest_ = kFirstRest;
  rests_until_ = instant{};
  turn_ = 0;
}

std::uint32_t slot_learning::NextCandidate() const {
  const auto step = std::max(1U, static_cast<std::uint32_t>(kStepShare * slots_));
  switch (turn_ % kDirections) {
    case 0:
    case 2:
    case 4:
      return std::min(std::max(1U, slots_), chosen_ + step);
    case 1:
      return chosen_ > step ? chosen_ - step : chosen_;
    case 3:
      return std::max(1U, static_cast<std::uint32_t>(kLongStep * chosen_));
    default:
      return std::max(1U, static_cast<std::uint32_t>(kLongestStep * chosen_));
  }
}

void slot_learning::OnFullRun(std::uint32_t limit, double relative) {
  if (candidate_ == chosen_) {
    return;
  }
  if (limit != chosen_ && limit != candidate_) {
    return;
  }
  trial_side& side = limit == chosen_ ? with_chosen_ : with_candidate_;
  ++side.runs;
  side.relative += std::min(kMostRelative, relative);
}

void slot_learning::Step(bool waiting, instant now) {
  if (!waiting) {
    // Nothing is learned from slots that are free; what was counted keeps.
    trying_ = false;
    return;
  }
  if (candidate_ == chosen_) {
    if (now < rests_until_) {
      return;
    }
    candidate_ = NextCandidate();
    with_chosen_ = {};
    with_candidate_ = {};
    if (candidate_ == chosen_) {
      ++turn_;
      return;
    }
  }
  if (with_chosen_.runs >= kRuns && with_candidate_.runs >= kRuns) {
    Decide(now);
    return;
  }
  if (now >= turn_ends_) {
    trying_ = !trying_;
    turn_ends_ = now + kTurn;
  }
}

double slot_learning::AnsweredBy(std::uint32_t limit, const trial_side& side) {
  return static_cast<double>(limit) * side.runs / std::max(side.relative, 1e-9);
}

void slot_learning::Decide(instant now) {
  const bool better = AnsweredBy(candidate_, with_candidate_) >
                      (1.0 + kLeastGain) * AnsweredBy(chosen_, with_chosen_);
  trying_ = false;
  if (better) {
    // The same direction again.
    chosen_ = candidate_;
    rest_ = kFirstRest;
    return;
  }
  candidate_ = chosen_;
  ++turn_;
  rests_until_ = now + rest_;
  rest_ = std::min(kLongestRest, 2 * rest_);
}

}  // namespace cuminferry
