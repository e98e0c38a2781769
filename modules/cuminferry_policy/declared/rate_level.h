#pragma once

#include <optional>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Share of the load on a backend server that is admitted at the ingress nodes for the sake of the
    rate that it declares.

    The capacity is known, other than that of slots, so the share follows from the demand at once:
    each request stands for as many as its ingress node refused with it, and the declared rate
    divided by their number is the share to admit. The time that requests wait for their turns
    corrects what the estimate lacks. Nothing is refused for the sake of requests that would
    otherwise go to another target: the share is 1 while none waits that has nowhere else to go.
    @see admission_level
*/
class rate_level {
 public:
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  /** Bounds of the time over which the demand is averaged, and the turns that it is to cover. */
  static constexpr duration kMinAveragingTime = std::chrono::milliseconds(600);
  static constexpr duration kMaxAveragingTime = std::chrono::seconds(4);
  static constexpr double kAveragedTurns = 12.0;
  /** Wait for a turn at which the share is left as it is. */
  static constexpr duration kMinWaitSetpoint = std::chrono::milliseconds(80);
  static constexpr double kWaitSetpointTurns = 2.0;

  /** Records requests that get a turn or wait for one.
      @param requests     number of requests
      @param share        the admitted share of their row that their calling node knows; nothing
                          where it knows no limit and therefore admits all
      @param awaits_turn  whether no other target has room for them. @see picked_target */
  void OnArrival(double requests, const std::optional<double>& share, bool awaits_turn);
  /** Updates the share at the end of a period.
      @param rate  requests a second that the backend server takes, above zero
      @param wait  longest wait for a turn in the period */
  void Step(double rate, duration wait);

  /** Share of the load that is admitted, up to 1. */
  double share() const { return share_; }

 private:
  double share_ = 1.0;
  // Requests of this period, each with those that were refused for it.
  double arrived_ = 0.0;
  // Those among them that no other target has room for.
  double arrived_awaiting_ = 0.0;
  // Moving average of the demand in requests a second, and the sum of the weights in it.
  double demand_ = 0.0;
  double weight_ = 0.0;
  // The same of those that no other target has room for, over kMaxAveragingTime.
  double awaiting_demand_ = 0.0;
};

}  // namespace cuminferry
