#pragma once

#include <optional>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/declared/caller_rate.h"
#include "cuminferry_policy/declared/declared_rate.h"
#include "cuminferry_policy/declared/rate_level.h"
#include "cuminferry_policy/declared/rate_report.h"

namespace cuminferry {

/** What follows from the rate that the own backend server declares, other than the pace itself:
   what each calling node may send, and the share of the load that is admitted for its sake.

    Only requests that no other target has room for lower that share. A request that was sent by the
    rate its calling node was told, and finds no turn, goes to another target.
    @see send_pacer
*/
class rate_control {
 public:
  /** Period of Step(). */
  static constexpr duration kPeriod = caller_rate::kPeriod;
  /** A rate that no answer has confirmed for this long may have changed. */
  static constexpr duration kConfirmationTime = std::chrono::seconds(1);

  /** A request that wants a turn. */
  struct arrival {
    /** Requests that it stands for. @see call_demand */
    double requests = 1.0;
    /** Share of its row that its calling node admits; nothing where that knows no limit. */
    std::optional<double> admitted_share;
    /** Its calling node knows no target with room for it, so that it waits for a turn. */
    bool awaits_turn = false;
    /** It found no turn and goes to another target. */
    bool is_over_rate = false;
  };

  //============================================================================
  /** @see declared_rate. Each returns whether the rate has changed. */
  bool OnDeclared(std::string_view instance, double rate, instant now);
  bool OnNotDeclared(std::string_view instance, instant sent_at);
  bool OnBelief(std::string_view instance, const rate_belief& belief, instant now);
  /** Another run of the backend server has started, which has declared nothing. */
  void Forget();

  void OnArrival(const arrival& arrived, instant now);
  /** A request was sent to the backend server, for the first time or as a repeat. */
  void OnSent() { sent_ += 1.0; }
  /** To be called each kPeriod.
      @param wait  longest wait for a turn in the period */
  void Step(duration wait, instant now);

  //============================================================================
  /** The declared rate; nothing where none is in force. */
  std::optional<rate_belief> BeliefAt(instant now) const { return declared_.BeliefAt(now); }
  /** Requests a second to send now; nothing where no rate is in force. Until an answer confirms a
      rate that was heard some time ago, single requests are sent: it may have fallen meanwhile, as
      while this process was down. */
  std::optional<double> PacedRateAt(instant now) const;
  /** What calling nodes are told; nothing where no rate is in force. */
  std::optional<rate_report> ReportAt(instant now) const;
  /** Share of the load that is admitted for the sake of the rate, up to 1. */
  double share() const { return level_.share(); }

 private:
  /** A rate comes into force. */
  void Start(double rate);
  /** Requests a second that are sent at this declared rate. */
  static double PacedRate(double declared);

  declared_rate declared_;
  caller_rate callers_;
  rate_level level_;
  // Requests sent in this period.
  double sent_ = 0.0;
  // Moving average of the share of the rate that is in use.
  double use_ = 0.0;
};

}  // namespace cuminferry
