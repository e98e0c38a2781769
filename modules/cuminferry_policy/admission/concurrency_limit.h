#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** How many calls may use the backend server at once.

    Starts low, as a cold backend server is slow, and climbs by success to the
    slots. When self time (running time without the time spent waiting for
    calls out) stands above its baseline, the limit is cut as a test: where self
    time then falls with it, calls were queueing inside the backend server and
    the cut stays; where it does not, the work itself has become slower, a lower
    limit would only cost goodput, and the limit is put back.

    Writes limit_section and the baselines in rows_section.
*/
class concurrency_limit {
 public:
  explicit concurrency_limit(admission_blackboard& board);

  /** Starts anew, as with a cold backend server. */
  void Reset();
  /** The backend server reported that it can take this many calls at once. */
  void OnReport(std::uint32_t most_running, instant now);
  /** A call ended; `self` and `hold` are its times without and with waits. */
  void OnEnded(const running_call& call, bool overloaded, duration self, duration hold,
               instant now);
  /** Recomputes the limit in force. */
  void OnTick(instant now);

 private:
  void CountSample(const running_call& call, double self_micros, instant now);
  void JudgeWindow(instant now);
  void JudgeTest(double ratio);
  void Climb();
  bool TrustsReport(instant now) const;
  double FloorLimit() const;
  void Publish(instant now);

  admission_blackboard& board_;
  double own_limit_ = 1;
  /** How much slower than the baselines the work itself has become. */
  double pace_ = 1;
  double window_sum_ = 0;
  std::uint32_t window_count_ = 0;
  bool testing_ = false;
  double limit_before_test_ = 1;
  double ratio_before_test_ = 1;
  double reported_ = 0;
  instant reported_at_;
  instant trouble_at_;
  instant cut_at_;
  std::uint32_t ends_since_report_ = 0;
  bool reported_ever_ = false;
};

}  // namespace cuminferry
