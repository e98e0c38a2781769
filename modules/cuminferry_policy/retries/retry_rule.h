#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What the sender of a call that did not complete may do. A retry always takes
    one of the tree's allowance and one of the path's ratio. */
enum class retry_rule : std::uint8_t {
  kNever,            ///< pass the end on
  kOtherTargetOnce,  ///< it was not run there; one try at another target
  kOtherTarget,      ///< it may have run: only where the row is idempotent
};

/** The rule for an attempt that ended with a code.

    A service that is overloaded is never asked again: its other targets are
    overloaded as well, and retries are what keeps an overload alive. A refusal
    for one instance's own sake says nothing of the others.
*/
retry_rule RetryRuleOf(result_code code, bool idempotent);

}  // namespace cuminferry
