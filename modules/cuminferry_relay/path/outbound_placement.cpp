#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"
#include "cuminferry_relay/path/unlisted_headers.h"

namespace cuminferry {
namespace {

// A target's node answers, or announces its answer by an interim answer, within 50 ms plus the
// round trip. If neither arrives in this time, the node is cut off or frozen or its connection
// is dead.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(180);
// Below this objective, the latency difference between slow and fast targets matters.
constexpr duration kUrgentObjective = std::chrono::milliseconds(400);
constexpr duration kMaxPeerIdleTime = std::chrono::seconds(30);

}  // namespace

void outbound_call::state::Place() {
  const instant now = board.loop.Now();
  if (deadline - now < kMinPlacementTime) {
    OnDeadline();
    return;
  }
  if (HasClientLeft()) {
    OnClientGone();
    return;
  }
  if (SuspectStatus() == suspect_status::kBlocked) {
    RefuseBlocked();
    return;
  }
  if (IsKeyStale(now)) {
    FailUnplaced("stale_key");
    return;
  }
  if (board.settings.drain > duration::zero()) {
    board.unlisted.OnRequest(record.service, now);
  }
  target_picker& picker = board.PickerOf(record.service);
  const auto picked = picker.Pick(
      {.tried_targets = tried_targets,
       .own_domain = board.settings.failure_domain,
       .urgent = !record.nested && route->objective < kUrgentObjective,
       .body_bytes = board.sizes.MeanOf(route->name),
       .cut_off = [this,
                   now](std::string_view domain) { return board.domains.IsCutOff(domain, now); },
       .rendezvous_key =
           suspect_digest ? std::optional(suspect_digest->first_64_bits()) : std::nullopt},
      now, board.random);
  if (!picked) {
    FailUnplaced("no_target");
    return;
  }
  const published_target& target = picked->target;
  ++record.placements;
  tried_targets.insert(target.id);
  record.target_id = target.id;
  record.declared = picked->declared;
  const auto unlisted_since = board.unlisted_since(target.id);
  record.unlisted_for = unlisted_since ? std::optional(now - *unlisted_since) : std::nullopt;
  target_peer = board.PeerAddressOf(target.backend);
  target_domain = target.failure_domain;
  sent_at = now;
  board.domains.OnProbeSent(target_domain, now);
  outcome.reset();
  body_released = !MustAwaitContinue(picker, now);
  request_body.Hold();
  picker.OnSent(record.target_id, now);
  std::weak_ptr<outbound_call> weak = self->weak_from_this();
  const auto with = [weak](auto action) {
    if (const auto call = weak.lock()) {
      action(*call->state_);
    }
  };
  upstream = board.ClientFor(target_peer)
                 .Send(RequestHeadFor(*picked, now), {.max_idle_time = kMaxPeerIdleTime},
                       {.on_head =
                            [with](http_head head) {
                              with([&](state& at) { at.OnAnswerHead(std::move(head)); });
                            },
                        .on_interim =
                            [with](int status) {
                              with([status](state& at) { at.OnInterimAnswer(status); });
                            },
                        .on_body =
                            [with](std::string_view bytes) {
                              with([&](state& at) { at.OnAnswerBody(bytes); });
                            },
                        .on_end = [with] { with([](state& at) { at.OnAnswerEnd(); }); },
                        .on_failed =
                            [with](exchange_failure failure) {
                              with([&](state& at) { at.OnUpstreamFailed(failure); });
                            },
                        .on_writable = [with] { with([](state& at) { at.client->ResumeBody(); }); },
                        .is_matching_answer = {}});
  if (route->repeat != repeat_rule::kIdempotent) {
    record.trail.OnSend(target.id, upstream->connection(), now - started_at);
  }
  if (body_released) {
    SendBufferedBody();
  } else if (request_body.bytes().size() > tcp_connection::kHighWater) {
    PauseClientBody();
  }
  answer_timer.StartOnce(kAnswerTimeout, [this] { OnAnswerTimeout(); });
}

// If an earlier placement was lost, the request may have run. A refusal would then be wrong:
// the caller would take it that the request did not run, while its work may be in progress.
void outbound_call::state::FailUnplaced(std::string_view why, std::optional<duration> retry_after) {
  if (may_have_run) {
    AnswerError(http_status::kBadGateway, why);
  } else {
    Refuse(why, retry_after);
  }
}

// Whether the body is withheld until the target's node answers "100 Continue", so that the
// target can't run the request before. This holds for requests that may run only once and for
// targets whose reachability is uncertain: if the target's node is cut off, frozen or stopped,
// the request surely has not run there and can be placed elsewhere. A long upload that waits at
// this node's own target could not be placed elsewhere once its first part was passed on.
bool outbound_call::state::MustAwaitContinue(const target_picker& picker, instant now) const {
  return route->repeat != repeat_rule::kIdempotent ||
         (target_peer != board.settings.peer &&
          picker.IsReachabilityUncertain(record.target_id, now));
}

// While the client's body is paused, its close is not reported.
bool outbound_call::state::HasClientLeft() const {
  return is_body_paused && !body_ended && client->HasClientClosed();
}

void outbound_call::state::PauseClientBody() {
  is_body_paused = true;
  client->PauseBody();
}

void outbound_call::state::SendBufferedBody() {
  upstream->SendBody(request_body.bytes());
  request_body.Release();
  if (body_ended) {
    upstream->FinishBody();
  } else {
    is_body_paused = false;
    client->ResumeBody();
  }
}

void outbound_call::state::OnInterimAnswer(int status) {
  answer_timer.Stop();
  board.domains.OnReceived(target_domain, board.loop.Now());
  if (status != http_status::kContinue || body_released || !upstream) {
    return;
  }
  if (HasClientLeft()) {
    OnClientGone();
    return;
  }
  body_released = true;
  SendBufferedBody();
  // From now on the target may be running the request without an answer.
  answer_timer.StartOnce(kAnswerTimeout, [this] { OnAnswerTimeout(); });
}

// Neither an answer nor an interim answer arrived in time. Later requests avoid the target at
// once. This request is placed elsewhere if it may be repeated or has not run.
void outbound_call::state::OnAnswerTimeout() {
  if (ended || committed || !upstream) {
    return;
  }
  board.PickerOf(record.service).OnUnreachable(record.target_id, board.loop.Now());
  board.domains.OnUnanswered(target_domain, sent_at, board.loop.Now());
  if (!body_released) {
    LeaveTarget("no-word");
    OnPlacementFailed(relay_outcome::kUnconfirmed);
    return;
  }
  if (detached || route->repeat != repeat_rule::kIdempotent) {
    record.LogFailedPlacement(board.log, relay_outcome::kTimedOut);
    return;
  }
  const instant now = board.loop.Now();
  ++record.backend_placements;
  if (!MayPlaceAgain(relay_outcome::kLost, now)) {
    --record.backend_placements;
    record.LogFailedPlacement(board.log, relay_outcome::kTimedOut);
    return;
  }
  may_have_run = true;
  record.LogFailedPlacement(board.log, relay_outcome::kLost);
  LeaveTarget("no-word");
  Place();
}

// The target's node may still hold or run the request.
void outbound_call::state::LeaveTarget(std::string_view word, int status) {
  record.trail.OnWord(word, send_trail::source::kNode, status, board.loop.Now() - sent_at);
  board.PickerOf(record.service).OnDone(record.target_id);
  upstream->Cancel();
  finished_upstream = std::move(upstream);
}

http_head outbound_call::state::RequestHeadFor(const picked_target& picked, instant now) const {
  const relay_header_names& names = board.settings.headers;
  http_head head = client->request();
  head.RemoveConnectionFields();
  const call_header about{
      .row = route->name,
      .priority = rank,
      .repeat = route->repeat,
      .nested = record.nested,
      .objective = route->objective,
      .objective_left = started_at + route->objective - now,
      .age = now - admitted_at,
      .may_be_repeat = record.backend_placements > 0,
      .repeat_probability = record.backend_placements > 0 ? 1.0 : repeat_probability,
      .stands_for = represented_requests,
      .admitted_share = board.admission.ShareInForce(route->name, now),
      .is_already_counted = counted_in_demand,
      .key_valid_for = RemainingKeyTrust(now),
      .awaits_release = !body_released,
      .framing = head.framing,
      .body_length = head.length};
  if (!body_released) {
    head.framing = body_framing::kChunked;
    head.Set("Expect", "100-continue");
  }
  if (table->customers() != nullptr) {
    head.Remove(kAuthorizationField);
    head.Remove(names.customer);
  }
  if (key_holder != nullptr) {
    head.Set(names.customer, key_holder->name);
  }
  head.Set(names.caller_service, board.settings.service);
  head.Set(names.expected_instance, picked.target.id);
  head.Set(names.deadline,
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count()));
  head.Set(kCallField, about.ToText());
  head.Remove(kNoTurnField);
  if (!has_turn) {
    head.Set(kNoTurnField, "1");
  }
  head.Remove(kTargetsField);
  if (about.may_be_repeat) {
    head.Set(kTargetsField, std::to_string(board.KnownTargetsOf(record.service)));
  }
  head.Remove(kRateField);
  const rate_request rate{.declared = picked.declared,
                          .started_millis = picked.target.started_millis,
                          .awaits_turn = picked.awaits_turn};
  if (rate.is_needed()) {
    head.Set(kRateField, rate.ToText());
  }
  head.Remove(kUnlistedField);
  if (record.unlisted_for) {
    const unlisted_notice notice{.started_millis = picked.target.started_millis,
                                 .unlisted_for = *record.unlisted_for};
    head.Set(kUnlistedField, notice.ToText());
  }
  head.Remove(kSuspectField);
  if (suspect_digest) {
    head.Set(kSuspectField, suspect_digest->ToText());
  }
  return head;
}

}  // namespace cuminferry
