#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/rank/call_rank.h"

namespace cuminferry {

/** Measures the offered calls per second by rank, as a histogram with exponential decay.

    A band comprises the calls of one weight that are equal in the under-way bit; within a band the
    hash is divided into buckets. The number of bands is bounded; calls of a further band are
    counted in the nearest band below it.
*/
class offered_load {
 public:
  static constexpr std::size_t kBuckets = 32;
  static constexpr std::size_t kMaxBands = 64;
  /** Time constant of the histogram's decay. */
  static constexpr std::chrono::milliseconds kTimeConstant{150};
  /** Time constant of the short-term rate, in which a surge shows earlier. */
  static constexpr std::chrono::milliseconds kShortTimeConstant{40};

  /** Counts one offered call. */
  void Record(call_rank rank);
  /** Records that a call of this rank was started. */
  void RecordStart(call_rank rank, instant now);
  /** Decays all rates by the time that has passed. */
  void Decay(duration elapsed);
  /** Discards all counts. */
  void Clear();

  //============================================================================
  /** Returns the offered calls per second with a rank at or above `threshold`. */
  double RateAbove(call_rank threshold) const;
  double rate() const;
  /** Returns the ratio of the short-term rate to the rate over the longer time constant; at least
      1. */
  double SurgeFactor() const;

  /** Returns the highest weight below `weight` of which a call was started at or after `since`, or
      nothing if there was none. */
  std::optional<std::uint16_t> HighestWeightStartedBelow(std::uint16_t weight, instant since) const;

  /** Returns the lowest rank such that at most `rate` calls per second rank at or above it. */
  call_rank ThresholdForRate(double rate) const;

  /** Returns the rank below `from` such that `by_rate` calls per second are offered between the
      two. Calls that are refused further up the call graph don't arrive here, so the density below
      the threshold is estimated from the same band above it, or from the rate before calls were
      refused. */
  call_rank LowerThreshold(call_rank from, double by_rate) const;

 private:
  struct band {
    std::uint32_t number = 0;
    std::array<float, kBuckets> counts{};
    float total = 0;
    /** Recent maximum of `total`, which decays slowly. */
    float decaying_peak = 0;
    instant last_start;
  };

  /** Returns the calls per second of a band at or above a hash. */
  static double RateAboveInBand(const band& entry, std::uint32_t hash);
  band& FindOrAddBand(std::uint32_t number);

  double short_rate_ = 0;
  /** Sorted by ascending number. */
  std::vector<band> bands_;
};

}  // namespace cuminferry
