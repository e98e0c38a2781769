#pragma once

#include <string_view>

#include "cuminferry_policy/blackboard/admission_blackboard.h"

namespace cuminferry {

/** Stores the thresholds below which callees, and their own callees, refuse calls.

    A request that a callee would refuse after work was done for it is refused here before that work
    starts. The threshold of a callee row is the median of the last replies, as the targets of one
    callee service have different thresholds. All rows of this node share it: with a threshold for
    each row, a light row whose calls are rarely admitted would rely on outdated replies while a
    heavy row is refused. The threshold applies only to rows of which most requests make that call.

    The class writes paths_section and row_record::frequent_callees.
*/
class learned_thresholds {
 public:
  explicit learned_thresholds(admission_blackboard& board) : board_(board) {}

  /** Stores a threshold that a callee reported in its reply to a call of `row`. */
  void Learn(std::uint32_t row, std::string_view callee_service, std::string_view callee_row,
             call_rank threshold, instant now);
  /** Counts a request of `row` that has finished here. */
  void OnFinished(std::uint32_t row);
  /** Discards all thresholds but retains the counts of the calls that each row makes. */
  void Reset();

  //============================================================================
  /** Returns the highest threshold among the calls that the row's requests frequently make. */
  call_rank ThresholdFor(std::uint32_t row, instant now) const;

  /** Returns whether a new request below the threshold may pass as a probe, and counts it as one.
      Probes pass at a bounded rate, and only while no reply has arrived recently. Without them, a
      high threshold that no request passes would never be updated and would outlast the overload.
  */
  bool TakeProbe(std::uint32_t row, instant now);

 private:
  std::uint32_t FindOrAddCalleeRow(std::string_view service, std::string_view callee_row);
  void CountCall(row_paths& row, std::uint32_t callee_row);
  void UpdateFrequentCallees(std::uint32_t row);

  admission_blackboard& board_;
};

}  // namespace cuminferry
