#pragma once

#include <optional>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/declared/rate_report.h"

namespace cuminferry {

/** What this node may send to one target whose backend server declares a rate.

    A node keeps to the rate that the target's node told it, so that requests go elsewhere before
    they are turned away. Where it has heard nothing for a while, one request is sent to learn
    whether the declaration is still in force.
*/
class target_rate {
 public:
  /** A report of the target's node.
      @param report  nothing where the backend server declares no rate */
  void OnReport(const std::optional<rate_report>& report, instant now);
  void OnSent(instant now);
  /** The target's node had no turn for a request. */
  void OnTurnedAway(instant now);

  bool IsDeclared(instant now) const { return BeliefAt(now).has_value(); }
  /** Whether a request may be sent now. */
  bool HasTurn(instant now) const;
  /** Whether the target's node has neither reported nor been asked for this long. */
  bool IsTryDue(duration interval, instant now) const;
  /** Share of the declared rate that seems to be in use, 0 to 1. */
  double UseAt(instant now) const;
  /** The declared rate and its age; nothing where none is known. */
  std::optional<rate_belief> BeliefAt(instant now) const;

 private:
  double TokensAt(instant now) const;
  void SetTokens(double tokens, instant now);

  std::optional<rate_report> report_;
  instant reported_at_{};
  instant sent_at_{};
  double sent_since_report_ = 0.0;
  double tokens_ = 0.0;
  instant counted_at_{};
};

}  // namespace cuminferry
