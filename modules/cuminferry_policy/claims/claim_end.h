#pragma once

#include <cstdint>

#include "cuminferry_policy/claims/claim_book.h"

namespace cuminferry {

/** How a non-idempotent call ended. The numbers are those of call_end in the
    wire module, which policy may not use. */
enum class claim_end : std::uint8_t {
  kCompleted = 1,
  kNotRun = 2,
  kUnknown = 3,
};

/** A state that will not change any more. */
bool IsFinal(claim_state state);

/** What a final state lets one say of the ticket. kNotRun only for a tombstone:
    the home remembers, or can derive, that the ticket did not run and never
    will. A refused ticket is one of which the home knows nothing, so that an
    earlier copy may have run. */
claim_end EndOf(claim_state state);

}  // namespace cuminferry
