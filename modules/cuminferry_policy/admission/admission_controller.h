#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/rank/call_rank.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Names one call within a node, from Offer() to its end. */
using call_key = std::uint64_t;

/** A call that asks to run in the own backend server. */
struct offered_call {
  call_key key = 0;
  /** Index of the row in the shard that was last given to UseTable(). */
  std::uint32_t row = 0;
  call_rank rank;
  instant deadline;
};

/** How a call that ran came to its end. */
enum class run_result : std::uint8_t {
  kAnswered,   ///< the backend server answered in time
  kFailed,     ///< it answered that it can't, or broke off
  kOverload,   ///< it said that it is overloaded
  kTimedOut,   ///< the deadline passed first
  kCancelled,  ///< the caller went away
};

/** A call that is not run here, and never will be under this key. */
struct refused_call {
  call_key key = 0;
  result_code code = result_code::kRefusedOverload;
  /** When the caller should come back at the earliest. */
  std::chrono::milliseconds retry_after{0};
};

/** What the owner of the controller is to do now. Reused between calls so that
    the admit path allocates nothing. */
struct admission_actions {
  std::vector<call_key> start;
  std::vector<refused_call> refuse;

  void Clear() {
    start.clear();
    refuse.clear();
  }
};

/** Which calls one instance runs, which wait and which are refused.

    Sans-I/O and not synchronised; the node guards it with lock_rank::kAdmission.
*/
class admission_controller {
 public:
  /** What the controller knows of its backend server from the start. */
  struct options {
    /** "full", "static" or "none"; see node_settings::control. */
    std::string control = "full";
    std::uint32_t slots = 1;
    /** Most calls waiting; one more is refused. */
    std::uint32_t queue_bound = 1024;
  };

  explicit admission_controller(options chosen);
  ~admission_controller();
  admission_controller(admission_controller&&) noexcept;
  admission_controller& operator=(admission_controller&&) noexcept;

  //============================================================================
  /** Takes the rows of the own service; calls in flight keep their old row. */
  void UseTable(const table_shard& shard, instant now);

  /** Sets how many of a row this node may run at once; see shares/. */
  void SetRowShare(std::uint32_t row, std::uint32_t most_running);

  /** Caps the limit by what the backend server reports; a hint, never raises. */
  void ReportBackendCap(std::uint32_t most_running, instant now);

  //============================================================================
  /** A call asks to run. Its key is in exactly one action, now or later. */
  void Offer(const offered_call& call, instant now, admission_actions& out);

  /** The caller of a queued or running call has gone. A queued one is refused. */
  void Abandon(call_key key, instant now, admission_actions& out);

  /** A running call begins, or ends, to wait for calls that it made itself. */
  void BeginWait(call_key key, instant now, admission_actions& out);
  /** As above, naming the service that it waits for, so that one slow service
      can't hold all slots. Preferred. With several calls outstanding at once,
      each BeginWait() has its EndWait(). */
  void BeginWait(call_key key, std::string_view callee_service, instant now,
                 admission_actions& out);
  void EndWait(call_key key, instant now, admission_actions& out);

  /** A running call has ended. */
  void Finish(call_key key, run_result result, instant now, admission_actions& out);

  /** Drops what expired, moves thresholds. To be called every few milliseconds. */
  void Tick(instant now, admission_actions& out);

  /** Refuses all that is queued and all that will be offered. */
  void Drain(instant now, admission_actions& out);

  //============================================================================
  /** Takes in the threshold that a callee advertised for one of its rows, on a
      reply to a call that a request of `caller_row` made. */
  void LearnThreshold(std::uint32_t caller_row, std::string_view callee_service,
                      std::string_view callee_row, call_rank threshold, instant now);

  /** The rank below which requests of a row are refused here or further down. */
  call_rank ThresholdOf(std::uint32_t row, instant now) const;

  std::uint32_t running() const;
  std::uint32_t queued() const;
  /** Calls of a row that wait. */
  std::uint32_t queued(std::uint32_t row) const;
  /** The present concurrency limit. */
  std::uint32_t limit() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
