#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Learns which rows the backend server calls while it runs requests of a row,
    and how often.

    Calls carry no tie to the request that caused them. In each short window the
    calls to a row are a sum over the rows that ran in it, each with the time
    that its requests ran and a rate of its own. The rates that fit the windows
    of the last seconds best, none below zero, tell rows apart that often run
    side by side, as soon as their numbers sometimes differ.
*/
class row_causes {
 public:
  /** Length of a window: about a run, so that calls fall where their cause ran. */
  static constexpr duration kWindow = std::chrono::milliseconds(100);
  /** What a window keeps of its weight at the next: 30 s are remembered, so that
      a changed backend server shows within seconds. */
  static constexpr double kKept = 0.997;
  /** Fewer calls a run than this are taken as coincidence. A row that seldom calls
      a full service costs it little. */
  static constexpr double kLeastCalls = 0.4;
  /** Rows learned of, the first that run; a table's other rows don't run here. */
  static constexpr std::size_t kMostRows = 32;

  void OnRunStart(std::string_view row, instant now);
  void OnRunEnd(std::string_view row, instant now);
  /** The backend server calls this row. */
  void OnCall(std::string_view called, instant now);

  /** Calls to `called` in one run of `row`. */
  double CallsPerRun(std::string_view row, std::string_view called) const;
  /** The rows that runs of `row` call, with the calls a run. */
  std::map<std::string, double> CalledBy(std::string_view row) const;
  bool AnyRunning() const { return running_total_ > 0; }

 private:
  struct row_runs {
    std::string name;
    std::uint32_t running = 0;
    /** Within the window: seconds that its requests ran, together. */
    double seconds = 0.0;
    /** Remembered like the windows. */
    double ran_seconds = 0.0;
    double ended = 0.0;
  };
  struct called_row {
    double in_window = 0.0;
    /** Sum over windows of calls times each row's seconds. */
    std::vector<double> products;
    /** Calls a second of each row's running. */
    std::vector<double> rates;
  };

  row_runs* Find(std::string_view row, bool add);
  void Advance(instant now);
  void CloseWindow();
  void Fit(called_row& called) const;

  std::vector<row_runs> rows_;
  // Sum over windows of the products of two rows' seconds.
  std::vector<std::vector<double>> squares_;
  std::map<std::string, called_row, std::less<>> called_;
  std::uint32_t running_total_ = 0;
  instant window_began_{};
  instant advanced_to_{};
};

}  // namespace cuminferry
