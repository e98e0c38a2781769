#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Tracks the mean run time of each row in the own backend server, including the time that a run
    waits for its own calls. */
class row_run_times {
 public:
  /** Weight of one run in its row's moving average, which covers about the last fifty runs. */
  static constexpr double kWeight = 0.02;

  void OnRun(std::string_view row, duration run_time);
  /** @param default_time  returned for a row that has not run yet */
  duration MeanOf(std::string_view row, duration default_time) const;

 private:
  std::map<std::string, double, std::less<>> mean_micros_;
};

}  // namespace cuminferry
