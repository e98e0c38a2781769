#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** How many calls may use the backend server at once.

    Starts low, as a cold backend server is slow, and climbs by success to the
    slots. When self time (running time without the time spent waiting for
    calls out) stands above its baseline, the limit is tested: it is held while
    self time is measured, cut, and self time is measured again. Where self time
    falls with the limit, calls were queueing inside the backend server and the
    cut stays; where it does not, the work itself has become slower, a lower
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
  /** Self times over their baselines, of calls that started under one limit. */
  struct window {
    double sum = 0;
    double squares = 0;
    std::uint32_t count = 0;

    void Add(double ratio);
    double mean() const { return sum / count; }
    /** Whether the mean is known well enough to see the fall that a test looks for. */
    bool IsEnough(double limit) const;
  };

  enum class stage : std::uint8_t { kClimb, kHold, kCut };

  void CountSample(const running_call& call, double self_micros, instant now);
  void JudgeWindow(double ratio, instant now);
  void Enter(stage next);
  void JudgeTest(double ratio, instant now);
  void Climb();
  /** The cap that the backend server's report puts on the limit. */
  double ReportedLimit(instant now) const;
  double FloorLimit() const;
  void Publish(instant now);

  admission_blackboard& board_;
  double own_limit_ = 1;
  /** Not beyond this before the next window is judged. */
  double climbs_to_ = 1;
  /** Climbs with each call that ends; else with each round of calls. */
  bool climbs_fast_ = true;
  window window_;

  stage stage_ = stage::kClimb;
  double limit_before_test_ = 1;
  double ratio_before_test_ = 1;
  instant next_test_;
  duration test_pause_{0};

  double reported_ = 0;
  bool reported_ever_ = false;
  instant reported_at_;
  std::uint32_t ends_since_report_ = 0;
  instant trouble_at_;
  instant cut_at_;
};

}  // namespace cuminferry
