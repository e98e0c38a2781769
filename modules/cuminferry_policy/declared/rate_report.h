#pragma once

#include "cuminferry_policy/declared/rate_belief.h"

namespace cuminferry {

/** What a target's node tells a calling node of the rate that its backend server declares. */
struct rate_report {
  rate_belief declared;
  /** Requests a second that this calling node may send. @see caller_rate */
  double caller_rate = 0.0;
  /** Share of the declared rate that is in use, 0 to 1. */
  double use = 0.0;

  bool operator==(const rate_report&) const = default;
};

}  // namespace cuminferry
