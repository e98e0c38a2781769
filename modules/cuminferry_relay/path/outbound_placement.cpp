#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {
namespace {

// A target's node answers or announces its answer within 50 ms and the way. One
// that has not after this is cut off, frozen or its connection silent.
constexpr duration kSilentAfter = std::chrono::milliseconds(180);
// Within such an objective the difference between a slow and a fast target is felt.
constexpr duration kUrgentObjective = std::chrono::milliseconds(400);
constexpr duration kPeerIdle = std::chrono::seconds(30);

}  // namespace

void outbound_call::state::Place() {
  const instant now = board.loop.Now();
  if (deadline - now < kLeastTry) {
    OnDeadline();
    return;
  }
  if (Standing() == suspect_standing::kBlocked) {
    EndBlocked();
    return;
  }
  if (KeyIsStale(now)) {
    EndWithoutTarget("stale_key");
    return;
  }
  target_picker& picker = board.PickerOf(record.service);
  const auto target = picker.Pick(
      {.tried = tried,
       .own_domain = board.settings.failure_domain,
       .urgent = !record.nested && route->objective < kUrgentObjective,
       .bytes = board.sizes.MeanOf(route->name),
       .cut_off = [this,
                   now](std::string_view domain) { return board.domains.IsCutOff(domain, now); },
       .same_for = suspect ? std::optional(suspect->number()) : std::nullopt},
      now, board.random);
  if (!target) {
    EndWithoutTarget("no_target");
    return;
  }
  ++record.placements;
  tried.insert(target->id);
  record.target_id = target->id;
  target_peer = board.PeerBeside(target->backend);
  target_domain = target->failure_domain;
  sent_at = now;
  board.domains.OnTried(target_domain, now);
  outcome.reset();
  released = !MustConfirm(picker, now);
  picker.OnSent(record.target_id);
  std::weak_ptr<outbound_call> weak = self->weak_from_this();
  const auto with = [weak](auto action) {
    if (const auto call = weak.lock()) {
      action(*call->state_);
    }
  };
  upstream =
      board.ClientFor(target_peer)
          .Send(RequestFor(*target, now), kPeerIdle,
                {.on_head =
                     [with](http_head head) {
                       with([&](state& at) { at.OnAnswerHead(std::move(head)); });
                     },
                 .on_interim =
                     [with](int status) { with([status](state& at) { at.OnInterim(status); }); },
                 .on_body =
                     [with](std::string_view bytes) {
                       with([&](state& at) { at.OnAnswerBody(bytes); });
                     },
                 .on_end = [with] { with([](state& at) { at.OnAnswerEnd(); }); },
                 .on_failed =
                     [with](exchange_failure failure) {
                       with([&](state& at) { at.OnUpstreamFailed(failure); });
                     },
                 .on_drained = [with] { with([](state& at) { at.client->ResumeBody(); }); },
                 .is_answer = {}});
  if (released) {
    SendBodySoFar();
  }
  silence_timer.StartOnce(kSilentAfter, [this] { OnSilence(); });
}

// Where an earlier try was lost the request may have run, and a refusal that says
// otherwise would be untrue: the caller would count on work that may be under way.
void outbound_call::state::EndWithoutTarget(std::string_view why,
                                            std::optional<duration> return_after) {
  if (may_have_run) {
    AnswerError(http_status::kBadGateway, why);
  } else {
    Refuse(why, return_after);
  }
}

// A request that may run only once, or one for a target that was not heard from
// lately, is run by the target's node only once it is let: where that node is cut
// off, frozen or gone, the request goes elsewhere, and what it is told is sure.
bool outbound_call::state::MustConfirm(const target_picker& picker, instant now) const {
  return target_peer != board.settings.peer &&
         (route->repeat != repeat_rule::kIdempotent || picker.IsDoubtful(record.target_id, now));
}

void outbound_call::state::SendBodySoFar() {
  upstream->SendBody(replay.bytes());
  if (body_ended) {
    upstream->FinishBody();
  }
}

void outbound_call::state::OnInterim(int status) {
  silence_timer.Stop();
  board.domains.OnHeard(target_domain, board.loop.Now());
  if (status != http_status::kContinue || released || !upstream) {
    return;
  }
  released = true;
  SendBodySoFar();
  client->ResumeBody();
  // From now on its silence may hide a run.
  silence_timer.StartOnce(kSilentAfter, [this] { OnSilence(); });
}

// Neither an answer nor its announcement: later requests go elsewhere at once,
// and this one too where it may be repeated or has not run.
void outbound_call::state::OnSilence() {
  if (ended || committed || !upstream) {
    return;
  }
  board.PickerOf(record.service).OnUnreachable(record.target_id, board.loop.Now());
  board.domains.OnSilent(target_domain, sent_at, board.loop.Now());
  if (!released) {
    board.PickerOf(record.service).OnDone(record.target_id);
    upstream->Cancel();
    finished_upstream = std::move(upstream);
    OnTurnedAway(relay_outcome::kUnconfirmed);
    return;
  }
  if (detached || route->repeat != repeat_rule::kIdempotent) {
    record.WriteTry(board.log, relay_outcome::kTimedOut);
    return;
  }
  const instant now = board.loop.Now();
  ++record.reached;
  if (!MayPlaceAgain(relay_outcome::kLost, now)) {
    --record.reached;
    record.WriteTry(board.log, relay_outcome::kTimedOut);
    return;
  }
  may_have_run = true;
  record.WriteTry(board.log, relay_outcome::kLost);
  board.PickerOf(record.service).OnDone(record.target_id);
  upstream->Cancel();
  finished_upstream = std::move(upstream);
  Place();
}

http_head outbound_call::state::RequestFor(const published_target& target, instant now) const {
  const relay_header_names& names = board.settings.headers;
  http_head head = client->request();
  head.RemoveConnectionFields();
  const call_header about{.row = route->name,
                          .priority = rank,
                          .repeat = route->repeat,
                          .nested = record.nested,
                          .objective = route->objective,
                          .objective_left = started + route->objective - now,
                          .age = now - entered,
                          .again = record.reached > 0,
                          .repeated = record.reached > 0 ? 1.0 : repeated,
                          .stands_for = stands_for,
                          .share = board.admission.ShareInForce(route->name, now),
                          .counted_before = counted_before,
                          .key_left = KeyLeft(now),
                          .held = !released,
                          .framing = head.framing,
                          .length = head.length};
  if (!released) {
    head.framing = body_framing::kChunked;
    head.Set("Expect", "100-continue");
  }
  if (table->customers() != nullptr) {
    head.Remove(kAuthorizationField);
    head.Remove(names.customer);
  }
  if (holder != nullptr) {
    head.Set(names.customer, holder->name);
  }
  head.Set(names.caller_service, board.settings.service);
  head.Set(names.expected_instance, target.id);
  head.Set(names.deadline,
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count()));
  head.Set(kCallField, about.ToText());
  head.Remove(kSuspectField);
  if (suspect) {
    head.Set(kSuspectField, suspect->ToText());
  }
  return head;
}

}  // namespace cuminferry
