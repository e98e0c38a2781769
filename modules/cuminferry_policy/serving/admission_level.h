#pragma once

#include <deque>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Decides which part of the load on one backend server is let in at its entries.

    Answers a load above the slots: what can't be run in time is refused where it enters.
    The entries let in the most important rows first, as far as the part reaches, so that
    the load that comes is in proportion to it. The part is therefore not moved by steps:
    it is what was in force when that which arrives now was let in, divided by how full
    that makes the slots. Callers say what is in force: a target of several, or one that
    has just started, can't tell it from what it told itself. A surge of three times the slots is
   met after one loop's delay. With steps of a rank that took four seconds, with waits of 0.2 s
   meanwhile, and as long to come back.

    How full the slots are is told by those that are taken, and where requests wait by
    what is on its way.
    @see call_demand, entry_admission
*/
class admission_level {
 public:
  /** Period of Step(). */
  static constexpr duration kPeriod = std::chrono::milliseconds(100);
  /** From a change until it is known at the entries, by the answers on the way. */
  static constexpr duration kTellingDelay = std::chrono::milliseconds(300);
  /** Wait aimed at, in standard deviations of the wait that comes and goes within
      a loop of kShortLoop by the chance of arrivals alone, sqrt(loop x service time /
      slots): with less, slots fall idle before more is let in. With more slots chance
      weighs less; a wait that isn't needed is paid by every call, and callers hold slots
      of their own meanwhile. */
  static constexpr double kAimDeviations = 2.0;
  static constexpr duration kShortLoop = std::chrono::milliseconds(500);
  /** Two turns of the timer that lets waiting requests expire: less is not seen. */
  static constexpr duration kLeastAim = std::chrono::milliseconds(20);
  /** More than half of the shortest objectives in use, 150 ms, is no aim. */
  static constexpr duration kMostAim = std::chrono::milliseconds(80);
  /** A wait over its aim is worked off in about this time: a loop's delay or two. Sooner,
      more would be refused than the wait needs. */
  static constexpr duration kWorkOff = std::chrono::milliseconds(700);
  /** Weight of one period in the load: the last three or four count. */
  static constexpr double kLoadWeight = 0.3;
  /** Entries hear nothing of a backend server that gets nothing. */
  static constexpr double kLeastShare = 0.03;

  /** A request came.
      @param age   since it, or its cause, was let in
      @param work  time that it and those that it stands for will take of the slots
      @param share  what its caller knows to be let in of its row; nothing where it knows no
                    limit, and so lets all in */
  void OnArrival(duration age, duration work, std::optional<double> share);
  /** One period passed.
      @param wait          longest wait of a request in it
      @param taken         slots that are taken now
      @param slots         of how many
      @param service_time  mean time in the backend server */
  void Step(duration wait, std::uint32_t taken, std::uint32_t slots, duration service_time);

  /** Part of the load that is let in. */
  double share() const { return share_; }
  /** Nothing is refused for this backend server's sake. */
  bool open() const { return share_ >= 1.0; }

  /** From a change until its effect shows here. */
  duration loop_delay() const;
  /** The wait that is aimed at. */
  static duration Aim(std::uint32_t slots, duration service_time);

 private:
  double ShareInForce() const;

  double share_ = 1.0;
  // What was in force in the last periods, the newest first.
  std::deque<double> shares_;
  // In force at the callers of what came in this period.
  double told_ = 0.0;
  int tellers_ = 0;
  // Work that came in this period.
  double work_micros_ = 0.0;
  // Load that came, and slots taken, of all slots.
  double offered_ = 0.0;
  double used_ = 0.0;
  // Mean age of what arrives.
  double age_micros_ = 0.0;
};

}  // namespace cuminferry
