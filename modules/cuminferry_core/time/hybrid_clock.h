#pragma once

#include <compare>
#include <cstdint>

namespace cuminferry {

/** A hybrid logical time: wall-clock microseconds and a counter that breaks ties. It orders
   causally related events of processes whose clocks differ.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
*/
struct hybrid_time {
  std::int64_t wall_micros = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const hybrid_time&) const = default;
};

/** Issues hybrid times. The clock is not thread-safe; its owner synchronizes the access. */
class hybrid_clock {
 public:
  /** A peer's time that is further ahead than this is ignored. Otherwise one wrong clock would
      advance the time line of every process. */
  static constexpr std::int64_t kMaxLeadMicros = 60'000'000;

  /** Returns the time of a local event. */
  hybrid_time Tick(std::int64_t wall_micros);

  /** Advances the clock past the time in a received message, and returns the time of its receipt.
   */
  hybrid_time Observe(std::int64_t wall_micros, hybrid_time received);

  hybrid_time last() const { return last_; }

 private:
  hybrid_time last_;
};

}  // namespace cuminferry
