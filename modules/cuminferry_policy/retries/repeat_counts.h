#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Requests and repeats at one backend server, by time slice, over two windows of the bound on
    repeats. @see repeat_budget */
class repeat_counts {
 public:
  struct slice {
    double requests = 0.0;
    /** Requests by what they earn. */
    double earning = 0.0;
    double repeats = 0.0;
    /** The part of `repeats` that are calls of repeated runs, which nobody decides about. */
    double charged = 0.0;
    // The part of `requests` and `repeats` that concerns standalone requests.
    double standalone_requests = 0.0;
    double standalone_repeats = 0.0;
  };

  static constexpr std::size_t kSlicesPerWindow = 50;

  explicit repeat_counts(duration window);

  /** Starts new slices up to this time. */
  void Advance(instant now);
  /** The slice of a time up to that of the last Advance(); the oldest one for an earlier time. */
  slice& At(instant when);
  slice& Newest() { return slices_[static_cast<std::size_t>(newest_) % kSlices]; }
  /** Counts of the slice that began `age` slices before the newest one; zero for older ones than
      are known. */
  const slice& Aged(std::size_t age) const;
  /** Sums a counter over `count` slices, the newest of which has this age. */
  double Sum(double slice::*counter, std::size_t age, std::size_t count) const;
  /** Fraction of the newest slice that has elapsed, 0 to 1. */
  double newest_elapsed_fraction() const { return newest_elapsed_fraction_; }

 private:
  // Two windows, and the slice that is being filled.
  static constexpr std::size_t kSlices = 2 * kSlicesPerWindow + 1;

  std::int64_t NumberOf(instant when) const { return when.time_since_epoch() / slice_length_; }

  duration slice_length_;
  std::array<slice, kSlices> slices_{};
  // Number of the newest slice, counted from the epoch of `instant`.
  std::int64_t newest_ = 0;
  double newest_elapsed_fraction_ = 0.0;
};

}  // namespace cuminferry
