#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Counts the calls that runs on this node need, and reports that demand with each call.

    Runs make their calls one after the other. If calls have to wait, only as many calls arrive
    at the called service as it answers, however large the demand is: a saturated service sees
    its own throughput and a wait that grows by a tenth of the excess. Each call therefore
    carries the number of calls that runs here have come to need since the last call of that row.
    Their sum at the service is the admitted load, and shows an overload one loop delay before
    the waiting time does.
*/
class call_demand {
 public:
  /** Adds the calls that a starting run will make.
      @param calls        mean number of calls in one run of the row, by called row
      @param represented  requests of its own row that the run represents */
  void OnRunStart(const std::map<std::string, double>& calls, double represented);
  /** Returns how many calls a call that is made now represents, and resets that count. The
      result is 1 where the calling row is unknown. */
  double OnCall(std::string_view called);

  /** Maximum number of calls that one call represents: aborted runs leave a demand for calls
      that nobody makes. */
  static constexpr double kMaxRepresented = 20.0;

 private:
  std::map<std::string, double, std::less<>> demand_;
};

}  // namespace cuminferry
