#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"
#include "cuminferry_relay/path/peer_answer.h"
#include "cuminferry_relay/path/unlisted_headers.h"

namespace cuminferry {
namespace {

// A node replies within milliseconds unless its process has ended.
constexpr duration kEndQueryTimeout = std::chrono::milliseconds(180);

}  // namespace

void outbound_call::state::OnAnswerHead(http_head head) {
  answer_timer.Stop();
  const instant now = board.loop.Now();
  board.domains.OnReceived(target_domain, now);
  const peer_answer meaning =
      ReadPeerAnswer(head, {.request_id = record.request_id, .body_released = body_released},
                     board.settings.headers);
  if (!meaning.is_conclusive) {
    LeaveTarget("inconclusive", head.status);
    OnPlacementFailed(*meaning.outcome);
    return;
  }
  record.trail.OnWord(meaning.outcome ? ToText(*meaning.outcome) : "answered",
                      send_trail::source::kAnswer, head.status, now - sent_at);
  if (const std::string* serving = head.Find(kServingField)) {
    if (const auto run = ParseInteger<std::int64_t>(*serving)) {
      board.on_instance_confirmed(record.target_id, *run);
    }
  }
  ApplyLoadReport(head, now);
  outcome = meaning.outcome;
  if (outcome) {
    // OnAnswerEnd(), which follows at once, decides what becomes of the request. A body
    // that was not sent is finished empty here, so that the connection can be reused.
    if (!body_released) {
      upstream->FinishBody();
    }
    return;
  }
  head.Remove(kLoadField);
  head.Remove(kRepeatsField);
  head.Remove(kRateField);
  head.Remove(kLeavingField);
  head.Remove(kServingField);
  head.Remove(kOutcomeField);
  resets_if_cut = head.Find(kResetsIfCutField) != nullptr;
  head.Remove(kResetsIfCutField);
  head.RemoveConnectionFields();
  const bool failed = head.status >= http_status::kFirstServerError;
  board.outcomes.OnAnswer(route->name, !failed);
  answer_failed = failed;
  if (failed && MayRunAgain(head.status, now)) {
    failure.Begin(std::move(head));
    return;
  }
  failure.Drop();
  committed = true;
  request_body.Drop();
  if (!detached) {
    client->SendHead(std::move(head));
  }
}

// Whether to run a request that failed at a backend server once more at another target. Another
// run is expected to take as long as the failed one did.
bool outbound_call::state::MayRunAgain(int status, instant now) const {
  return route->repeat == repeat_rule::kIdempotent && status != http_status::kGatewayTimeout &&
         !detached && request_body.is_complete() && record.placements < kMaxPlacements &&
         record.backend_placements + 1 < route->attempts && deadline - now >= now - sent_at &&
         board.outcomes.IsRerunWorthwhile(route->name) && !board.turns.IsScarce(route->name, now);
}

void outbound_call::state::ApplyLoadReport(const http_head& head, instant now) {
  const std::string* field = head.Find(kLoadField);
  const auto load = field == nullptr ? std::nullopt : load_header::Parse(*field);
  if (!load) {
    return;
  }
  target_picker& picker = board.PickerOf(record.service);
  picker.OnReport(record.target_id, load->report, now);
  const std::string* leaving_field = head.Find(kLeavingField);
  const auto leaving_run = leaving_field == nullptr ? std::nullopt : ParseDecimal(*leaving_field);
  if (leaving_run && board.OnDeclaredLeaving(record.service, record.target_id,
                                             static_cast<std::int64_t>(*leaving_run))) {
    board.log.LogChange("target.leaving",
                        {{"target", record.target_id}, {"service", record.service}});
    if (board.unlisted_since(record.target_id)) {
      board.on_target_denied(record.target_id, "declared_leaving");
    }
  }
  const std::string* rate_field = head.Find(kRateField);
  picker.OnRateReport(record.target_id,
                      rate_field == nullptr ? std::nullopt : ParseRateReport(*rate_field), now);
  const bool counts = !picker.IsOutlier(record.target_id, now);
  board.admission.OnAnswer(route->name, counts ? load->limit : std::nullopt, load->from_clients,
                           now);
  const std::string* repeats_field = head.Find(kRepeatsField);
  const auto repeats =
      repeats_field == nullptr ? std::nullopt : repeat_report::Parse(*repeats_field);
  const repeat_report reported = repeats.value_or(repeat_report{});
  board.turns.OnAnswer(route->name, reported.repeated_share, reported.callee_shortage, now);
  if (load->from_clients) {
    board.attribution.OnSentByClients(route->name);
  }
  if (load->items_revision > board.newest_reported_revision) {
    board.newest_reported_revision = load->items_revision;
    board.newest_revision_peer = target_peer;
  }
}

void outbound_call::state::OnAnswerBody(std::string_view bytes) {
  if (failure.is_arriving()) {
    if (!failure.Append(bytes)) {
      ForwardFailure();
    }
    return;
  }
  if (!committed || detached) {
    return;
  }
  body_bytes += static_cast<double>(bytes.size());
  client->SendBody(bytes);
  if (client->unsent_bytes() > tcp_connection::kHighWater) {
    upstream->PauseAnswer();
  }
}

// Streams a failure that is too long to buffer to the client, and the rest as it arrives.
void outbound_call::state::ForwardFailure() {
  committed = true;
  request_body.Drop();
  failure.SendTo(*client);
}

void outbound_call::state::OnAnswerEnd() {
  board.PickerOf(record.service).OnDone(record.target_id);
  finished_upstream = std::move(upstream);
  if (failure.is_arriving()) {
    failure.Finish();
    OnPlacementFailed(relay_outcome::kFailed);
    return;
  }
  if (!committed) {
    OnPlacementFailed(*outcome);
  } else if (finished_upstream->ended_by_close() && !resets_if_cut && !detached) {
    ConfirmAnswerEnd();
  } else {
    FinishAnswer();
  }
}

// Nodes of the previous release send an answer of unknown length until the connection closes, which
// also happens if their process is killed. A process that still answers has closed it itself.
void outbound_call::state::ConfirmAnswerEnd() {
  std::weak_ptr<outbound_call> weak = self->weak_from_this();
  const auto end_by = [weak](void (state::*action)()) {
    if (const auto call = weak.lock(); call && !call->state_->ended) {
      (*call->state_.*action)();
    }
  };
  http_head request;
  request.method = "GET";
  request.target = kUnlistedPath;
  request.Set("Host", target_peer.ToString());
  request.Set("Connection", "close");
  end_query = board.ClientFor(target_peer)
                  .Send(request, {.max_idle_time = http_client::send_options::kNewConnectionOnly},
                        {.on_head = [end_by](const http_head&) { end_by(&state::FinishAnswer); },
                         .on_interim = {},
                         .on_body = {},
                         .on_end = {},
                         .on_failed = [end_by](exchange_failure) { end_by(&state::AbortAnswer); },
                         .on_writable = {},
                         .is_matching_answer = {}});
  end_query->FinishBody();
  answer_timer.StartOnce(kEndQueryTimeout, [this] { AbortAnswer(); });
}

void outbound_call::state::FinishAnswer() {
  if (!detached) {
    client->Finish();
  }
  board.sizes.OnAnswered(route->name, body_bytes);
  End("answered");
}

void outbound_call::state::AbortAnswer() {
  if (!detached) {
    client->Abort();
  }
  End("cut_short");
}

void outbound_call::state::OnUpstreamFailed(exchange_failure why) {
  answer_timer.Stop();
  const instant now = board.loop.Now();
  if (!committed) {
    record.trail.OnWord(ToText(why), send_trail::source::kNode, 0, now - sent_at);
  }
  target_picker& picker = board.PickerOf(record.service);
  picker.OnDone(record.target_id);
  picker.OnUnreachable(record.target_id, now);
  finished_upstream = std::move(upstream);
  if (failure.is_arriving()) {
    failure.Drop();
  }
  if (committed) {
    AbortAnswer();
    return;
  }
  if (why == exchange_failure::kNotSent) {
    OnPlacementFailed(relay_outcome::kDown);
  } else {
    OnPlacementFailed(body_released ? relay_outcome::kLost : relay_outcome::kUnconfirmed);
  }
}

// The last placement brought no answer of a backend server.
void outbound_call::state::OnPlacementFailed(relay_outcome why) {
  const instant now = board.loop.Now();
  outcome = why;
  may_have_run = may_have_run || !IsCertainlyNotRun(why);
  counted_in_demand = counted_in_demand || WasCounted(why);
  if (ReachedBackend(why)) {
    ++record.backend_placements;
  }
  if (why == relay_outcome::kFull) {
    board.PickerOf(record.service).OnTargetFull(record.target_id, now);
  }
  if (why == relay_outcome::kOverRate) {
    // Where no other target has room, the request may wait for a turn at this one.
    board.PickerOf(record.service).OnOverRate(record.target_id, now);
    tried_targets.erase(record.target_id);
  }
  if (why == relay_outcome::kLeaving || why == relay_outcome::kOtherInstance) {
    board.on_target_denied(record.target_id, ToText(why));
  }
  if (why == relay_outcome::kEnded || why == relay_outcome::kEndedAlone) {
    suspect_digest = request_digest::Of(Parts());
    record.suspect_digest = suspect_digest->ToText();
  }
  record.LogFailedPlacement(board.log, why);
  const bool may_repeat = IsCertainlyNotRun(why) || route->repeat == repeat_rule::kIdempotent;
  if (detached || client->client_gone()) {
    End("client_gone");
    return;
  }
  if (may_repeat && MayPlaceAgain(why, now)) {
    Place();
    return;
  }
  if (why == relay_outcome::kBlocked && !may_have_run) {
    RefuseBlocked();
  } else if (IsCertainlyNotRun(why) && !may_have_run) {
    Refuse(ToText(why), RetryDelay(now));
  } else if (why == relay_outcome::kTimedOut) {
    AnswerError(http_status::kGatewayTimeout, ToText(why));
  } else {
    AnswerError(http_status::kBadGateway, ToText(why));
  }
}

bool outbound_call::state::MayPlaceAgain(relay_outcome why, instant now) const {
  const bool is_final = why == relay_outcome::kTimedOut || why == relay_outcome::kEndedAlone ||
                        why == relay_outcome::kBlocked;
  if (!request_body.is_complete() || record.placements >= kMaxPlacements || is_final ||
      deadline - now < kMinPlacementTime) {
    return false;
  }
  const bool lacks_repeat =
      why == relay_outcome::kNoRepeats || (why == relay_outcome::kTurnedAway && !has_turn);
  if (lacks_repeat && board.turns.IsScarce(route->name, now)) {
    // Another target would refuse the repeat as well.
    return false;
  }
  if (!ReachedBackend(why)) {
    return true;
  }
  // The target's node decides whether a repeat is within the fleet's bound.
  return record.backend_placements < route->attempts;
}

duration outbound_call::state::RetryDelay(instant now) {
  return board.admission.RetryAfter(route->name, rank, route->objective, board.random.Fraction(),
                                    now);
}

}  // namespace cuminferry
