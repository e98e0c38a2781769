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
    admitted before it have come down through the call graph, some hundred
    milliseconds later. Where many slots are free it rises fast: the load that
    lowered it is gone.
*/
class admission_level {
 public:
  /** Wait aimed at, in times of the backend server's own: long enough that slots
      don't fall idle between arrivals, short against any objective. In the replay
      of a surge of 1.5 times the slots, twice the service time keeps 92% of them
      busy with whole requests, half of it 82%. */
  static constexpr double kAimPart = 2.0;
  static constexpr duration kLeastAim = std::chrono::milliseconds(35);
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
      @param taken         part of the slots that are taken now
      @param service_time  mean time in the backend server */
  void Step(duration wait, double taken, duration service_time);

  /** Ranks lie below this; changes with the table's priorities. */
  void SetTop(double top);

  double level() const { return level_; }
  /** Nothing is refused for this backend server's sake. */
  bool open() const { return level_ >= top_; }

 private:
  double top_;
  double level_;
};

}  // namespace cuminferry
