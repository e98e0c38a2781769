#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The minimum over a sliding window of the last durations. The window covers between one and two
    times kWindowSamples samples.

    The minimum reflects a service that slows down within kWindowSamples calls. A moving average
    that changes a little with each call would for a long time admit calls that can't complete
    before their deadlines.
*/
class windowed_minimum {
 public:
  static constexpr std::uint32_t kWindowSamples = 8;

  void Add(duration value);

  /** Returns the minimum; zero if no duration was added yet. */
  duration value() const;

 private:
  duration current_minimum_ = duration::max();
  duration previous_minimum_ = duration::max();
  std::uint32_t current_samples_ = 0;
};

}  // namespace cuminferry
