#include "cuminferry_policy/admission/recent_minimum.h"

#include <algorithm>
#include <utility>

namespace cuminferry {

void recent_minimum::Add(duration value) {
  if (count_ == kWindow) {
    former_ = std::exchange(present_, duration::max());
    count_ = 0;
  }
  ++count_;
  present_ = std::min(present_, value);
}

duration recent_minimum::value() const {
  const duration least = std::min(present_, former_);
  return least == duration::max() ? duration(0) : least;
}

}  // namespace cuminferry
