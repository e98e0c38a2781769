#include "cuminferry_policy/serving/recent_success.h"

#include <cmath>

namespace cuminferry {

void recent_success::OnAnswer(bool is_success, instant now) {
  failed_fraction_ = 1.0 - RateAt(now);
  failed_fraction_ += kWeight * ((is_success ? 0.0 : 1.0) - failed_fraction_);
  last_answer_ = now;
}

double recent_success::RateAt(instant now) const {
  const double decay_times =
      static_cast<double>((now - last_answer_).count()) / static_cast<double>(kDecayTime.count());
  return 1.0 - failed_fraction_ * std::exp(-decay_times);
}

}  // namespace cuminferry
