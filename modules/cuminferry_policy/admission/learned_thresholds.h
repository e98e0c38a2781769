#pragma once

#include <string_view>

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** What callees, and their callees in turn, refuse.

    A request that would be refused further down after work was done for it is
    refused here at once. Per callee row the threshold is the median of the last
    replies, as the targets of one callee service differ. It is one for all own
    rows: learned for each apart, a light row whose calls are seldom let through
    would go by old words while a heavy one is refused. It counts for a row only
    where the row's requests mostly make that call.

    Writes paths_section and row_record::callees.
*/
class learned_thresholds {
 public:
  explicit learned_thresholds(admission_blackboard& board) : board_(board) {}

  /** A callee advertised a threshold on a reply to a call of `row`. */
  void Learn(std::uint32_t row, std::string_view callee_service, std::string_view callee_row,
             call_rank threshold, instant now);
  /** A request of `row` ended here. */
  void OnEnded(std::uint32_t row);
  /** Forgets all thresholds, but not which calls the rows make. */
  void Reset();

  //============================================================================
  /** The highest threshold among the calls that the row mostly makes. */
  call_rank Of(std::uint32_t row, instant now) const;

  /** Whether a new request below the threshold may pass as a test of it. True
      at a bounded rate, and only where no reply has come of late: otherwise a
      high threshold that nothing passes would be confirmed by nothing and
      would outlast the overload. */
  bool TakeProbe(std::uint32_t row, instant now);

 private:
  std::uint32_t PlaceOf(std::string_view service, std::string_view callee_row);
  void CountCall(row_paths& row, std::uint32_t callee_row);
  void NoteCallees(std::uint32_t row);

  admission_blackboard& board_;
};

}  // namespace cuminferry
