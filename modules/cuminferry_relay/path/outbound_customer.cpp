#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {

// Authenticates the customer by the request's key; returns false if the request was refused.
// None of these refusals takes a slot. Backend servers have no keys and call the same address
// as clients, so their calls can't be distinguished from a client's request without a key:
// rows that backend servers call must be open to all.
bool outbound_call::state::AuthenticateCustomer() {
  const customer_registry* registry = table->customers().get();
  if (registry == nullptr) {
    return true;
  }
  const auto fields = client->request().FindAll(kAuthorizationField);
  const key_check found = CheckKey(fields, registry);
  if (found.status == key_status::kNone && route->accepts_requests_without_key) {
    return true;
  }
  const instant now = board.loop.Now();
  if (found.status == key_status::kKnown) {
    key_holder = found.holder;
    record.customer = key_holder->name;
    if (!IsKeyStale(now)) {
      return true;
    }
    board.metrics.OnCustomerRequest(key_holder->name, "stale_key");
    record.replica_age = board.items_age.AgeAt(now);
    Refuse("stale_key", kDefaultRetryAfter);
    return false;
  }
  if (!board.items_age.IsUpToDate(now)) {
    record.replica_age = board.items_age.AgeAt(now);
    // Clients treat 401 as final, but the key may be too new for this node's replica, or the row
    // may be open to all by now.
    Refuse("unsure_key", kDefaultRetryAfter);
    return false;
  }
  AnswerError(http_status::kUnauthorized,
              found.status == key_status::kNone ? "no_key" : "unknown_key");
  return false;
}

// How long this node may still rely on what it knows of the key; nullopt if that is unbounded.
std::optional<duration> outbound_call::state::RemainingKeyTrust(instant now) const {
  const customer_bounds& bounds = board.settings.customers;
  if (key_holder == nullptr || !bounds.withdrawal_strict) {
    return std::nullopt;
  }
  return board.items_age.RemainingTrustTime(bounds.withdrawal_time, now);
}

bool outbound_call::state::IsKeyStale(instant now) const {
  const std::optional<duration> left = RemainingKeyTrust(now);
  return left && *left <= duration::zero();
}

void outbound_call::state::CheckLimit() {
  if (key_holder == nullptr) {
    AdmitAndPlace();
    return;
  }
  switch (board.limits.DecideOn(*key_holder, board.random.Fraction(), started_at)) {
    case limit_decision::kWithinLimit:
      AdmitCounted();
      break;
    case limit_decision::kOverLimit:
      RefuseOverLimit();
      break;
    case limit_decision::kQueryCoordinator: {
      std::weak_ptr<outbound_call> weak = self->weak_from_this();
      board.query_coordinator(key_holder->name, [weak] {
        if (const auto call = weak.lock()) {
          call->state_->OnCoordinatorQueried();
        }
      });
      break;
    }
  }
}

void outbound_call::state::AdmitCounted() {
  counts_against_limit = true;
  board.metrics.OnCustomerRequest(key_holder->name, "let_in");
  AdmitAndPlace();
}

void outbound_call::state::OnCoordinatorQueried() {
  if (ended) {
    return;
  }
  if (board.limits.AdmitsAfterQuery(*key_holder, board.random.Fraction(), board.loop.Now())) {
    AdmitCounted();
  } else {
    RefuseOverLimit();
  }
}

}  // namespace cuminferry
