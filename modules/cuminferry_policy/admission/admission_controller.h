#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/rank/call_rank.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Identifies one call within a node, from Offer() until the call has been refused or has finished.
 */
using call_key = std::uint64_t;

/** A call that requests a slot in the node's own backend server. */
struct offered_call {
  call_key key = 0;
  /** Index of the row in the shard that was last passed to UseTable(). */
  std::uint32_t row = 0;
  call_rank rank;
  instant deadline;
};

/** Outcome of a call that ran in the backend server. */
enum class run_result : std::uint8_t {
  kAnswered,   ///< The backend server answered in time.
  kFailed,     ///< The backend server answered with an error or aborted its answer.
  kOverload,   ///< The backend server answered that it is overloaded.
  kTimedOut,   ///< The deadline passed before the backend server answered.
  kCancelled,  ///< The caller went away before the call completed.
};

/** A call that is refused. The controller never starts a call under this key afterwards. */
struct refused_call {
  call_key key = 0;
  result_code code = result_code::kRefusedOverload;
  /** The time after which the caller may try again. */
  std::chrono::milliseconds retry_after{0};
};

/** The actions that the controller's owner has to carry out. The owner reuses one object for all
    calls, so that admitting a call allocates no memory. */
struct admission_actions {
  std::vector<call_key> start;
  std::vector<refused_call> refuse;

  void Clear() {
    start.clear();
    refuse.clear();
  }
};

/** Decides which calls one instance runs, queues and refuses.

    The class does no I/O and is not synchronised; the node guards it with lock_rank::kAdmission.
*/
class admission_controller {
 public:
  /** Properties of the backend server that are fixed when the node starts. */
  struct options {
    /** One of "full", "static" and "none"; see node_settings::control. */
    std::string control = "full";
    std::uint32_t slots = 1;
    /** Maximum number of queued calls. A call beyond it is refused. */
    std::uint32_t queue_bound = 1024;
  };

  explicit admission_controller(options initial);
  ~admission_controller();
  admission_controller(admission_controller&&) noexcept;
  admission_controller& operator=(admission_controller&&) noexcept;

  //============================================================================
  /** Replaces the rows of the node's own service. Calls in flight stay attributed to their row; a
      row that the new table lacks remains until its calls have finished. */
  void UseTable(const table_shard& shard, instant now);

  /** Sets how many calls of a row this node may run concurrently; see shares/. */
  void SetRowShare(std::uint32_t row, std::uint32_t max_running);

  /** Caps the concurrency limit by the number of calls that the backend server reports it can take.
      The report is a hint: it never raises the limit. */
  void ReportBackendCap(std::uint32_t max_running, instant now);

  //============================================================================
  /** Offers a call for running. Its key appears in exactly one action, in `out` of this function or
      of a later one. */
  void Offer(const offered_call& call, instant now, admission_actions& out);

  /** Reports that the caller of a call has gone. A queued call is refused; a running one continues
      until Finish(). */
  void Abandon(call_key key, instant now, admission_actions& out);

  /** Marks a running call as waiting for calls that it made itself. EndWait() ends the wait. */
  void BeginWait(call_key key, instant now, admission_actions& out);
  /** As above, but names the service that the call waits for, so that calls waiting for one slow
      service can't hold all slots. Callers should prefer this overload. Where several calls are
      outstanding at once, each BeginWait() needs its own EndWait(). */
  void BeginWait(call_key key, std::string_view callee_service, instant now,
                 admission_actions& out);
  void EndWait(call_key key, instant now, admission_actions& out);

  /** Reports the outcome of a running call and frees its slot. */
  void Finish(call_key key, run_result result, instant now, admission_actions& out);

  /** Refuses expired calls and updates the limit and the thresholds. The node calls this every few
      milliseconds. */
  void Tick(instant now, admission_actions& out);

  /** Refuses all queued calls and every call that is offered afterwards. */
  void Drain(instant now, admission_actions& out);

  //============================================================================
  /** Stores the threshold that a callee reported for one of its rows, in its reply to a call that a
      request of `caller_row` made. */
  void LearnThreshold(std::uint32_t caller_row, std::string_view callee_service,
                      std::string_view callee_row, call_rank threshold, instant now);

  /** Returns the rank below which requests of a row are refused, either here or by a service that
      they call. */
  call_rank ThresholdOf(std::uint32_t row, instant now) const;

  std::uint32_t running() const;
  std::uint32_t queued() const;
  /** Returns the number of queued calls of a row. */
  std::uint32_t queued(std::uint32_t row) const;
  /** Returns the current concurrency limit. */
  std::uint32_t limit() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
