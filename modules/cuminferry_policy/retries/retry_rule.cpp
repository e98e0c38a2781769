#include "cuminferry_policy/retries/retry_rule.h"

namespace cuminferry {

retry_rule RetryRuleOf(result_code code, bool idempotent) {
  switch (code) {
    case result_code::kRefusedInstanceOnly:
    case result_code::kRefusedDraining:
    case result_code::kNoTableYet:
    case result_code::kTicketTableFull:
      return retry_rule::kOtherTargetOnce;
    case result_code::kConnectionLost:
    case result_code::kPeerSilent:
    case result_code::kBackendFailed:
    case result_code::kAnswerDamaged:
      return idempotent ? retry_rule::kOtherTarget : retry_rule::kNever;
    default:
      return retry_rule::kNever;
  }
}

}  // namespace cuminferry
