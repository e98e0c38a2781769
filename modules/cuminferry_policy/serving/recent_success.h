#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Tracks the fraction of a backend server's latest answers that were successes.

    Calling nodes avoid a backend server that fails, so it sends no answers that would show its
    recovery. With answers as the only input, one of three targets stayed idle for 30 s after a
    fault of 4 s, with 1 of 85 slots in use, and the requests of its failure domain went to other
    failure domains. The weight of failures therefore also decays with time. A target that still
    fails is avoided again after its next failure.
*/
class recent_success {
 public:
  /** Weight of one answer in the moving average, which covers about the last 25 answers. */
  static constexpr double kWeight = 0.04;
  /** Time in which the weight of failures decays to about a third (1/e). A target that always
      fails is then tried by about one request a second, from all nodes together. */
  static constexpr duration kDecayTime = std::chrono::seconds(3);

  /** Records one answer.
      @param is_success  whether the backend server answered the request successfully */
  void OnAnswer(bool is_success, instant now);
  /** Returns the success rate at `now`, between 0 and 1. */
  double RateAt(instant now) const;

 private:
  double failed_fraction_ = 0.0;
  instant last_answer_{};
};

}  // namespace cuminferry
