#pragma once

#include <cstdint>

#include "cuminferry_policy/claims/claim_registry.h"

namespace cuminferry {

/** Outcome of a non-idempotent call. The numbers equal those of call_outcome in the wire module,
    which the policy module must not include. */
enum class claim_outcome : std::uint8_t {
  kCompleted = 1,
  kNotRun = 2,
  kUnknown = 3,
};

/** Returns whether a state is final. A final state does not change any more, except from kCompleted
    to kAnswerForgotten. */
bool IsFinal(claim_state state);

/** Returns the outcome that follows from a final state. kNotRun follows from a tombstone only:
    the home instance has stored, or can derive, that the call did not run and never will.
    A refused ticket results in kUnknown: its home instance knows nothing about it, so an
    earlier copy may have run. */
claim_outcome OutcomeOf(claim_state state);

}  // namespace cuminferry
