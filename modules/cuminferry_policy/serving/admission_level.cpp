#include "cuminferry_policy/serving/admission_level.h"

#include <algorithm>

namespace cuminferry {

void admission_level::Step(duration wait, double taken, duration service_time) {
  const duration part(static_cast<duration::rep>(kAimPart * service_time.count()));
  const duration aim = std::clamp(part, kLeastAim, kMostAim);
  const double over = static_cast<double>(wait.count()) / static_cast<double>(aim.count()) - 1.0;
  const double free = std::max(0.0, kBusyShare - taken) / kBusyShare;
  const double step = over > 0 ? -kFallPerStep * std::min(1.0, over)
                               : kRisePerStep * -over + kFreeRisePerStep * free;
  level_ = std::clamp(level_ + step, 0.0, top_);
}

void admission_level::SetTop(double top) {
  const bool was_open = open();
  top_ = top;
  level_ = was_open ? top : std::min(level_, top);
}

}  // namespace cuminferry
