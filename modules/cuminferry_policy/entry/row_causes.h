#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Learns which rows the backend server calls while it runs requests of a row,
    and how often.

    Calls carry no tie to the request that caused them. Each call is credited to
    the rows that run at that moment, in proportion to their number and to what
    is already known of them (expectation maximisation), so that rows that often
    run side by side come apart as soon as they sometimes don't.
*/
class row_causes {
 public:
  /** A row's runs that the estimate remembers: seconds of load, so that a changed
      backend server shows within seconds. */
  static constexpr double kRunsRemembered = 200.0;
  /** Fewer calls a run than this are taken as coincidence: rows that only run side
      by side with the cause get some credit. Below 0.1, uploads were refused for
      the sake of a service that they never use. */
  static constexpr double kLeastCalls = 0.4;

  void OnRunStart(std::string_view row);
  void OnRunEnd(std::string_view row);
  /** The backend server calls this row. */
  void OnCall(std::string_view called);

  /** Calls to `called` in one run of `row`. */
  double CallsPerRun(std::string_view row, std::string_view called) const;
  /** The rows that runs of `row` call, with the calls a run. */
  std::map<std::string, double> CalledBy(std::string_view row) const;
  bool AnyRunning() const { return running_total_ > 0; }

 private:
  struct row_runs {
    std::uint32_t running = 0;
    double runs = 0.0;
    std::map<std::string, double, std::less<>> calls;
  };

  std::map<std::string, row_runs, std::less<>> rows_;
  std::uint32_t running_total_ = 0;
};

}  // namespace cuminferry
