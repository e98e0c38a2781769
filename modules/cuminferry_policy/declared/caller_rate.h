#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The rate at which each calling node may send to a backend server that declares a rate.

    Hundreds of calling nodes that all see room for ten requests must not send ten each. They are
    not counted: the rate that each of them is told is the same, and it rises or falls until
    together they send little less than the backend server takes. A node that asks for less leaves
    the rest to the others.
*/
class caller_rate {
 public:
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  /** Part of the declared rate that the calling nodes are to send without being asked to wait. */
  static constexpr double kUse = 0.95;

  /** Starts anew: one calling node might send all. */
  void Start(double declared) { rate_ = declared; }
  /** A calling node sent a request by the rate that it was told. */
  void OnArrival() { arrivals_ += 1.0; }
  /** Adapts the rate to the arrivals of a period.
      @param declared  requests a second that the backend server takes, above zero */
  void Step(double declared);

  /** Requests a second of each calling node. */
  double rate() const { return rate_; }

 private:
  double rate_ = 0.0;
  double arrivals_ = 0.0;
  // Moving average of the arrivals a second.
  double arrival_rate_ = 0.0;
};

}  // namespace cuminferry
