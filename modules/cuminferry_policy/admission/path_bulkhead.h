#pragma once

#include <string_view>

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Keeps a slow path from holding all slots.

    A call that waits for a callee holds its slot. When a deep service slows
    down, the calls that wait for it would hold every slot, and rows that never
    use it would be refused. So calls of a row start only while the calls that
    wait on each service that the row mostly calls hold less than a part of the
    slots. It binds only while rows that don't use the service want slots.

    Reads paths_section and rows_section, writes waits_section.
*/
class path_bulkhead {
 public:
  explicit path_bulkhead(admission_blackboard& board) : board_(board) {}

  /** A running call begins to wait for a callee; empty: not known which. */
  void BeginWait(running_call& call, std::string_view callee_service);
  /** It waits no longer. */
  void EndWait(running_call& call);
  /** Finds out which services' callers are to be held back now. */
  void OnTick(instant now);

  /** Whether no call of the row may start now. */
  bool Holds(std::uint32_t row) const;

 private:
  std::uint32_t MostWaiting() const;
  std::uint32_t CalleeOf(std::string_view service);
  bool UsesCallee(std::uint32_t row, const callee_waits& callee) const;
  bool OthersWantSlots(const callee_waits& callee, instant now) const;

  admission_blackboard& board_;
  bool any_bounded_ = false;
};

}  // namespace cuminferry
