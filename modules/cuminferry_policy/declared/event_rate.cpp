#include "cuminferry_policy/declared/event_rate.h"

#include <cmath>

namespace cuminferry {

void event_rate::OnEvent(instant now) {
  rate_ = RateAt(now) + 1.0 / ToSeconds(averaging_time_);
  updated_at_ = now;
}

double event_rate::RateAt(instant now) const {
  return rate_ * std::exp(-ToSeconds(now - updated_at_) / ToSeconds(averaging_time_));
}

}  // namespace cuminferry
