#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Estimate of a customer's request rate from counts.

    A customer may begin to send seven times its usual rate within a second, and a customer that
    sends three requests a second must not be refused for three that arrive together. A long moving
    average therefore gives the rate, and starts anew from a short one when the two differ by more
    than chance explains. Counts may arrive in reports of several requests each.
*/
class demand_rate {
 public:
  /** Time constants of the two moving averages. */
  static constexpr duration kShortTime = std::chrono::seconds(1);
  static constexpr duration kLongTime = std::chrono::seconds(4);
  /** Minimum time over which a new estimate is averaged. */
  static constexpr duration kMinTime = std::chrono::milliseconds(250);
  /** Standard deviations between the two averages that show a change. */
  static constexpr double kChangeDeviations = 3.5;
  /** Standard deviations by which LowerBound() is below the rate. */
  static constexpr double kLowerDeviations = 0.5;

  /** @param start  time from which requests are counted */
  explicit demand_rate(instant start) : started_at_(start), updated_at_(start) {}

  /** Counts requests. */
  void Add(double requests, instant now);
  /** Requests per second. */
  double At(instant now) const;
  /** A rate that the customer exceeds with a probability of two thirds: a customer that stays
      below its share must not be refused because of a few requests that arrive together. */
  double LowerBound(instant now) const;

 private:
  double ShortRate(instant now) const;
  /** Time in seconds over which the long average effectively counts. */
  double CountedTime(instant now) const;

  // Start of the long average.
  instant started_at_;
  instant updated_at_;
  // Moving averages in requests per second, too low by the part of their time before the start.
  double short_sum_ = 0.0;
  double long_sum_ = 0.0;
  // Moving average of the requests that are counted at once.
  double mean_count_ = 1.0;
};

}  // namespace cuminferry
