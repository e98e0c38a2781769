#include <utility>

#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {

// As the target's node will see it.
request_parts outbound_call::state::Parts() const {
  std::string_view customer;
  if (holder != nullptr) {
    customer = holder->name;
  } else if (table->customers() == nullptr) {
    const std::string* field = client->request().Find(board.settings.headers.customer);
    customer = field == nullptr ? std::string_view() : *field;
  }
  return replay.PartsOf(client->request(), customer);
}

suspect_standing outbound_call::state::Standing() const {
  return suspect ? board.suspects.StandingOf(*suspect, board.loop.Now()) : suspect_standing::kFree;
}

// A body is looked at only where some request like this one ended a backend server.
void outbound_call::state::PlaceUnlessSuspect() {
  if (board.suspects.empty() || !board.suspects.HasPlace(PlaceOf(Parts()))) {
    Place();
  } else if (body_ended || replay.is_known()) {
    OnBodyKnown();
  } else {
    awaits_body = true;
  }
}

void outbound_call::state::OnBodyKnown() {
  awaits_body = false;
  suspect = request_digest::Of(Parts());
  const suspect_standing standing = Standing();
  if (standing == suspect_standing::kBlocked) {
    EndBlocked();
    return;
  }
  if (standing == suspect_standing::kFree) {
    suspect.reset();
  }
  Place();
}

// It would be refused again, so that no time to come back is told.
void outbound_call::state::EndBlocked() {
  record.suspect = suspect->ToText();
  EndWithoutTarget("ends_targets", std::nullopt);
}

}  // namespace cuminferry
