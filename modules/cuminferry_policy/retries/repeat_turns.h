#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Gives scarce repeats to some runs of the own backend server and none to the others.

    A run that makes several calls succeeds only if each of them does. Where a called service
    rejects about half of its requests, the repeats within the bound, spread evenly over all calls,
    complete hardly any run; given to a part of the runs, they complete nearly all of that part. A
    node can't tell which run makes a call, so it takes turns: during a turn all its calls are
    repeated where needed, and none between two turns. The nodes that make calls draw their turns
    independently, in the share that the called service reports.

    Failures under such a shortage are no reason for another run, which would lack the repeats as
    well. A node therefore also reports the shortage of the services that its backend server
    calls.
*/
class repeat_turns {
 public:
  /** Length of a turn: several times as long as a run that makes a few calls of less than a tenth
      of a second, because a run that overlaps the end of a turn fails. */
  static constexpr duration kTurn = std::chrono::milliseconds(1'500);
  /** A report that no answer has confirmed for this long is outdated. */
  static constexpr duration kReportAge = std::chrono::seconds(1);

  /** Records what an answer to a call of a row reports.
      @param repeated_share    share of the calls whose repeats are within the bound
      @param callee_shortage   whether a service that runs of the row call lacks repeats */
  void OnAnswer(std::string_view row, double repeated_share, bool callee_shortage, instant now);

  /** Whether calls of the row that are made now may be repeated. */
  bool HasTurn(std::string_view row, instant now, random_source& random);
  /** Whether repeats of the row, or of calls made by its runs, are scarce. */
  bool IsScarce(std::string_view row, instant now) const;
  /** The same for any row. */
  bool IsAnyScarce(instant now) const;

 private:
  struct row_state {
    double share = 1.0;
    bool callee_shortage = false;
    instant reported_at{};
    bool has_turn = true;
    instant turn_ends_at{};
  };

  static bool IsScarce(const row_state& state, instant now);

  std::map<std::string, row_state, std::less<>> rows_;
};

}  // namespace cuminferry
