#pragma once

#include <compare>
#include <cstdint>

namespace cuminferry {

/** A hybrid logical time: wall-clock microseconds and a counter that breaks
    ties. Orders causally related events over processes whose clocks differ.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
*/
struct hybrid_time {
  std::int64_t wall_micros = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const hybrid_time&) const = default;
};

/** Issues hybrid times. Not synchronised; the owner guards it. */
class hybrid_clock {
 public:
  /** A peer's clock that is further ahead than this is not followed: one
      broken clock would otherwise push every process's time line ahead. */
  static constexpr std::int64_t kLargestLeadMicros = 60'000'000;

  /** The time of a local event. */
  hybrid_time Tick(std::int64_t wall_micros);

  /** Takes in the time that came with a message and returns that of its receipt. */
  hybrid_time Observe(std::int64_t wall_micros, hybrid_time received);

  hybrid_time last() const { return last_; }

 private:
  hybrid_time last_;
};

}  // namespace cuminferry
