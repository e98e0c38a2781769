#include "cuminferry_policy/admission/windowed_minimum.h"

#include <algorithm>
#include <utility>

namespace cuminferry {

void windowed_minimum::Add(duration value) {
  if (current_samples_ == kWindowSamples) {
    previous_minimum_ = std::exchange(current_minimum_, duration::max());
    current_samples_ = 0;
  }
  ++current_samples_;
  current_minimum_ = std::min(current_minimum_, value);
}

duration windowed_minimum::value() const {
  const duration minimum = std::min(current_minimum_, previous_minimum_);
  return minimum == duration::max() ? duration(0) : minimum;
}

}  // namespace cuminferry
