#pragma once

#include <cstdint>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/placement/published_target.h"
#include "cuminferry_policy/placement/service_figures.h"
#include "cuminferry_policy/placement/target_report.h"

namespace cuminferry {

/** What a calling node knows of the load of one target: the latest report of the target's node, and
    the requests sent since. */
class target_load {
 public:
  /** The request whose cost is estimated. */
  struct request {
    /** The failure domain from which the request is sent. */
    std::string_view own_domain;
    /** Whether the request has little time left, so that a fast target is preferred even if it
        is fuller. */
    bool urgent = false;
    /** Body bytes that the request will transfer in both directions, as far as known. */
    double body_bytes = 0.0;
  };

  void OnReport(const target_report& report, instant now);
  /** The target's node refused a request although its slots seemed to be free. */
  void OnFull(instant now);
  void OnSent();
  /** A request to the target has finished, with any outcome. */
  void OnDone();

  const target_report& report() const { return report_; }
  bool has_report() const { return reported_at_ != instant{}; }
  /** Time since the latest report; has_report() holds. */
  duration ReportAge(instant now) const { return now - reported_at_; }
  /** Whether the latest report still says something about the load. */
  bool IsFresh(instant now) const;

  /** Cost of sending the request to the target, in microseconds: the time that the request will
      take there, and what it costs others.
      @param mean_service  mean service time of all targets in microseconds
      @param rate_use      share of the rate that the target declares which is in use; 0 where it
                           declares none */
  double Cost(const published_target& target, const request& sent, double mean_service,
              double rate_use, instant now) const;

 private:
  target_report report_;
  instant reported_at_{};
  std::uint32_t sent_since_report_ = 0;
  std::uint32_t outstanding_ = 0;
};

}  // namespace cuminferry
