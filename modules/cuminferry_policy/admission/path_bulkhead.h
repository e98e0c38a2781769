#pragma once

#include <string_view>

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Keeps a slow path from holding all slots.

    A call that waits for a callee holds its slot. When a deep service slows
    down, the calls that wait for it would hold every slot, and rows that never
    use it would be refused. So where such other rows want slots, the calls that
    wait on one service hold at most a part of them. Calls of rows that mostly
    call it then wait apart, in a short queue, and count neither for the queue
    nor for the threshold of the others.

    Reads rows_section; writes waits_section and queued_apart.
*/
class path_bulkhead {
 public:
  explicit path_bulkhead(admission_blackboard& board) : board_(board) {}

  /** A running call begins to wait for a callee; empty: not known which. */
  void BeginWait(running_call& call, std::string_view callee_service);
  /** It waits no longer. */
  void EndWait(running_call& call);
  /** Finds out which services' parts of the slots are to be bounded now. */
  void OnTick(instant now);

  //============================================================================
  /** Whether no call of the row may start now. */
  bool Holds(std::uint32_t row) const {
    return (board_.rows.rows[row].callees & board_.waits.full) != 0;
  }
  /** Most calls that wait apart. */
  std::size_t LongestApart() const;

 private:
  std::uint32_t MostWaiting() const;
  void NoteFull(std::uint32_t place);
  bool OthersWantSlots(std::uint64_t callee, instant now) const;

  admission_blackboard& board_;
};

}  // namespace cuminferry
