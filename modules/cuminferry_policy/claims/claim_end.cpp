#include "cuminferry_policy/claims/claim_end.h"

#include <cassert>

namespace cuminferry {

bool IsFinal(claim_state state) {
  return state != claim_state::kNeverSeen && state != claim_state::kWaiting &&
         state != claim_state::kRunning;
}

claim_end EndOf(claim_state state) {
  assert(IsFinal(state));
  switch (state) {
    case claim_state::kCompleted:
      return claim_end::kCompleted;
    case claim_state::kTombstone:
      return claim_end::kNotRun;
    default:
      return claim_end::kUnknown;
  }
}

}  // namespace cuminferry
