#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Adjusts the rank below which new requests are refused because of this instance's load.

    A queue that stays above its desired length, a fraction of the concurrent calls, shows that more
    calls are offered than finish. The threshold is then raised in one step to the rank above which
    the offered rate equals the service rate, as the offered rates are known by rank. While slots
    are free the threshold is lowered, and faster the longer they stay free.

    The class reads the calls, the queue and the limit, and writes threshold_section and the service
    rate in limit_section.
*/
class threshold_controller {
 public:
  explicit threshold_controller(admission_blackboard& board) : board_(board) {}

  void OnFinished() {
    ++finished_since_tick_;
    ++finished_total_;
  }
  void OnAnswered() { ++answers_since_tick_; }
  void OnTick(instant now);
  /** Discards what was learned from the load before a pause of this process. */
  void Reset(instant now);

  //============================================================================
  /** Returns the queue length that the controller aims at under overload. */
  double DesiredQueueLength() const;
  /** Returns the queue length beyond which the queued call of the lowest rank is evicted;
      `lowest_weight` is that call's weight. */
  std::size_t MaxQueueLength(std::uint16_t lowest_weight, instant now) const;
  /** Returns the expected queueing time of a call that has this many calls ahead of it. */
  duration ExpectedWait(std::size_t calls_ahead) const;

 private:
  /** Returns the calls per second that the slots allow at the current self and hold times. */
  double SlotServiceRate() const;
  void UpdateServiceRate(duration elapsed);
  void UpdateAnswerRateThreshold(duration elapsed, instant now);
  double HoldSeconds() const;
  /** Returns the calls per second to admit for the queue to reach its desired length. */
  double DesiredRate() const;
  void MoveThreshold(duration elapsed, instant now);
  /** Returns the fraction of the desired rate by which the admitted rate may grow now. */
  double GrowthFraction(duration elapsed) const;
  /** Returns `desired`, or the highest threshold below it that doesn't refuse a weight before the
      weights below it. */
  call_rank ClampToWeightOrder(call_rank desired, instant now) const;

  admission_blackboard& board_;
  instant last_tick_;
  std::uint32_t finished_since_tick_ = 0;
  std::uint64_t finished_total_ = 0;
  std::uint32_t answers_since_tick_ = 0;
  double answers_per_second_ = 0;
  duration idle_for_{0};
};

}  // namespace cuminferry
