#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Moving average of the number of events a second. */
class event_rate {
 public:
  /** @param averaging_time  time constant of the average */
  explicit event_rate(duration averaging_time) : averaging_time_(averaging_time) {}

  void OnEvent(instant now);
  /** Events a second. */
  double RateAt(instant now) const;

 private:
  duration averaging_time_;
  // Events a second at `updated_at_`.
  double rate_ = 0.0;
  instant updated_at_{};
};

}  // namespace cuminferry
