#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/declared/send_pacer.h"
#include "cuminferry_policy/serving/request_queue.h"
#include "cuminferry_policy/serving/slot_learning.h"

namespace cuminferry {

/** A request for a slot of the backend server. */
struct slot_request {
  /** Unique among the requests that the gate holds. */
  std::uint64_t id = 0;
  /** Rank of the row; requests of priority 0 are refused last. */
  std::uint32_t priority = 0;
  /** Whether the request is a call by a running request, whose work a refusal would waste. */
  bool nested = false;
  /** Time left until the caller stops waiting. */
  duration deadline_left{};
  /** Time left until the objective is missed; negative where it is missed already. */
  duration objective_left{};
  /** Answer time that the row aims for. */
  duration objective{};
  /** Mean run time of its row; zero means the mean of all runs. */
  duration run_time{};
  /** Whether it waits for a turn where the backend server declares a rate, as its calling node
      knows no target with room for it. */
  bool awaits_turn = false;
};

enum class slot_verdict : std::uint8_t {
  kStart,
  kWait,
  kRefuse,
  /** No turn within the rate that the backend server declares; another target may have one. */
  kOverRate,
};

/** Decides which requests the own backend server runs now, which wait and which are refused.

    The backend server's own queue is in order of arrival and slows down all requests in it. Under
    a load above the slots the gate therefore leaves that queue empty and queues requests here,
    the most urgent or the most important first. A request waits only while it can still complete in
    time. One that can't is refused while its caller can still do something else. Where the backend
    server declares a rate, a request also needs a turn within that rate.

    In the order by importance, an arrival may displace waiting requests: those that can no longer
    start in time behind it, and the least important one of a full queue. The class does no I/O and
    is not thread-safe; its owner synchronizes access.
    @see request_queue
*/
class slot_gate {
 public:
  /** Fraction of its objective within which a request is refused, so that its caller can try
      again and still be in time. */
  static constexpr double kPromptRefusalShare = 1.0 / 8.0;
  /** Factor on the mean run time that is reserved for a request's own run. The factor is above 1,
      as run times vary. */
  static constexpr double kRunTimeMargin = 1.5;
  /** A request whose calling node may know another target waits for a turn no longer than this: to
      send it there takes less time. */
  static constexpr duration kMaxTurnWait = std::chrono::milliseconds(20);
  /** Requests wait for turns no longer than this, or than kMinQueuedTurns turns take: a longer
     queue is served no faster, and the admission level would swing by seconds. */
  static constexpr duration kMaxTurnQueueTime = std::chrono::milliseconds(300);
  static constexpr double kMinQueuedTurns = 4.0;
  /** Maximum number of waiting requests for each slot. Requests in a longer queue are never served
      in time and only take memory. */
  static constexpr std::uint32_t kMaxQueuedPerSlot = 8;

  explicit slot_gate(std::uint32_t slots);

  //============================================================================
  slot_verdict Offer(const slot_request& request, instant now);
  /** Records that a running request ended after this time in the backend server, and frees its
      slot. */
  void Finish(duration served_time);
  /** Frees the slot of a request that did not run. */
  void Release();
  /** Takes the waiting request that is first in the order, which counts as running from now on;
     returns nothing where no request waits or no slot is free. */
  std::optional<std::uint64_t> StartNext(instant now);
  /** Returns the waiting requests, that which would start first in front. */
  std::vector<std::uint64_t> WaitingInOrder() const { return queue_.IdsInOrder(); }
  /** Removes and returns the requests that can no longer complete in time. */
  std::vector<std::uint64_t> TakeExpired(instant now);
  /** Removes a waiting request whose caller cancelled it; returns false where it doesn't wait. */
  bool Remove(std::uint64_t id);
  /** Displaces waiting requests that can no longer start in time, for example as there are fewer
      slots, and those beyond the maximum length of the queue. Does nothing in the order by
      deadline. To be called periodically; Offer() does the same. */
  void Displace(instant now);
  /** Takes a request that Offer() or Displace() has displaced, in no particular order. It is no
      longer in the queue and has to be refused at once. */
  std::optional<std::uint64_t> TakeDisplaced();
  /** Sets the order in which requests start. */
  void SetOrder(queue_order order) { queue_.SetOrder(order); }

  /** Sets the rate that the backend server declares; nothing where it declares none. */
  void SetRate(const std::optional<double>& rate, instant now) { pacer_.SetRate(rate, now); }
  bool has_rate() const { return pacer_.is_limited(); }
  /** Takes a turn for a repeat in a slot that is already taken; returns false where none is due. */
  bool TryTakeTurn(instant now) { return pacer_.TryTake(now); }
  /** Sets the published number of slots of the backend server. */
  void SetSlots(std::uint32_t slots);
  /** Updates the number of requests that may run from the observed runs. To be called
      periodically. @see slot_learning */
  void Learn(instant now);
  /** Records a completed run.
      @param limit_at_start  the value of limit_when_full() when the run started
      @param relative_time   run time divided by the mean run time of its row */
  void OnRun(std::uint32_t limit_at_start, double relative_time);
  /** Returns the limit where all slots are taken, and zero where some are free. */
  std::uint32_t limit_when_full() const { return lacks_slots() ? limit() : 0; }

  //============================================================================
  /** Returns the longest wait since the last call, which controls the admission level. It covers
      requests that started, that expired, that still wait, and the expected wait of requests that
      were refused. Without the refused ones, a gate that refuses every request it can't start at
      once would seem to have free capacity.

      In the order by importance, the least important requests wait long behind a short queue.
      There, it is the longest time that the slots needed for all waiting requests, whatever their
     order, or the time without a start if that is longer. */
  duration TakeLongestWait(instant now);
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.size()); }
  /** Number of waiting requests that are calls of running requests. */
  std::uint32_t waiting_nested() const { return static_cast<std::uint32_t>(queue_.nested_count()); }
  std::uint32_t limit() const { return learning_.limit(); }
  duration service_time() const;
  /** Returns when the next waiting request expires; nothing where none waits. */
  std::optional<instant> next_expiry() const { return queue_.next_expiry(); }
  /** Returns when the next waiting request gets a turn; nothing where none waits for one. */
  std::optional<instant> NextTurn(instant now) const;
  /** Whether requests wait for slots, and not for turns. */
  bool lacks_slots() const { return running_ >= limit(); }

 private:
  instant LastUsefulStart(const slot_request& request, instant now) const;
  duration MaxWaitForTurn() const;
  duration ExpectedWait(std::size_t requests_ahead, instant now) const;
  request_queue::start_times StartTimes(instant now) const;
  bool is_by_importance() const { return queue_.order() == queue_order::kImportance; }
  bool IsTooLong(instant now) const;

  slot_learning learning_;
  send_pacer pacer_;
  std::uint32_t running_ = 0;
  double mean_service_micros_;
  duration longest_wait_{};
  // When the last request started, or the first one began to wait after that.
  instant waits_since_{};
  request_queue queue_;
  std::vector<std::uint64_t> displaced_;
};

}  // namespace cuminferry
