#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The window over which a customer's limit holds, and the requests that may run beyond it. The
    operators of a deployment agree on these with their customers. */
struct limit_bounds {
  duration window = std::chrono::seconds(5);
  /** Fraction of the requests that rate and burst allow in a window. */
  double excess = 0.25;
  /** Requests in a window, in addition to the excess. */
  double allowance = 0.0;

  /** Number of requests that may run in a window beyond the agreed rate and burst. */
  double RequestsBeyondLimit(double rate, double burst) const {
    return excess * (rate * ToSeconds(window) + burst) + allowance;
  }

  bool operator==(const limit_bounds&) const = default;
};

}  // namespace cuminferry
