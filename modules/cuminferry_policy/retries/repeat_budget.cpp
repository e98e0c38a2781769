#include "cuminferry_policy/retries/repeat_budget.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cuminferry {
namespace {

// Fraction of the target's equal share of the allowance that it may use. The rest covers what the
// process before it used in the same window.
constexpr double kAllowanceFraction = 0.5;
// Maximum fraction of a bound that may be reserved for standalone requests.
constexpr double kMaxReservedFraction = 0.5;
// Number of slices that cover a tenth of a window, and the slice that is being filled.
constexpr std::size_t kSlicesPerTenth = repeat_counts::kSlicesPerWindow / 10;
constexpr std::size_t kBurstSlices = kSlicesPerTenth + 1;

}  // namespace

repeat_budget::repeat_budget(const bounds& chosen, instant started_at)
    : bounds_(chosen), counted_since_(started_at), counts_(chosen.window) {}

void repeat_budget::SetBounds(const bounds& chosen, instant now) {
  if (chosen.window != bounds_.window) {
    counts_ = repeat_counts(chosen.window);
    counted_since_ = now;
  }
  bounds_ = chosen;
}

double repeat_budget::AllowanceAt(instant now) {
  const std::size_t targets = targets_.ValueAt(now);
  if (targets == 0) {
    return 0.0;
  }
  const double counted_for =
      std::clamp(ToSeconds(now - counted_since_) / ToSeconds(bounds_.window), 0.0, 1.0);
  return kAllowanceFraction * bounds_.allowance * counted_for / static_cast<double>(targets);
}

double repeat_budget::EarnedRepeats() const {
  return bounds_.ratio *
         (kLatestWeight * counts_.Sum(&slice::earning, 0, kSlicesPerWindow) +
          kShiftedWeight * counts_.Sum(&slice::earning, kHalfWindow, kSlicesPerWindow));
}

// A window may begin anywhere in a slice. Of that slice all repeats count and no requests; of the
// window that began half a window earlier, the requests of whole slices.
double repeat_budget::LeftInWindows(double allowance) const {
  // Earnings of all slices that are younger than the age of the index.
  std::array<double, kSlicesPerWindow + kHalfWindow + 1> younger{};
  for (std::size_t age = 0; age + 1 < younger.size(); ++age) {
    younger[age + 1] = younger[age] + counts_.Aged(age).earning;
  }
  double repeats = 0.0;
  double left = std::numeric_limits<double>::infinity();
  for (std::size_t age = 0; age <= kSlicesPerWindow; ++age) {
    repeats += counts_.Aged(age).repeats;
    const std::size_t shifted_end = age + 1 - std::min(age + 1, kHalfWindow);
    const double shifted = younger[age + kHalfWindow] - younger[shifted_end];
    const double earned = kLatestWeight * younger[age] + kShiftedWeight * shifted;
    left = std::min(left, bounds_.ratio * earned + allowance - repeats);
  }
  return left;
}

double repeat_budget::ReservedForStandalone(std::size_t slices, double bound) const {
  const double wanted =
      kReservedPerStandalone * counts_.Sum(&slice::standalone_requests, 0, slices) -
      counts_.Sum(&slice::standalone_repeats, 0, slices);
  return std::max(1.0, std::min(wanted, kMaxReservedFraction * bound));
}

// Repeats that nested requests may take in one window.
double repeat_budget::NestedBound(double allowance) const {
  const double earned = EarnedRepeats();
  return std::max(0.0, earned + allowance - ReservedForStandalone(kSlicesPerWindow, earned));
}

double repeat_budget::LargestWindow(double slice::*counter) const {
  return std::max({counts_.Sum(counter, 0, kSlicesPerWindow),
                   counts_.Sum(counter, kHalfWindow, kSlicesPerWindow),
                   counts_.Sum(counter, kSlicesPerWindow, kSlicesPerWindow)});
}

// The slices span between a tenth of a window and a fifth as much again; the bound is scaled down
// to a tenth.
double repeat_budget::MaxBurst() const {
  constexpr auto kTenth = static_cast<double>(kSlicesPerTenth);
  const double now = counts_.Sum(&slice::requests, 0, kBurstSlices) * kTenth /
                     (kTenth + counts_.newest_elapsed_fraction());
  const double usual =
      LargestWindow(&slice::requests) * kTenth / static_cast<double>(kSlicesPerWindow);
  return kMaxBurstRatio * std::max(now, usual);
}

// How far the rejected fraction has gone from tolerable to severe, 0 to 1.
double repeat_budget::Severity() const {
  return std::clamp(
      (rejected_fraction_ - kTolerableRejection) / (kSevereRejection - kTolerableRejection), 0.0,
      1.0);
}

bool repeat_budget::MayRepeat(bool nested, instant now) {
  const double allowance = AllowanceAt(now);
  const double window_left = LeftInWindows(allowance);
  const double max_burst = MaxBurst();
  const double repeats_in_burst = counts_.Sum(&slice::repeats, 0, kBurstSlices);
  const double burst_left = max_burst + kMinBurstRepeats - repeats_in_burst;
  if (!nested) {
    return window_left >= 1.0 && burst_left >= 1.0;
  }
  const double nested_in_burst =
      repeats_in_burst - counts_.Sum(&slice::standalone_repeats, 0, kBurstSlices);
  const double even_spending =
      NestedBound(allowance) * kBurstSlices / static_cast<double>(kSlicesPerWindow);
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
  counts_.Advance(now);
  const double nested_requests =
      LargestWindow(&slice::requests) - LargestWindow(&slice::standalone_requests);
  const double repeats_per_request =
      rejected_fraction_ / (1.0 - std::min(0.99, rejected_fraction_));
  const double needed = std::max(1.0, nested_requests * repeats_per_request);
  const double share = std::min(1.0, NestedBound(AllowanceAt(now)) / needed);
  return std::max(kMinNestedShare, 1.0 - severity * (1.0 - share));
}

void repeat_budget::OnFirstSend(bool nested, double repeat_probability, instant sent_at,
                                instant now) {
  counts_.Advance(now);
  slice& when_sent = counts_.At(sent_at);
  when_sent.requests += 1.0;
  when_sent.earning += (nested ? kNestedEarning : 1.0) * (1.0 - repeat_probability);
  when_sent.standalone_requests += nested ? 0.0 : 1.0;
  slice& newest = counts_.Newest();
  newest.repeats += repeat_probability;
  newest.charged += repeat_probability;
}

bool repeat_budget::TakeOne(bool nested, instant now, bool has_turn) {
  counts_.Advance(now);
  const bool is_chosen = !nested || has_turn || Severity() <= 0.0;
  if (!is_chosen || !MayRepeat(nested, now)) {
    return false;
  }
  slice& newest = counts_.Newest();
  newest.repeats += 1.0;
  newest.standalone_repeats += nested ? 0.0 : 1.0;
  return true;
}

repeat_budget::figures repeat_budget::FiguresAt(instant now) {
  counts_.Advance(now);
  return {.requests = counts_.Sum(&slice::requests, 0, kSlicesPerWindow),
          .repeats = counts_.Sum(&slice::repeats, 0, kSlicesPerWindow),
          .charged = counts_.Sum(&slice::charged, 0, kSlicesPerWindow),
          .earned = EarnedRepeats(),
          .allowance = AllowanceAt(now),
          .targets = targets_.ValueAt(now)};
}

}  // namespace cuminferry
