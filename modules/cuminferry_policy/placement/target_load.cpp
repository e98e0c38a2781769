#include "cuminferry_policy/placement/target_load.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Time lost by a request that fails, because its retry waits and runs again, as a multiple of the
// mean service time.
constexpr double kFailureCostFactor = 20.0;
// Cost of a request to another failure domain: the network round trip plus a fraction of the mean
// service time. Traffic between failure domains is paid for, and an answer within its latency
// objective gains nothing by being earlier. The fraction is a third of what a full target costs
// more than an empty one (kUtilisationWeight), so that requests leave their failure domain once its
// target is about three quarters full.
constexpr double kOtherDomainMicros = 3'000.0;
constexpr double kOtherDomainServiceFraction = 0.5;
// Each byte that crosses between failure domains is paid for, and on a narrow link all other
// requests wait for it: an upload of 60 KB leaves its failure domain only to save more than 0.12 s.
constexpr double kOtherDomainMicrosPerByte = 2.0;
// A target whose node is stopping serves for some seconds and then refuses requests. It must cost
// more than a target with free slots, but less than a queue.
constexpr double kStoppingServiceFactor = 1.5;
// A target that is warming up takes about twice as long.
constexpr double kWarmUpServiceFactor = 2.0;
// Cost of a target whose slots are all taken, before any wait, in mean service times of the
// service. The same for slow and fast targets.
constexpr double kUtilisationWeight = 1.5;
// Fraction of a target's own service time that counts for a request that is not urgent.
constexpr double kNonUrgentServiceWeight = 0.25;
constexpr double kMinSuccessRatio = 0.05;

}  // namespace

void target_load::OnReport(const target_report& report, instant now) {
  report_ = report;
  reported_at_ = now;
  sent_since_report_ = 0;
}

void target_load::OnFull(instant now) {
  report_.running = std::max(report_.running, report_.limit);
  reported_at_ = now;
}

void target_load::OnSent() {
  ++sent_since_report_;
  ++outstanding_;
}

void target_load::OnDone() { outstanding_ -= outstanding_ > 0 ? 1 : 0; }

bool target_load::IsFresh(instant now) const {
  return has_report() && ReportAge(now) <= service_figures::kMaxReportAge;
}

double target_load::Cost(const published_target& target, const request& sent, double mean_service,
                         double rate_use, instant now) const {
  const bool fresh = IsFresh(now);
  const double limit = std::max(1.0, fresh ? report_.limit : static_cast<double>(target.slots));
  double service = fresh ? static_cast<double>(report_.service_time.count()) : mean_service;
  if (!fresh && now < target.warmed_up_at) {
    service *= kWarmUpServiceFactor;
  }
  const double load =
      fresh ? static_cast<double>(report_.running) + report_.waiting + sent_since_report_
            : outstanding_;
  const double utilisation = std::min(1.0, std::max(rate_use, load / limit));
  const double wait = std::max(0.0, load + 1.0 - limit) / limit * service;
  const double success = std::max(kMinSuccessRatio, fresh ? report_.success_ratio : 1.0);
  const double network_cost = target.failure_domain == sent.own_domain
                                  ? 0.0
                                  : kOtherDomainMicros +
                                        kOtherDomainServiceFraction * mean_service +
                                        kOtherDomainMicrosPerByte * sent.body_bytes;
  const double stopping_cost =
      fresh && report_.stopping ? kStoppingServiceFactor * mean_service : 0.0;
  const double weighted_service = sent.urgent ? service : kNonUrgentServiceWeight * service;
  return stopping_cost + network_cost + weighted_service +
         kUtilisationWeight * mean_service * utilisation * utilisation * utilisation * utilisation +
         wait + (1.0 / success - 1.0) * kFailureCostFactor * mean_service;
}

}  // namespace cuminferry
