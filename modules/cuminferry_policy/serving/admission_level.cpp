#include "cuminferry_policy/serving/admission_level.h"

#include <algorithm>

namespace cuminferry {

void admission_level::Step(duration wait) {
  const double over =
      static_cast<double>(wait.count()) / static_cast<double>(kWaitAim.count()) - 1.0;
  const double step = over > 0 ? -kFallPerStep * std::min(1.0, over) : kRisePerStep * -over;
  level_ = std::clamp(level_ + step, 0.0, top_);
}

void admission_level::SetTop(double top) {
  const bool was_open = open();
  top_ = top;
  level_ = was_open ? top : std::min(level_, top);
}

}  // namespace cuminferry
