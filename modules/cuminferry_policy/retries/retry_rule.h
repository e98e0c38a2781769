#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Which retry the sender of a call that did not complete may make. Each retry is charged to
    the tree's retry_allowance and to the path's retry_ratio. */
enum class retry_rule : std::uint8_t {
  kNever,            ///< report the outcome to the caller
  kOtherTargetOnce,  ///< the call did not run; one attempt at another target
  kOtherTarget,      ///< the call may have run; returned for idempotent rows only
};

/** Returns the retry rule for an attempt that ended with `code`.

    A call that was refused because its service is overloaded is never retried: the other
    targets of the service are overloaded as well, and retries would prolong the overload. A
    refusal that concerns one instance only says nothing about the other instances.
*/
retry_rule RetryRuleOf(result_code code, bool idempotent);

}  // namespace cuminferry
