#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/rank/call_rank.h"

namespace cuminferry {

/** How many calls per second ask to run, by rank: a histogram that forgets.

    A level is a weight together with the under-way bit; within a level the
    hash is cut into buckets. Levels are bounded; one more than the bound is
    counted with the nearest level below it.
*/
class offered_load {
 public:
  static constexpr std::size_t kBuckets = 32;
  static constexpr std::size_t kLevelBound = 64;
  /** What was offered longer ago than this counts little. */
  static constexpr std::chrono::milliseconds kMemory{150};
  /** A surge shows in a shorter memory first. */
  static constexpr std::chrono::milliseconds kShortMemory{40};

  /** Counts one call. */
  void Record(call_rank rank);
  /** A call of this rank was started. */
  void RecordStart(call_rank rank, instant now);
  /** Lets the time pass. */
  void Decay(duration passed);
  /** Forgets all. */
  void Clear();

  //============================================================================
  /** Calls per second of a rank at or above `threshold`. */
  double RateAbove(call_rank threshold) const;
  double rate() const;
  /** How much more is offered at this moment than over the longer memory; at least 1. */
  double SurgeFactor() const;

  /** The highest weight below `weight` of which a call started since `since`;
      nothing where none did. */
  std::optional<std::uint16_t> StartedBelow(std::uint16_t weight, instant since) const;

  /** The lowest rank such that no more than `rate` calls per second are at or above it. */
  call_rank ThresholdForRate(double rate) const;

  /** The rank that lies below `from` by as many calls per second. What is
      refused further up is not seen here, so the density below the threshold
      is taken from the same level above it, or from before it was refused. */
  call_rank Lower(call_rank from, double by_rate) const;

 private:
  struct level {
    std::uint32_t number = 0;
    std::array<float, kBuckets> counts{};
    float total = 0;
    /** The highest rate of late; forgotten slowly. */
    float remembered = 0;
    instant last_start;
  };

  /** Calls per second of a level at or above a hash. */
  static double AboveIn(const level& one, std::uint32_t hash);
  level& LevelOf(std::uint32_t number);

  double short_rate_ = 0;
  /** By ascending number. */
  std::vector<level> levels_;
};

}  // namespace cuminferry
