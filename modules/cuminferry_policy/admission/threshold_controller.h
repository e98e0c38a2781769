#pragma once

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Moves the rank below which new requests are refused for this instance's load.

    A queue that stands longer than a part of the time that calls take means
    that more is offered than ends. The threshold then goes to the rank above
    which just as much is offered as the instance can end: in one step, as the
    offered ranks are known. While slots are free it goes down, the quicker the
    longer they stay free.

    Reads calls, queue and limit; writes threshold_section and the ends per
    second in limit_section.
*/
class threshold_controller {
 public:
  explicit threshold_controller(admission_blackboard& board) : board_(board) {}

  void OnEnded() {
    ++ends_since_tick_;
    ++ends_seen_;
  }
  void OnAnswered() { ++answers_since_tick_; }
  void OnTick(instant now);
  /** Forgets what was learned from the load before a pause of this process. */
  void Reset(instant now);

  //============================================================================
  /** The queue length that is aimed at under overload. */
  double AimedQueue() const;
  /** The queue length beyond which the lowest rank, of this weight, is evicted. */
  std::size_t LongestQueue(std::uint16_t lowest_weight, instant now) const;
  /** How long a call waits that has so many ahead of it. */
  duration WaitBehind(std::size_t ahead) const;

 private:
  /** Calls per second that the slots allow at the present times. */
  double RateOfSlots() const;
  void FollowEnds(duration passed);
  void FollowAnswers(duration passed, instant now);
  double HoldSeconds() const;
  /** Calls per second to be let in, so that the queue comes to its aim. */
  double WantedRate() const;
  void Move(duration passed, instant now);
  /** The part of the wanted rate by which more is let in now. */
  double Growth(duration passed) const;
  /** `wanted`, or as far up as no weight is refused before those below it. */
  call_rank InOrder(call_rank wanted, instant now) const;

  admission_blackboard& board_;
  instant last_tick_;
  std::uint32_t ends_since_tick_ = 0;
  std::uint64_t ends_seen_ = 0;
  std::uint32_t answers_since_tick_ = 0;
  double answers_per_second_ = 0;
  duration idle_for_{0};
};

}  // namespace cuminferry
