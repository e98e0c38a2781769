#include "cuminferry_policy/entry/retry_after.h"

#include <algorithm>

namespace cuminferry {

duration ComputeRetryAfter(double refused, double min_fraction, double max_fraction,
                           duration objective, double draw) {
  constexpr double kRandomShare = 0.5;
  const double position = std::min(1.0, refused * (1.0 - kRandomShare) + draw * kRandomShare);
  const double fraction = min_fraction + position * (max_fraction - min_fraction);
  return duration(static_cast<duration::rep>(fraction * static_cast<double>(objective.count())));
}

}  // namespace cuminferry
