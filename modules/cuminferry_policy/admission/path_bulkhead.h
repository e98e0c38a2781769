#pragma once

#include <string_view>

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Prevents calls that wait for one slow callee service from holding all slots.

    A call that waits for a callee holds its slot. When a deep service slows down, the calls that
    wait for it would hold every slot, and requests of rows that never use it would be refused.
    Therefore, while such other rows need slots, the calls that wait for one service may hold only a
    fraction of the slots. Calls of rows that frequently call that service are then queued behind a
    bulkhead: their queue is short, and they count neither towards the queue nor towards the
    threshold of the other rows.

    The class reads rows_section and writes waits_section and queued_behind_bulkhead.
*/
class path_bulkhead {
 public:
  explicit path_bulkhead(admission_blackboard& board) : board_(board) {}

  /** Marks a running call as waiting for a callee. An empty name means that the callee is unknown.
   */
  void BeginWait(running_call& call, std::string_view callee_service);
  /** Marks a running call as no longer waiting. */
  void EndWait(running_call& call);
  /** Determines for which services a bulkhead is active now. */
  void OnTick(instant now);

  //============================================================================
  /** Returns whether a bulkhead prevents calls of the row from starting now. */
  bool BlocksRow(std::uint32_t row) const {
    return (board_.rows.rows[row].frequent_callees & board_.waits.bulkhead_full) != 0;
  }
  /** Returns the maximum number of calls that may be queued behind bulkheads. */
  std::size_t MaxBulkheadQueue() const;

 private:
  std::uint32_t MaxWaiting() const;
  void UpdateFull(std::uint32_t index);
  bool DoOtherRowsNeedSlots(std::uint64_t callee, instant now) const;

  admission_blackboard& board_;
};

}  // namespace cuminferry
