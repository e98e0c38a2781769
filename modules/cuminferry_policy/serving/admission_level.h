#pragma once

#include <deque>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Controls which share of the load on one backend server is admitted at the ingress nodes.

    When the load exceeds the slots, requests that can't run in time are refused at their ingress
    node. Ingress nodes admit the most important rows first, up to the share, so that the arriving
    load is proportional to the share. The new share is therefore computed directly and not
    approached in steps: the share in force when the requests that arrive now were admitted,
    divided by the utilization that they cause. Callers report the share in force, because one of
    several targets, or a target that has just started, can't derive it from its own reports. The
    level adapts to a surge of three times the slots after one loop delay. Steps of one rank took
    four seconds, with waits of 0.2 s meanwhile, and as long to recover.

    The utilization is the fraction of slots that are taken. Where requests wait, it also includes
    the load that arrives beyond the slots.
    @see call_demand, ingress_admission
*/
class admission_level {
 public:
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  /** Time until answers have carried a change of the share to the ingress nodes. */
  static constexpr duration kReportDelay = std::chrono::milliseconds(300);
  /** Setpoint of the wait, in standard deviations of the wait that random arrivals alone cause
      within a loop of kShortLoop, sqrt(loop x service time / slots). With a shorter wait, slots
      fall idle before more load is admitted. With more slots, random arrivals matter less. Every
      call pays for a longer wait than needed, and its caller holds a slot meanwhile. */
  static constexpr double kWaitSetpointDeviations = 2.0;
  static constexpr duration kShortLoop = std::chrono::milliseconds(500);
  /** Two periods of the timer that expires waiting requests. A shorter wait can't be observed. */
  static constexpr duration kMinWaitSetpoint = std::chrono::milliseconds(20);
  /** Upper bound of the setpoint: about half of the shortest objectives in use, 150 ms. */
  static constexpr duration kMaxWaitSetpoint = std::chrono::milliseconds(80);
  /** Time in which a wait above its setpoint is brought down: one or two loop delays. A shorter
      time refuses more load than necessary. */
  static constexpr duration kBacklogDrainTime = std::chrono::milliseconds(700);
  /** Weight of one period in the moving average of the load, which covers the last three or four
      periods. */
  static constexpr double kLoadWeight = 0.3;
  /** Minimum share. Ingress nodes receive no reports from a backend server that gets no requests.
   */
  static constexpr double kMinShare = 0.03;

  /** Records a request that arrived.
      @param age   time since the request, or the request that caused it, was admitted
      @param work  slot time that the request, and the calls that it stands for, will take
      @param share  the admitted share of its row that its caller knows; nothing where the caller
                    knows no limit and therefore admits all */
  void OnArrival(duration age, duration work, std::optional<double> share);
  /** Updates the share at the end of a period.
      @param wait          longest wait of a request in the period
      @param taken         number of slots that are taken now
      @param slots         total number of slots
      @param service_time  mean time in the backend server */
  void Step(duration wait, std::uint32_t taken, std::uint32_t slots, duration service_time);

  /** Share of the load that is admitted, from kMinShare to 1. */
  double share() const { return share_; }
  /** Whether the whole load is admitted. */
  bool open() const { return share_ >= 1.0; }

  /** Time from a change of the share until its effect is observed here. */
  duration loop_delay() const;
  /** Returns the wait that the level is controlled towards. */
  static duration WaitSetpointFor(std::uint32_t slots, duration service_time);

 private:
  double ShareInForce() const;

  double share_ = 1.0;
  // Shares in force in the last periods, the newest first.
  std::deque<double> shares_;
  // Sum and number of the shares that callers reported in this period.
  double reported_share_sum_ = 0.0;
  int report_count_ = 0;
  // Slot time of the requests that arrived in this period.
  double work_micros_ = 0.0;
  // Moving averages of the arriving load and of the slots taken, as fractions of all slots.
  double offered_load_ = 0.0;
  double utilization_ = 0.0;
  // Moving average of the age of arriving requests.
  double age_micros_ = 0.0;
};

}  // namespace cuminferry
