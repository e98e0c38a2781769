#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/placement/target_report.h"

namespace cuminferry {

/** Figures over the recent reports of all targets of a service. A report changes them at the cost
    of one target, however many there are. */
class service_figures {
 public:
  /** A report that is older than this is ignored. */
  static constexpr duration kMaxReportAge = std::chrono::seconds(2);

  /** Replaces the target's report. */
  void SetReport(std::string_view id, const target_report& report, instant now);
  void RemoveReport(std::string_view id);
  void RemoveStale(instant now);

  /** Mean service time of the targets in microseconds. */
  double MeanServiceMicros() const;
  /** The highest success ratio of a target; 0 where none has reported. */
  double BestSuccessRatio() const;

 private:
  struct counted_report {
    instant reported_at;
    duration service_time;
    double success_ratio;
  };
  using report_map = std::map<std::string, counted_report, std::less<>>;

  void Remove(report_map::iterator removed);

  report_map reports_;
  std::int64_t service_micros_sum_ = 0;
  // In order.
  std::multiset<double> success_ratios_;
  // Ids in the order of their reports.
  std::deque<std::pair<instant, std::string>> arrivals_;
};

}  // namespace cuminferry
