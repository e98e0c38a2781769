#include "cuminferry_relay/path/serving_call.h"

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"

namespace cuminferry {
namespace {

// Requests that may be repeated use an idle connection for as long as its Keep-Alive allows.
constexpr duration kMaxIdleForRepeatable = std::chrono::minutes(1);
// A request that may run only once is sent on a recently used connection: if the backend server
// had closed the connection meanwhile, it would be unknown whether the request has run.
constexpr duration kMaxIdleForAtMostOnce = std::chrono::seconds(1);
// Time after the deadline in which the backend server may still send its own timeout answer.
constexpr duration kDeadlineSlack = std::chrono::milliseconds(50);
// An answer that takes longer is preceded by an interim answer, by which the calling node
// distinguishes a long run from a lost connection or an unresponsive node.
constexpr duration kInterimDelay = std::chrono::milliseconds(50);
// An ingress node that is notified of a slot releases the request within a round trip. If the
// ingress node is gone, the slot must not stay occupied.
constexpr duration kGrantTimeout = std::chrono::milliseconds(400);
// Suspects of crashes within this window are being repeated at present.
constexpr duration kRecentCrashWindow = std::chrono::seconds(2);

bool IsForLackOfRoom(relay_outcome outcome) {
  return outcome == relay_outcome::kFull || outcome == relay_outcome::kOverRate ||
         outcome == relay_outcome::kNoRepeats;
}

}  // namespace

serving_call::serving_call(serving_context& context, std::uint64_t id,
                           std::shared_ptr<server_exchange> peer, call_header header)
    : context_(context),
      id_(id),
      peer_(std::move(peer)),
      header_(std::move(header)),
      request_(serving_request::ReadFrom(peer_->request(), context.node.settings.headers)),
      arrived_(context.node.loop.Now()),
      run_(context, header_, arrived_),
      deadline_timer_(context.node.loop),
      interim_timer_(context.node.loop),
      answer_timer_(context.node.loop) {}

void serving_call::Begin() {
  relay_board& node = context_.node;
  InstallPeerHooks();
  deadline_ = arrived_ + request_.time_left;
  if (header_.key_valid_for) {
    key_valid_until_ = arrived_ + *header_.key_valid_for;
  }
  const std::string& expected = request_.expected_instance;
  if (request_.rate) {
    context_.declarations.OnRequest(expected, *request_.rate);
  }
  if (!request_.caller_service.empty()) {
    node.origins.OnArrival(header_.row, request_.caller_service);
  }
  context_.registration.OnRequest(expected, request_.unlisted);
  if (node.refuses_runs) {
    AnswerWithOutcome(relay_outcome::kLeaving);
    return;
  }
  if (const auto refusal = RefusalOfInstance()) {
    AnswerWithOutcome(*refusal);
    return;
  }
  if (context_.backend_down()) {
    AnswerWithOutcome(relay_outcome::kDown);
    return;
  }
  ScheduleInterimAnswer();
  if (request_.suspect_digest) {
    WaitForIsolation(*request_.suspect_digest);
  } else {
    RequestSlot();
  }
}

void serving_call::WaitForIsolation(const request_digest& suspect) {
  const suspect_registry& registry = context_.node.suspects;
  const instant now = context_.node.loop.Now();
  if (IsBlocked()) {
    AnswerWithOutcome(relay_outcome::kBlocked);
    return;
  }
  context_.isolation.SetSuspectCount(registry.CountCrashedSince(now - kRecentCrashWindow));
  if (context_.isolation.TryStart(
          {.id = id_, .digest = suspect, .crashes = registry.CrashCountOf(suspect)})) {
    RequestSlot();
    return;
  }
  if (!context_.MayWait()) {
    AnswerWithOutcome(relay_outcome::kFull);
    return;
  }
  deadline_timer_.StartOnce(deadline_ - now, [this] { AnswerWithOutcome(relay_outcome::kFull); });
}

// Runs of other suspects may have changed the status of this one meanwhile.
void serving_call::OnSuspectTurn() {
  deadline_timer_.Stop();
  if (IsBlocked()) {
    AnswerWithOutcome(relay_outcome::kBlocked);
  } else if (context_.backend_down()) {
    AnswerWithOutcome(relay_outcome::kDown);
  } else {
    RequestSlot();
  }
}

void serving_call::RequestSlot() {
  relay_board& node = context_.node;
  // The request need not wait longer than its customer's key may be relied on.
  const duration left = std::min(deadline_, key_valid_until_) - node.loop.Now();
  const duration run_time = context_.run_times.MeanOf(header_.row, context_.gate.service_time());
  const double counted = header_.is_already_counted ? 0.0 : header_.stands_for;
  const duration work(static_cast<duration::rep>(counted * static_cast<double>(run_time.count())));
  const slot_verdict verdict = context_.gate.Offer({.id = id_,
                                                    .priority = header_.priority,
                                                    .nested = header_.nested,
                                                    .deadline_left = left,
                                                    .objective_left = header_.objective_left,
                                                    .objective = header_.objective,
                                                    .run_time = run_time,
                                                    .awaits_turn = request_.awaits_turn()},
                                                   node.loop.Now());
  const bool is_over_rate = verdict == slot_verdict::kOverRate;
  context_.declarations.OnArrival({.requests = counted,
                                   .admitted_share = header_.admitted_share,
                                   .awaits_turn = request_.awaits_turn(),
                                   .is_over_rate = is_over_rate});
  if (!is_over_rate) {
    context_.level.OnArrival(header_.age, work, header_.admitted_share);
  }
  switch (verdict) {
    case slot_verdict::kStart:
      OnSlotGranted();
      break;
    case slot_verdict::kWait:
      WaitForSlot();
      break;
    case slot_verdict::kRefuse:
      AnswerWithOutcome(relay_outcome::kFull);
      break;
    case slot_verdict::kOverRate:
      AnswerWithOutcome(relay_outcome::kOverRate);
      break;
  }
  context_.RefuseDisplaced();
}

void serving_call::WaitForSlot() {
  if (context_.MayWait()) {
    context_.ScheduleWaiting();
    return;
  }
  context_.gate.Remove(id_);
  AnswerWithOutcome(relay_outcome::kFull);
}

void serving_call::ScheduleInterimAnswer() {
  interim_timer_.StartOnce(kInterimDelay, [this] { peer_->SendInterim(); });
}

void serving_call::InstallPeerHooks() {
  peer_->SetHooks({.on_body = [this](std::string_view bytes) { OnBody(bytes); },
                   .on_body_end = [this] { OnBodyEnd(); },
                   .on_client_gone = [this] { OnPeerGone(); },
                   .on_writable =
                       [this] {
                         if (backend_) {
                           backend_->ResumeAnswer();
                         }
                       }});
}

void serving_call::OnBody(std::string_view bytes) {
  request_body_.Append(bytes);
  if (backend_) {
    backend_->SendBody(bytes);
    if (backend_->unsent_bytes() > tcp_connection::kHighWater) {
      peer_->PauseBody();
    }
  } else if (slot_granted_) {
    StartRun();
  } else if (request_body_.is_complete() &&
             request_body_.bytes().size() > tcp_connection::kHighWater) {
    peer_->PauseBody();
  }
}

void serving_call::OnBodyEnd() {
  request_body_ended_ = true;
  if (backend_) {
    backend_->FinishBody();
  } else if (slot_granted_) {
    StartRun();
  }
}

std::optional<relay_outcome> serving_call::RefusalOfInstance() const {
  return context_.RefusalOf(request_.expected_instance, request_.unlisted);
}

std::optional<relay_outcome> serving_call::WithdrawIfRefused() {
  const std::optional<relay_outcome> refusal = has_run() ? std::nullopt : RefusalOfInstance();
  if (refusal) {
    Withdraw();
  }
  return refusal;
}

void serving_call::Withdraw() {
  ReleaseGrantedSlot();
  context_.gate.Remove(id_);
}

void serving_call::OnDisplaced() {
  is_displaced_ = true;
  context_.node.metrics.OnDisplaced(header_.nested);
  AnswerWithOutcome(relay_outcome::kFull);
}

void serving_call::OnSlotGranted() {
  if (const auto refusal = RefusalOfInstance()) {
    context_.gate.Release();
    AnswerWithOutcome(*refusal);
    return;
  }
  if (header_.may_be_repeat && !TakeRepeat()) {
    context_.gate.Release();
    AnswerWithOutcome(relay_outcome::kNoRepeats);
    return;
  }
  if (!header_.awaits_release) {
    StartRun();
    return;
  }
  slot_granted_ = true;
  deadline_timer_.StartOnce(kGrantTimeout, [this] {
    ReleaseGrantedSlot();
    AnswerWithOutcome(relay_outcome::kUnconfirmed);
  });
  peer_->SendContinue();
}

bool serving_call::IsKeyStale() const { return context_.node.loop.Now() > key_valid_until_; }

bool serving_call::IsBlocked() const {
  return request_.suspect_digest &&
         context_.node.suspects.StatusOf(*request_.suspect_digest, context_.node.loop.Now()) ==
             suspect_status::kBlocked;
}

// Repeats are limited here for all calling nodes together.
bool serving_call::TakeRepeat() {
  const instant now = context_.node.loop.Now();
  context_.node.repeats.OnTargetsTold(request_.known_targets, now);
  const bool granted = context_.node.repeats.TakeOne(header_.nested, now, request_.has_turn);
  context_.repeat_decisions.OnDecision(header_.row, granted);
  return granted;
}

// Releases a slot that was granted but not used.
void serving_call::ReleaseGrantedSlot() {
  if (std::exchange(slot_granted_, false)) {
    context_.gate.Release();
  }
}

void serving_call::StartRun() {
  slot_granted_ = false;
  if (IsKeyStale()) {
    context_.gate.Release();
    AnswerWithOutcome(relay_outcome::kStaleKey);
    return;
  }
  if (IsBlocked()) {
    context_.gate.Release();
    AnswerWithOutcome(relay_outcome::kBlocked);
    return;
  }
  // The instance may have left while the request was held.
  if (const auto refusal = RefusalOfInstance()) {
    context_.gate.Release();
    AnswerWithOutcome(*refusal);
    return;
  }
  if (!header_.may_be_repeat) {
    const instant sent_at = arrived_ - (header_.objective - header_.objective_left);
    context_.node.repeats.OnFirstSend(header_.nested, header_.repeat_probability, sent_at,
                                      context_.node.loop.Now());
  }
  run_.Begin();
  if (header_.awaits_release) {
    // The ingress node expects another interim answer after it has released the request; the
    // one sent while the request waited does not count.
    ScheduleInterimAnswer();
  }
  Send();
  const duration left = deadline_ - run_.started_at() + kDeadlineSlack;
  deadline_timer_.StartOnce(std::max(left, kDeadlineSlack), [this] { OnDeadline(); });
}

void serving_call::Send() {
  ++send_count_;
  context_.declarations.OnSent();
  sent_at_ = context_.node.loop.Now();
  context_.node.metrics.OnSentToBackend();
  outcome_.reset();
  std::weak_ptr<serving_call> weak = weak_from_this();
  const auto if_alive = [weak](auto action) {
    if (const auto self = weak.lock()) {
      action(*self);
    }
  };
  backend_ = context_.backend.Send(
      HeadForBackend(peer_->request(), header_, deadline_ - sent_at_,
                     context_.node.settings.headers),
      {.max_idle_time = MaxIdleTime(), .request_id = request_.id},
      {.on_head =
           [if_alive](http_head head) {
             if_alive([&](serving_call& self) { self.OnAnswerHead(std::move(head)); });
           },
       .on_interim = {},
       .on_body =
           [if_alive](std::string_view bytes) {
             if_alive([&](serving_call& self) { self.OnAnswerBody(bytes); });
           },
       .on_end = [if_alive] { if_alive([](serving_call& self) { self.OnAnswerEnd(); }); },
       .on_failed =
           [if_alive](exchange_failure failure) {
             if_alive([&](serving_call& self) { self.OnBackendFailed(failure); });
           },
       .on_writable =
           [if_alive] { if_alive([](serving_call& self) { self.peer_->ResumeBody(); }); },
       .is_matching_answer =
           [if_alive](const http_head& head) {
             bool is_matching_answer = false;
             if_alive([&](serving_call& self) { is_matching_answer = self.IsAnswer(head); });
             return is_matching_answer;
           }});
  if (IsAtMostOnce()) {
    trail_.OnSend({}, backend_->connection(), sent_at_ - arrived_);
  }
  backend_->SendBody(request_body_.bytes());
  request_body_.Release();
  if (request_body_ended_) {
    backend_->FinishBody();
  } else {
    peer_->ResumeBody();
  }
}

duration serving_call::MaxIdleTime() const {
  if (request_.id.empty()) {
    // Answers on a connection are told apart by the id.
    return http_client::send_options::kNewConnectionOnly;
  }
  return IsAtMostOnce() ? kMaxIdleForAtMostOnce : kMaxIdleForRepeatable;
}

suspect_registry::running_request serving_call::ToRunningRequest() const {
  const request_parts parts = request_body_.PartsOf(peer_->request(), request_.customer);
  return {.digest = request_digest::Of(parts),
          .route_hash = RouteHashOf(parts),
          .isolated = request_.suspect_digest.has_value()};
}

void serving_call::OnCrashAnnounced(std::uint64_t crash_id, const request_digest& digest) {
  if (ended_) {
    return;
  }
  relay_board& node = context_.node;
  const std::size_t crashes = node.suspects.CrashCountOf(digest);
  const bool is_blocked =
      node.suspects.StatusOf(digest, node.loop.Now()) == suspect_status::kBlocked;
  // Hundreds of requests may have been running for the first time, so the log limit applies to
  // them.
  if (crashes > 1 || node.log.TryReserveLine(decision_log::line_kind::kNotable)) {
    node.log.LogRequest("suspect.ran", {{"id", request_.id},
                                        {"row", header_.row},
                                        {"path", peer_->request().target},
                                        {"customer", request_.customer},
                                        {"suspect", digest.ToText()},
                                        {"end", crash_id},
                                        {"ends", crashes},
                                        {"blocked", is_blocked}});
  }
  AnswerWithOutcome(is_blocked ? relay_outcome::kEndedAlone : relay_outcome::kEnded);
}

void serving_call::OnDeadline() {
  if (!run_.is_running()) {
    return;
  }
  if (outcome_) {
    EndDiscardedAnswer();
    return;
  }
  if (answer_started_ && !detached_) {
    // An answer that has begun is delivered even after the deadline.
    return;
  }
  trail_.OnWord("timed-out", send_trail::source::kNode, 0, context_.node.loop.Now() - sent_at_);
  backend_->Cancel();
  finished_backend_ = std::move(backend_);
  EndRun(slot_run::result::kFailure);
  AnswerWithOutcome(relay_outcome::kTimedOut);
}

void serving_call::OnPeerGone() {
  if (!run_.is_running()) {
    ReleaseGrantedSlot();
    context_.gate.Remove(id_);
    Complete("caller_gone");
    return;
  }
  // After the deadline nothing else would end the reading of an answer that has begun.
  const bool is_in_time = context_.node.loop.Now() < deadline_ + kDeadlineSlack;
  if (IsAtMostOnce() && request_body_ended_ && is_in_time) {
    detached_ = true;
    backend_->ResumeAnswer();
    return;
  }
  backend_->Cancel();
  finished_backend_ = std::move(backend_);
  EndRun(slot_run::result::kAborted);
  Complete("caller_gone");
}

void serving_call::EndRun(slot_run::result completion) {
  if (run_.is_running()) {
    deadline_timer_.Stop();
    run_.End(completion);
  }
}

void serving_call::AnswerWithOutcome(relay_outcome outcome) {
  if (ended_) {
    return;
  }
  if (!detached_) {
    http_head head = MakeAnswer(IsCertainlyNotRun(outcome) ? http_status::kUnavailable
                                                           : http_status::kBadGateway);
    head.Set(kOutcomeField, std::string(ToText(outcome)));
    if (!request_.id.empty()) {
      head.Set(context_.node.settings.headers.request_id, request_.id);
    }
    context_.AddReports(header_, request_, head);
    if (!IsForLackOfRoom(outcome)) {
      // Such an outcome is no evidence that the backend server serves.
      head.Remove(kServingField);
    }
    peer_->Answer(std::move(head), "");
  }
  Complete(ToText(outcome));
}

void serving_call::Complete(std::string_view result) {
  if (ended_) {
    return;
  }
  ended_ = true;
  deadline_timer_.Stop();
  interim_timer_.Stop();
  answer_timer_.Stop();
  peer_->SetHooks({});
  relay_board& node = context_.node;
  const instant now = node.loop.Now();
  const instant started_at = run_.has_begun() ? run_.started_at() : now;
  const duration waited = started_at - arrived_;
  const duration ran_for = now - started_at;
  node.metrics.OnServed(header_.row, result, waited, ran_for);
  using kind = decision_log::line_kind;
  const bool late = waited + ran_for > header_.objective / 2;
  const bool is_evidence = !trail_.empty() && (send_count_ > 1 || result != "answered");
  if (node.log.TryReserveLine(is_evidence                    ? kind::kEvidence
                              : result != "answered" || late ? kind::kNotable
                                                             : kind::kOrdinary)) {
    LogCompletion(result, waited, ran_for);
  }
  serving_context& context = context_;
  const auto self_reference = shared_from_this();
  context.calls.erase(id_);
  if (request_.suspect_digest) {
    context.StartNextSuspects(id_);
  }
  context.StartWaiting();
}

void serving_call::LogCompletion(std::string_view result, duration waited, duration ran_for) const {
  nlohmann::ordered_json detail{{"id", request_.id},
                                {"row", header_.row},
                                {"result", result},
                                {"nested", header_.nested},
                                {"waited_us", waited.count()},
                                {"ran_us", ran_for.count()},
                                {"running", context_.gate.running()},
                                {"waiting", context_.gate.waiting()},
                                {"limit", context_.gate.limit()},
                                {"sends", send_count_},
                                {"level", RoundForLog(context_.level.share())}};
  if (header_.may_be_repeat) {
    detail["repeat"] = true;
  }
  if (is_displaced_) {
    detail["reason"] = "displaced";
  }
  if (!trail_.empty()) {
    detail["trail"] = trail_.ToJson();
  }
  context_.node.log.LogRequest("serving.end", std::move(detail));
}

}  // namespace cuminferry
