#include "cuminferry_policy/retries/repeat_budget.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Fraction of the target's equal share of the allowance that it may use. The rest covers nodes that
// have restarted and have lost their count of repeats.
constexpr double kAllowanceFraction = 0.5;
// Maximum fraction of a bound that may be reserved for standalone requests.
constexpr double kMaxReservedFraction = 0.5;
// Number of slices that cover a tenth of a window, including the slice that is being filled.
constexpr std::size_t kBurstSlices = 3;

}  // namespace

repeat_budget::repeat_budget(double ratio, double allowance, duration window)
    : ratio_(ratio),
      allowance_(allowance),
      slice_length_(std::max(duration(1), window / static_cast<duration::rep>(kSlicesPerWindow))) {}

void repeat_budget::SetTargets(std::size_t targets) {
  targets_ = std::max<std::size_t>(1, targets);
}

void repeat_budget::Advance(instant now) {
  const std::int64_t current = now.time_since_epoch() / slice_length_;
  const std::int64_t first =
      std::max(newest_slice_ + 1, current - static_cast<std::int64_t>(kSlices) + 1);
  for (std::int64_t slice_number = first; slice_number <= current; ++slice_number) {
    slices_[static_cast<std::size_t>(slice_number) % kSlices] = {};
  }
  newest_slice_ = std::max(newest_slice_, current);
  newest_elapsed_fraction_ = static_cast<double>((now.time_since_epoch() % slice_length_).count()) /
                             static_cast<double>(slice_length_.count());
}

double repeat_budget::Sum(double slice::*counter, std::size_t age, std::size_t count) const {
  double sum = 0.0;
  for (std::size_t i = age; i < age + count; ++i) {
    const auto index = static_cast<std::size_t>(newest_slice_) + 2 * kSlices - i;
    sum += slices_[index % kSlices].*counter;
  }
  return sum;
}

double repeat_budget::EarnedRepeats() const {
  constexpr std::size_t kHalf = kSlicesPerWindow / 2;
  const double latest = Sum(&slice::requests, 0, kSlicesPerWindow);
  const double before = std::max(Sum(&slice::requests, kHalf, kSlicesPerWindow),
                                 Sum(&slice::requests, kSlicesPerWindow, kSlicesPerWindow));
  return ratio_ * std::max(kLatestWindowFraction * latest, kEarlierWindowFraction * before);
}

double repeat_budget::ReservedForStandalone(std::size_t slices, double bound) const {
  const double wanted = kReservedPerStandalone * Sum(&slice::standalone_requests, 0, slices) -
                        Sum(&slice::standalone_repeats, 0, slices);
  return std::max(1.0, std::min(wanted, kMaxReservedFraction * bound));
}

// Repeats that nested requests may take in one window.
double repeat_budget::NestedBound() const {
  const double bound =
      EarnedRepeats() + kAllowanceFraction * allowance_ / static_cast<double>(targets_);
  return std::max(0.0, bound - ReservedForStandalone(kSlicesPerWindow, EarnedRepeats()));
}

double repeat_budget::LargestWindow(double slice::*counter) const {
  constexpr std::size_t kHalf = kSlicesPerWindow / 2;
  return std::max({Sum(counter, 0, kSlicesPerWindow), Sum(counter, kHalf, kSlicesPerWindow),
                   Sum(counter, kSlicesPerWindow, kSlicesPerWindow)});
}

// The slices span between a tenth of a window and half as much again; the bound is scaled down to a
// tenth.
double repeat_budget::MaxBurst() const {
  constexpr double kSlicesPerTenth = kBurstSlices - 1.0;
  const double now = Sum(&slice::requests, 0, kBurstSlices) * kSlicesPerTenth /
                     (kSlicesPerTenth + newest_elapsed_fraction_);
  const double usual = LargestWindow(&slice::requests) * kSlicesPerTenth / kSlicesPerWindow;
  return kMaxBurstRatio * std::max(now, usual);
}

// How far the rejected fraction has gone from tolerable to severe, 0 to 1.
double repeat_budget::Severity() const {
  return std::clamp(
      (rejected_fraction_ - kTolerableRejection) / (kSevereRejection - kTolerableRejection), 0.0,
      1.0);
}

// Repeats are summed over one slice more than requests, because the oldest repeats of that slice
// may still be within the window.
bool repeat_budget::MayRepeat(bool nested) const {
  const double allowance = kAllowanceFraction * allowance_ / static_cast<double>(targets_);
  const double window_left =
      EarnedRepeats() + allowance - Sum(&slice::repeats, 0, kSlicesPerWindow + 1);
  const double max_burst = MaxBurst();
  const double burst_left = max_burst + kMinBurstRepeats - Sum(&slice::repeats, 0, kBurstSlices);
  if (!nested) {
    return window_left >= 1.0 && burst_left >= 1.0;
  }
  const double nested_in_burst =
      Sum(&slice::repeats, 0, kBurstSlices) - Sum(&slice::standalone_repeats, 0, kBurstSlices);
  const double even_spending = NestedBound() * kBurstSlices / static_cast<double>(kSlicesPerWindow);
  if (Severity() >= 1.0 && nested_in_burst >= std::max(1.0, even_spending)) {
    return false;
  }
  return window_left >= 1.0 + ReservedForStandalone(kSlicesPerWindow, EarnedRepeats()) &&
         burst_left >= 1.0 + ReservedForStandalone(kBurstSlices, max_burst);
}

void repeat_budget::OnSendResult(bool rejected) {
  rejected_fraction_ += kSendWeight * ((rejected ? 1.0 : 0.0) - rejected_fraction_);
}

double repeat_budget::NestedShare(instant now) {
  const double severity = Severity();
  if (severity <= 0.0) {
    return 1.0;
  }
  Advance(now);
  const double nested_requests =
      LargestWindow(&slice::requests) - LargestWindow(&slice::standalone_requests);
  const double repeats_per_request =
      rejected_fraction_ / (1.0 - std::min(0.99, rejected_fraction_));
  const double needed = std::max(1.0, nested_requests * repeats_per_request);
  const double share = std::min(1.0, NestedBound() / needed);
  return std::max(kMinNestedShare, 1.0 - severity * (1.0 - share));
}

void repeat_budget::OnFirstSend(bool nested, double repeat_probability, instant now) {
  Advance(now);
  slice& newest = Newest();
  newest.requests += 1.0;
  newest.repeats += repeat_probability;
  newest.charged += repeat_probability;
  newest.standalone_requests += nested ? 0.0 : 1.0;
}

bool repeat_budget::TakeOne(bool nested, instant now, bool has_turn) {
  Advance(now);
  const bool is_chosen = !nested || has_turn || Severity() <= 0.0;
  if (!is_chosen || !MayRepeat(nested)) {
    return false;
  }
  slice& newest = Newest();
  newest.repeats += 1.0;
  newest.standalone_repeats += nested ? 0.0 : 1.0;
  return true;
}

repeat_budget::figures repeat_budget::FiguresAt(instant now) {
  Advance(now);
  return {.requests = Sum(&slice::requests, 0, kSlicesPerWindow),
          .repeats = Sum(&slice::repeats, 0, kSlicesPerWindow),
          .charged = Sum(&slice::charged, 0, kSlicesPerWindow),
          .earned = EarnedRepeats(),
          .allowance = kAllowanceFraction * allowance_ / static_cast<double>(targets_),
          .targets = targets_};
}

}  // namespace cuminferry
