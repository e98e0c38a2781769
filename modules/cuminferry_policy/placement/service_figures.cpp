#include "cuminferry_policy/placement/service_figures.h"

namespace cuminferry {
namespace {

// Service time assumed until a target's first report.
constexpr duration kDefaultServiceTime = std::chrono::milliseconds(20);

}  // namespace

void service_figures::SetReport(std::string_view id, const target_report& report, instant now) {
  RemoveReport(id);
  reports_.emplace(id, counted_report{.reported_at = now,
                                      .service_time = report.service_time,
                                      .success_ratio = report.success_ratio});
  service_micros_sum_ += report.service_time.count();
  success_ratios_.insert(report.success_ratio);
  arrivals_.emplace_back(now, id);
}

void service_figures::RemoveReport(std::string_view id) {
  const auto found = reports_.find(id);
  if (found != reports_.end()) {
    Remove(found);
  }
}

void service_figures::Remove(report_map::iterator removed) {
  service_micros_sum_ -= removed->second.service_time.count();
  success_ratios_.erase(success_ratios_.find(removed->second.success_ratio));
  reports_.erase(removed);
}

void service_figures::RemoveStale(instant now) {
  while (!arrivals_.empty() && now - arrivals_.front().first > kMaxReportAge) {
    const auto found = reports_.find(arrivals_.front().second);
    // A target that reported again has a later entry.
    if (found != reports_.end() && found->second.reported_at == arrivals_.front().first) {
      Remove(found);
    }
    arrivals_.pop_front();
  }
}

double service_figures::MeanServiceMicros() const {
  return reports_.empty()
             ? static_cast<double>(kDefaultServiceTime.count())
             : static_cast<double>(service_micros_sum_) / static_cast<double>(reports_.size());
}

double service_figures::BestSuccessRatio() const {
  return success_ratios_.empty() ? 0.0 : *success_ratios_.rbegin();
}

}  // namespace cuminferry
