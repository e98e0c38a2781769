#include "cuminferry_core/time/hybrid_clock.h"

#include <algorithm>

namespace cuminferry {

hybrid_time hybrid_clock::Tick(std::int64_t wall_micros) {
  if (wall_micros > last_.wall_micros) {
    last_ = {wall_micros, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

hybrid_time hybrid_clock::Observe(std::int64_t wall_micros, hybrid_time received) {
  if (received.wall_micros > wall_micros + kMaxLeadMicros) {
    return Tick(wall_micros);
  }
  last_ = std::max(last_, received);
  return Tick(wall_micros);
}

}  // namespace cuminferry
