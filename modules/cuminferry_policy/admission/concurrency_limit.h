#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Adapts how many calls may use the backend server concurrently.

    The limit starts low, as a backend server that has just started is slow, and increases with each
    completed call up to the number of slots. Self time is a call's running time without the time
    that it waits for calls of its own. When self time exceeds its baseline, the controller tests
    the limit: it holds the limit while it measures self time, cuts the limit, and measures self
    time again. If self time falls with the limit, calls were queueing inside the backend server and
    the cut stays. If it doesn't fall, the work itself has become slower and a lower limit would
    only cost goodput, so the limit is restored.

    The class writes limit_section and the baselines in rows_section.
*/
class concurrency_limit {
 public:
  explicit concurrency_limit(admission_blackboard& board);

  /** Resets the limit to its initial value, as for a backend server that has just started. */
  void Reset();
  /** Takes the backend server's report that it can run `max_running` calls concurrently. */
  void OnReport(std::uint32_t max_running, instant now);
  /** Updates the limit after a call has finished. `self` is the call's running time without its
      waits for other calls, `hold` the time with them. */
  void OnFinished(const running_call& call, bool overloaded, duration self, duration hold,
                  instant now);
  /** Recomputes the limit in force. */
  void OnTick(instant now);

 private:
  /** Statistics of self time divided by its baseline, over calls that started under the same limit.
   */
  struct window {
    double sum = 0;
    double sum_of_squares = 0;
    std::uint32_t count = 0;

    void Add(double ratio);
    double mean() const { return sum / count; }
    /** Returns whether the window holds enough calls for its mean to show the change that a test
        looks for. */
    bool IsConclusive(double limit) const;
  };

  enum class stage : std::uint8_t { kIncrease, kHold, kCut };

  void AddSample(const running_call& call, double self_micros, instant now);
  void EvaluateWindow(double ratio, instant now);
  void EnterStage(stage next);
  void EvaluateTest(double ratio, instant now);
  void Increase();
  /** Returns the cap that the backend server's report puts on the limit; the number of slots if the
      report puts none. */
  double ReportedLimit(instant now) const;
  double FloorLimit() const;
  void Publish(instant now);

  admission_blackboard& board_;
  double own_limit_ = 1;
  /** The limit does not increase beyond this value before the next window has been evaluated. */
  double increase_bound_ = 1;
  /** While this is true, the limit grows by one with each finished call; afterwards by one with
      each `limit` finished calls. */
  bool slow_start_ = true;
  window window_;

  stage stage_ = stage::kIncrease;
  double limit_before_test_ = 1;
  double ratio_before_test_ = 1;
  instant next_test_;
  duration test_interval_{0};

  double reported_limit_ = 0;
  bool has_report_ = false;
  instant reported_at_;
  std::uint32_t finished_calls_ = 0;
  instant overload_sign_at_;
  instant last_overload_cut_at_;
};

}  // namespace cuminferry
