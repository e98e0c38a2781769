#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/serving/slot_learning.h"

namespace cuminferry {

/** A request that asks for a slot of the backend server. */
struct slot_request {
  /** Unique among those that the gate holds. */
  std::uint64_t id = 0;
  /** 0 is refused last. */
  std::uint32_t priority = 0;
  /** A call of work that already runs: refusing it wastes that work. */
  bool nested = false;
  /** Left until the caller stops waiting. */
  duration deadline_left{};
  /** Left until the answer loses part of its worth; negative where it is late. */
  duration objective_left{};
  /** Objective of the row. */
  duration objective{};
  /** Mean time that its row runs; zero: like all. */
  duration run_time{};
};

enum class slot_verdict : std::uint8_t { kStart, kWait, kRefuse };

/** Decides which requests the one backend server runs now, which wait and which
    are refused.

    Answers a load above the backend server's slots: the backend server's own
    queue is in order of arrival and slows down all that it holds, so the gate
    keeps it empty and holds the queue here, most urgent first. A request waits
    only while it can still end in time; one that can't is refused while its
    caller can still do something else. Sans I/O; the owner guards it.
*/
class slot_gate {
 public:
  /** A refusal within this share of its objective leaves the caller time to
      come back and still be in time. */
  static constexpr double kPromptShare = 1.0 / 8.0;
  /** Part of a request's remaining time that its own run is expected to take at
      most; above the mean, as run times vary. */
  static constexpr double kServiceMargin = 1.5;
  /** Requests waiting for each slot at most: a longer queue is never served in
      time, and holds memory. */
  static constexpr std::uint32_t kQueuePerSlot = 8;

  explicit slot_gate(std::uint32_t slots);

  //============================================================================
  slot_verdict Offer(const slot_request& request, instant now);
  /** A running request ended after this long in the backend server. */
  void Finish(duration ran);
  /** A request that had a slot did not run after all. */
  void Release();
  /** The most urgent request that can start now; it counts as running. */
  std::optional<std::uint64_t> StartNext(instant now);
  /** Takes out the requests that waited as long as was useful. */
  std::vector<std::uint64_t> TakeExpired(instant now);
  /** Takes out a waiting request whose caller left; false where it doesn't wait. */
  bool Remove(std::uint64_t id);

  /** Slots that the backend server is said to have. */
  void SetSlots(std::uint32_t slots);
  /** How many may run, as the backend server's runs have told; to be called now and then.
      @see slot_learning */
  void Learn(instant now);
  /** A run ended that took so much of its row's mean.
      @param began  what limit_when_full() was as it began */
  void OnRun(std::uint32_t began, double relative);
  /** The limit, where all slots are taken; zero where some are free. */
  std::uint32_t limit_when_full() const { return running_ >= limit() ? limit() : 0; }

  //============================================================================
  /** Longest wait of a request that started since the last call, that waits still, or
      that was refused as it would have waited so long: what the admission level is
      steered by. Where only waits counted, a gate that refused all it could not run at
      once looked as if it had room. */
  duration TakeLongestWait(instant now);
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.size()); }
  std::uint32_t limit() const { return learning_.limit(); }
  duration service_time() const;
  /** When the next waiting request expires. */
  std::optional<instant> next_expiry() const;

 private:
  struct waiting_request {
    instant arrived;
    instant give_up;
  };

  instant LastUsefulStart(const slot_request& request, instant now) const;
  duration ExpectedWait(instant give_up) const;

  slot_learning learning_;
  std::uint32_t running_ = 0;
  double service_micros_;
  duration longest_wait_{};
  // In order of the last useful start.
  std::set<std::pair<instant, std::uint64_t>> queue_;
  std::unordered_map<std::uint64_t, waiting_request> by_id_;
};

}  // namespace cuminferry
