#include "cuminferry_relay/path/peer_answer.h"

#include <string>

#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {

peer_answer ReadPeerAnswer(const http_head& answer, const asked_request& asked,
                           const relay_header_names& names) {
  const std::string* answered_id = answer.Find(names.request_id);
  const bool is_foreign = answered_id != nullptr && *answered_id != asked.request_id;
  const std::string* outcome_field = answer.Find(kOutcomeField);
  // The serving side reports its load in all answers that it makes or passes on.
  const bool is_of_http_layer = answer.status >= http_status::kBadRequest &&
                                outcome_field == nullptr && answer.Find(kLoadField) == nullptr;
  const auto outcome = outcome_field == nullptr ? std::nullopt : ParseOutcome(*outcome_field);
  const bool promises_too_much =
      outcome_field == nullptr && http_status::PromisesNotRun(answer.status);
  const bool is_unknown_outcome = outcome_field != nullptr && !outcome;
  if (is_foreign || is_of_http_layer || promises_too_much || is_unknown_outcome) {
    return {.outcome = asked.body_released ? relay_outcome::kLost : relay_outcome::kUnconfirmed,
            .is_conclusive = false};
  }
  return {.outcome = outcome};
}

}  // namespace cuminferry
