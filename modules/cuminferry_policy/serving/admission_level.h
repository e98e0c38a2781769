#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Steers which requests are let in at their entry by the wait at one backend
    server.

    A request's rank is its priority plus a fraction drawn for it; it is let in
    where its rank is below the level. So the least important rows give way
    first, a part at a time, and a row only when those below it are refused
    whole. The level falls in proportion to how far the wait is over its aim and
    rises slowly near full slots: the effect of a step shows only when requests
    admitted before it have come down through the call graph. How long that takes is
    seen from the age of what arrives; the longer, the smaller the steps, or the level
    swings between refusing too many and too few. Where many slots are free it rises
    fast: the load that lowered it is gone.
*/
class admission_level {
 public:
  /** From a step until it is known at the entries, by the answers on the way. */
  static constexpr duration kTellingDelay = std::chrono::milliseconds(300);
  /** Steps are as below where they show within this; smaller where it takes longer. */
  static constexpr duration kShortLoop = std::chrono::milliseconds(500);
  /** Wait aimed at, in standard deviations of the wait that comes and goes within
      a short loop by the chance of arrivals alone, sqrt(loop x service time /
      slots): with less, slots fall idle before the level has risen. In the replay
      of a surge of 1.5 times 23 slots, two (44 ms) keep 89% of them busy with whole
      requests. With more slots chance weighs less; a wait that isn't needed is paid
      by every call, and callers hold slots of their own meanwhile. */
  static constexpr double kAimDeviations = 2.0;
  /** Two turns of the timer that lets waiting requests expire: less is not seen. */
  static constexpr duration kLeastAim = std::chrono::milliseconds(20);
  /** More than half of the shortest objectives in use, 150 ms, is no aim. */
  static constexpr duration kMostAim = std::chrono::milliseconds(80);
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  static constexpr double kFallPerStep = 0.10;
  static constexpr double kRisePerStep = 0.025;
  /** Added to the rise where no slot is taken; less where more are, nothing from
      kBusyShare on. */
  static constexpr double kFreeRisePerStep = 0.25;
  static constexpr double kBusyShare = 0.8;

  explicit admission_level(double top) : top_(top), level_(top) {}

  /** One period passed.
      @param wait          longest wait of a request in it
      @param taken         slots that are taken now
      @param slots         of how many
      @param service_time  mean time in the backend server */
  void Step(duration wait, std::uint32_t taken, std::uint32_t slots, duration service_time);
  /** A request came that was let in, or whose cause was let in, so long ago. */
  void OnArrival(duration age);
  /** From a step until its effect shows here. */
  duration loop_delay() const;
  /** The wait that is aimed at. */
  static duration Aim(std::uint32_t slots, duration service_time);

  /** Ranks lie below this; changes with the table's priorities. */
  void SetTop(double top);

  double level() const { return level_; }
  /** Nothing is refused for this backend server's sake. */
  bool open() const { return level_ >= top_; }

 private:
  double top_;
  double level_;
  // Mean age of what arrives.
  double age_micros_ = 0.0;
};

}  // namespace cuminferry
