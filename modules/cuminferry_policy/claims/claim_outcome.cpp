#include "cuminferry_policy/claims/claim_outcome.h"

#include <cassert>

namespace cuminferry {

bool IsFinal(claim_state state) {
  return state != claim_state::kNeverSeen && state != claim_state::kWaiting &&
         state != claim_state::kRunning;
}

claim_outcome OutcomeOf(claim_state state) {
  assert(IsFinal(state));
  switch (state) {
    case claim_state::kCompleted:
      return claim_outcome::kCompleted;
    case claim_state::kTombstone:
      return claim_outcome::kNotRun;
    default:
      return claim_outcome::kUnknown;
  }
}

}  // namespace cuminferry
