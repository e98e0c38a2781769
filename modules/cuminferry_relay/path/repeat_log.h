#pragma once

#include <cstdint>

#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Logs on which figures the own budget of repeats allowed and denied repeats. The bound holds for
    all targets of a service together, so that only the lines of all their nodes, added up, show
    which of them spent more than its part.

    Writes `repeats.decided` a second after the first decision that no line has reported yet.
    @see repeat_budget
*/
class repeat_log {
 public:
  /** Minimum time between two lines. */
  static constexpr duration kPeriod = std::chrono::seconds(1);

  explicit repeat_log(relay_board& board);

  /** A repeat of a request of this row was allowed or denied. */
  void OnDecision(std::string_view row, bool allowed);
  void SetGauges(relay_metrics& metrics) const;

 private:
  void Write();

  relay_board& board_;
  loop_timer timer_;
  instant started_at_;
  bool is_scheduled_ = false;
  std::uint64_t allowed_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace cuminferry
