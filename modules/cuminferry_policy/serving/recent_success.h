#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Part of a backend server's latest answers that were successes.

    Answers a backend server that failed for a while: the calling nodes pass it over, so
    that no answer tells that it is well again. Judged by its answers alone, one of three
    targets stood idle for 30 s after a fault of 4 s, with 1 of 85 slots in use, and its
    failure domain's requests crossed to the others. Failures are therefore forgotten with
    time, too. A target that fails on is passed over again after its next failure.
*/
class recent_success {
 public:
  /** Weight of one answer: the last 25 count. */
  static constexpr double kWeight = 0.04;
  /** What failures weigh falls to a third in this time. A target that fails all the
      while is then tried by about one request a second, from all nodes together. */
  static constexpr duration kForgotten = std::chrono::seconds(3);

  /** One answer was, or was not, what was asked for. */
  void Note(bool good, instant now);
  /** Between 0 and 1. */
  double Share(instant now) const;

 private:
  double failed_ = 0.0;
  instant noted_{};
};

}  // namespace cuminferry
