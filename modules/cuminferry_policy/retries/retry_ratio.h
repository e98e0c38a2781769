#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Limits the ratio of retries to first attempts on one path at one node, so that many
    requests with allowance left cannot all retry into the same outage.

    Processes that are restarted in series begin anew each time. What a path may spend without
    having earned it therefore comes little by little after a process has started: whatever
    restarts, the retries in any span of time are at most kEarnedPerCall of its first attempts,
    kMaxBalance that was saved before, and kMaxBalance for each kGrantTime of the span.
*/
class retry_ratio {
 public:
  /** Retries earned by each first attempt. */
  static constexpr double kEarnedPerCall = 0.1;
  /** Maximum number of retries saved up, which an idle path may spend at once. */
  static constexpr double kMaxBalance = 10.0;
  /** Time in which a process that has just started is granted kMaxBalance. */
  static constexpr duration kGrantTime = std::chrono::seconds(10);

  /** @param started  when the process was started */
  explicit retry_ratio(instant started) : started_(started) {}

  /** Adds the retries earned by a first attempt to the balance. */
  void OnFirstAttempt(instant now);
  /** Takes one retry from the balance; returns false if the balance is below one retry. */
  bool TakeOne(instant now);

 private:
  void Grant(instant now);

  instant started_;
  double granted_ = 0.0;
  double balance_ = 0.0;
};

}  // namespace cuminferry
