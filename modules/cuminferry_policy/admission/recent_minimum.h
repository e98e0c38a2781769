#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The least of the last few durations: of one to two windows of kWindow each.

    Follows a service that slows down within a window's calls. A mean that moves
    a little with each call would for long let in calls that can't end in time.
*/
class recent_minimum {
 public:
  static constexpr std::uint32_t kWindow = 8;

  void Add(duration value);

  /** Zero where nothing was added yet. */
  duration value() const;

 private:
  duration present_ = duration::max();
  duration former_ = duration::max();
  std::uint32_t count_ = 0;
};

}  // namespace cuminferry
