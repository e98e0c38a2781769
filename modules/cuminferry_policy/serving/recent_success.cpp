#include "cuminferry_policy/serving/recent_success.h"

#include <cmath>

namespace cuminferry {

void recent_success::Note(bool good, instant now) {
  failed_ = 1.0 - Share(now);
  failed_ += kWeight * ((good ? 0.0 : 1.0) - failed_);
  noted_ = now;
}

double recent_success::Share(instant now) const {
  const double passed =
      static_cast<double>((now - noted_).count()) / static_cast<double>(kForgotten.count());
  return 1.0 - failed_ * std::exp(-passed);
}

}  // namespace cuminferry
