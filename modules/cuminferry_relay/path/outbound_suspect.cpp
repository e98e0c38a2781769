#include <utility>

#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {

// The parts of the request as the target's node will see them.
request_parts outbound_call::state::Parts() const {
  std::string_view customer;
  if (key_holder != nullptr) {
    customer = key_holder->name;
  } else if (table->customers() == nullptr) {
    const std::string* field = client->request().Find(board.settings.headers.customer);
    customer = field == nullptr ? std::string_view() : *field;
  }
  return request_body.PartsOf(client->request(), customer);
}

suspect_status outbound_call::state::SuspectStatus() const {
  return suspect_digest ? board.suspects.StatusOf(*suspect_digest, board.loop.Now())
                        : suspect_status::kNotSuspected;
}

// Waits for the body only if a backend server crashed while running a request of this route hash.
void outbound_call::state::PlaceUnlessSuspect() {
  if (board.suspects.empty() || !board.suspects.HasRouteHash(RouteHashOf(Parts()))) {
    Place();
  } else if (body_ended || request_body.is_digestible()) {
    OnDigestAvailable();
  } else {
    awaits_body = true;
  }
}

void outbound_call::state::OnDigestAvailable() {
  awaits_body = false;
  suspect_digest = request_digest::Of(Parts());
  const suspect_status status = SuspectStatus();
  if (status == suspect_status::kBlocked) {
    RefuseBlocked();
    return;
  }
  if (status == suspect_status::kNotSuspected) {
    suspect_digest.reset();
  }
  Place();
}

// Sends no Retry-After, because the request would be refused again.
void outbound_call::state::RefuseBlocked() {
  record.suspect_digest = suspect_digest->ToText();
  FailUnplaced("ends_targets", std::nullopt);
}

}  // namespace cuminferry
