#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Steers which requests are let in at their entry by the wait at one backend
    server.

    A request's rank is its priority plus a fraction drawn for it; it is let in
    where its rank is below the level. So the least important rows give way
    first, a part at a time, and a row only when those below it are refused
    whole. The level falls in proportion to how far the wait is over its aim and
    rises slowly: the effect of a step shows only when requests admitted before
    it have come down through the call graph, some hundred milliseconds later.
*/
class admission_level {
 public:
  /** Wait aimed at. Short against any objective; long enough that slots don't
      fall idle between arrivals. */
  static constexpr duration kWaitAim = std::chrono::milliseconds(25);
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  static constexpr double kFallPerStep = 0.10;
  static constexpr double kRisePerStep = 0.025;

  explicit admission_level(double top) : top_(top), level_(top) {}

  /** One period passed in which requests waited so long at most. */
  void Step(duration wait);

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
