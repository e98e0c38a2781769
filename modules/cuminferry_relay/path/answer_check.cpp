#include "cuminferry_relay/path/answer_check.h"

#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {

std::optional<relay_outcome> InvalidAnswerOutcome(const http_head& answer,
                                                  const relay_header_names& names,
                                                  bool is_first_on_connection) {
  const bool echoes = answer.Find(names.request_id) != nullptr;
  if (!echoes && !is_first_on_connection) {
    return relay_outcome::kDamaged;
  }
  if (answer.status == http_status::kMisdirectedRequest) {
    return relay_outcome::kOtherInstance;
  }
  if (answer.Find(names.not_executed) != nullptr) {
    return relay_outcome::kTurnedAway;
  }
  if (http_status::PromisesNotRun(answer.status)) {
    return relay_outcome::kDamaged;
  }
  const bool success =
      answer.status >= http_status::kOk && answer.status < http_status::kFirstRedirect;
  const bool is_signed = answer.Find(names.signature) != nullptr;
  if ((success && !is_signed) || !echoes || answer.Find("content-encoding") != nullptr) {
    return relay_outcome::kDamaged;
  }
  return std::nullopt;
}

}  // namespace cuminferry
