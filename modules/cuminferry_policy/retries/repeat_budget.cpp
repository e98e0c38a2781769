#include "cuminferry_policy/retries/repeat_budget.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Of the target's part of the allowance; the rest covers nodes that start anew
// with a full balance within one window.
constexpr double kAllowancePart = 0.5;
// Calls of repeated runs can't be refused. Where they alone exceed the bound, the node
// repeats nothing until it has earned this much, not for minutes.
constexpr double kMostOwed = 20.0;

}  // namespace

repeat_budget::repeat_budget(double ratio, double allowance, duration window)
    : ratio_(ratio), allowance_(allowance), window_(window), balance_(1.0 + kKeptForWhole) {}

void repeat_budget::SetTargets(std::size_t targets) {
  targets_ = std::max<std::size_t>(1, targets);
}

void repeat_budget::Refill(instant now) {
  const double part = kAllowancePart * allowance_ / static_cast<double>(targets_);
  if (refilled_ != instant{}) {
    const double passed =
        static_cast<double>((now - refilled_).count()) / static_cast<double>(window_.count());
    balance_ += part * passed;
  }
  refilled_ = now;
  balance_ = std::min(balance_, std::max(1.0, part) + 1.0 + kKeptForWhole);
}

void repeat_budget::OnFirstSend(double repeated, instant now) {
  Refill(now);
  balance_ = std::max(balance_ + ratio_ * kEarnedPart - repeated, -kMostOwed);
}

bool repeat_budget::TakeOne(bool nested, instant now) {
  Refill(now);
  if (balance_ < (nested ? 1.0 + kKeptForWhole : 1.0)) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

}  // namespace cuminferry
