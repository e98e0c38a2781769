#include "cuminferry_policy/serving/row_run_times.h"

namespace cuminferry {

void row_run_times::OnRun(std::string_view row, duration run_time) {
  const auto micros = static_cast<double>(run_time.count());
  const auto found = mean_micros_.find(row);
  if (found == mean_micros_.end()) {
    mean_micros_.emplace(std::string(row), micros);
  } else {
    found->second += kWeight * (micros - found->second);
  }
}

duration row_run_times::MeanOf(std::string_view row, duration default_time) const {
  const auto found = mean_micros_.find(row);
  return found == mean_micros_.end() ? default_time
                                     : duration(static_cast<duration::rep>(found->second));
}

}  // namespace cuminferry
