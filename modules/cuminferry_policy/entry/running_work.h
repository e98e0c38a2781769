#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Totals over the requests that run at the own backend server. A call of the backend server
    doesn't name the request that makes it, so the call is described by the mean over these
    requests. */
class running_work {
 public:
  /** @param entered   when the request, or the one that caused it, was admitted, as far as that
                      is known
      @param repeated  probability that the run is a repeat, or a call of one */
  void OnStart(instant entered, double repeated);
  /** Takes the same values as OnStart() did for this run. */
  void OnEnd(instant entered, double repeated);

  bool has_runs() const { return runs_ > 0; }
  /** Mean time since the running requests were admitted; zero where nothing runs. */
  duration MeanAge(instant now) const;
  /** Probability that a call of the backend server is made by a repeat. */
  double repeated_share() const;

 private:
  std::int64_t runs_ = 0;
  std::int64_t entered_micros_ = 0;
  double repeated_ = 0.0;
};

}  // namespace cuminferry
