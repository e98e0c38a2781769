#include "cuminferry_relay/path/serving_call.h"

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"

namespace cuminferry {
namespace {

// A kept connection to the backend server is used as long as its Keep-Alive allows.
constexpr duration kIdleForAny = std::chrono::minutes(1);
// A request that may run only once goes out on a connection used lately: one that
// the backend server has dropped meanwhile would leave its fate unknown.
constexpr duration kIdleForOnce = std::chrono::seconds(1);
// The backend server's own answer at the deadline is waited for this long.
constexpr duration kDeadlineSlack = std::chrono::milliseconds(50);
// Where the entry does not say how long its client waits.
constexpr duration kLongestRun = std::chrono::seconds(30);
// An answer that takes longer is announced: the calling node tells a long run from
// a connection or a node that went silent.
constexpr duration kAnnounceAfter = std::chrono::milliseconds(50);
// An entry that was told of a slot lets the request run within a round trip. One that
// is gone must not hold the slot.
constexpr duration kGrantLimit = std::chrono::milliseconds(400);
// Suspects of ends so recent are sent again now.
constexpr duration kRecentEnd = std::chrono::seconds(2);

}  // namespace

serving_call::serving_call(serving_board& board, std::uint64_t id,
                           std::shared_ptr<server_exchange> peer, call_header about)
    : board_(board),
      id_(id),
      peer_(std::move(peer)),
      about_(std::move(about)),
      arrived_(board.node.loop.Now()),
      deadline_timer_(board.node.loop),
      announce_timer_(board.node.loop) {}

void serving_call::Begin() {
  relay_board& node = board_.node;
  HookPeer();
  const http_head& request = peer_->request();
  const relay_header_names& names = node.settings.headers;
  if (const std::string* id = request.Find(names.request_id)) {
    request_id_ = *id;
  }
  duration left = kLongestRun;
  if (const std::string* field = request.Find(names.deadline)) {
    left = std::chrono::milliseconds(ParseDecimal(*field).value_or(0));
  }
  deadline_ = arrived_ + left;
  if (about_.key_left) {
    key_until_ = arrived_ + *about_.key_left;
  }
  if (const std::string* caller = request.Find(names.caller_service)) {
    node.origins.OnArrival(about_.row, *caller);
  }
  const std::string* expected = request.Find(names.expected_instance);
  const bool gone =
      expected != nullptr && (node.IsLeaving(*expected) || board_.IsNotHere(*expected));
  if (node.stopping || gone) {
    TurnAway(relay_outcome::kLeaving);
    return;
  }
  if (board_.backend_down()) {
    TurnAway(relay_outcome::kDown);
    return;
  }
  Announce();
  if (const std::string* field = request.Find(kSuspectField)) {
    suspect_ = request_digest::Parse(*field);
  }
  if (suspect_) {
    AwaitTurn(*suspect_);
  } else {
    AskForSlot();
  }
}

void serving_call::AwaitTurn(const request_digest& suspect) {
  const suspect_book& book = board_.node.suspects;
  const instant now = board_.node.loop.Now();
  if (IsBlocked()) {
    TurnAway(relay_outcome::kBlocked);
    return;
  }
  board_.lane.SetSuspects(book.CountSince(now - kRecentEnd));
  if (board_.lane.Enter({.id = id_, .digest = suspect, .ends = book.EndsOf(suspect)})) {
    AskForSlot();
    return;
  }
  deadline_timer_.StartOnce(deadline_ - now, [this] { TurnAway(relay_outcome::kFull); });
}

// What ran before it may have told more of it.
void serving_call::OnTurn() {
  deadline_timer_.Stop();
  if (IsBlocked()) {
    TurnAway(relay_outcome::kBlocked);
  } else if (board_.backend_down()) {
    TurnAway(relay_outcome::kDown);
  } else {
    AskForSlot();
  }
}

void serving_call::AskForSlot() {
  relay_board& node = board_.node;
  // It need not wait for longer than its key may be relied on.
  const duration left = std::min(deadline_, key_until_) - node.loop.Now();
  const duration run_time = board_.times.MeanOf(about_.row, board_.gate.service_time());
  const double counted = about_.counted_before ? 0.0 : about_.stands_for;
  const duration work(static_cast<duration::rep>(counted * static_cast<double>(run_time.count())));
  board_.level.OnArrival(about_.age, work, about_.share);
  const slot_verdict verdict = board_.gate.Offer({.id = id_,
                                                  .priority = about_.priority,
                                                  .nested = about_.nested,
                                                  .deadline_left = left,
                                                  .objective_left = about_.objective_left,
                                                  .objective = about_.objective,
                                                  .run_time = run_time},
                                                 node.loop.Now());
  switch (verdict) {
    case slot_verdict::kStart:
      OnSlot();
      break;
    case slot_verdict::kWait:
      board_.ArmExpiry();
      break;
    case slot_verdict::kRefuse:
      TurnAway(relay_outcome::kFull);
      break;
  }
}

void serving_call::Announce() {
  announce_timer_.StartOnce(kAnnounceAfter, [this] { peer_->SendInterim(); });
}

void serving_call::HookPeer() {
  peer_->SetHooks({.on_body = [this](std::string_view bytes) { OnBody(bytes); },
                   .on_body_end = [this] { OnBodyEnd(); },
                   .on_client_gone = [this] { OnPeerGone(); },
                   .on_drained =
                       [this] {
                         if (backend_) {
                           backend_->ResumeAnswer();
                         }
                       }});
}

void serving_call::OnBody(std::string_view bytes) {
  body_.Append(bytes);
  if (backend_) {
    backend_->SendBody(bytes);
    if (backend_->unsent() > tcp_connection::kHighWater) {
      peer_->PauseBody();
    }
  } else if (granted_) {
    Start();
  } else if (body_.bytes().size() > tcp_connection::kHighWater) {
    peer_->PauseBody();
  }
}

void serving_call::OnBodyEnd() {
  body_ended_ = true;
  if (backend_) {
    backend_->FinishBody();
  } else if (granted_) {
    Start();
  }
}

void serving_call::OnSlot() {
  if (about_.again && !MayTakeRepeat()) {
    board_.gate.Release();
    TurnAway(relay_outcome::kNoRepeats);
    return;
  }
  if (!about_.again) {
    board_.node.repeats.OnFirstSend(about_.nested, about_.repeated, board_.node.loop.Now());
  }
  if (!about_.held) {
    Start();
    return;
  }
  granted_ = true;
  deadline_timer_.StartOnce(kGrantLimit, [this] {
    ReleaseGrant();
    TurnAway(relay_outcome::kUnconfirmed);
  });
  peer_->SendContinue();
}

bool serving_call::KeyIsStale() const { return board_.node.loop.Now() > key_until_; }

bool serving_call::IsBlocked() const {
  return suspect_ && board_.node.suspects.StandingOf(*suspect_, board_.node.loop.Now()) ==
                         suspect_standing::kBlocked;
}

// All repeats at this backend server are counted here, whichever node sends them.
bool serving_call::MayTakeRepeat() {
  const bool granted = board_.node.repeats.TakeOne(about_.nested, board_.node.loop.Now());
  if (granted) {
    board_.node.metrics.OnRepeat(about_.row);
  }
  return granted;
}

// The slot was not used.
void serving_call::ReleaseGrant() {
  if (std::exchange(granted_, false)) {
    board_.gate.Release();
  }
}

http_head serving_call::RequestForBackend() const {
  http_head head = peer_->request();
  head.RemoveConnectionFields();
  head.Remove(kCallField);
  head.Remove(kSuspectField);
  if (about_.held) {
    head.framing = about_.framing;
    head.length = about_.length;
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - board_.node.loop.Now());
  head.Set(board_.node.settings.headers.deadline,
           std::to_string(std::max<std::int64_t>(1, left.count())));
  return head;
}

void serving_call::Start() {
  granted_ = false;
  if (KeyIsStale()) {
    board_.gate.Release();
    TurnAway(relay_outcome::kStaleKey);
    return;
  }
  if (IsBlocked()) {
    board_.gate.Release();
    TurnAway(relay_outcome::kBlocked);
    return;
  }
  running_ = true;
  started_ = board_.node.loop.Now();
  limit_when_full_ = board_.gate.limit_when_full();
  board_.node.causes.OnRunStart(about_.row, started_);
  board_.node.running.OnStart(arrived_ - about_.age, about_.repeated);
  board_.node.demand.OnRunStart(board_.node.causes.CalledBy(about_.row), about_.stands_for);
  if (about_.held) {
    // The entry counts on a sign anew from when it let the request run; the wait
    // before was announced already.
    Announce();
  }
  Send();
  const duration left = deadline_ - started_ + kDeadlineSlack;
  deadline_timer_.StartOnce(std::max(left, kDeadlineSlack), [this] { OnDeadline(); });
}

void serving_call::Send() {
  ++sends_;
  outcome_.reset();
  const bool once = about_.repeat != repeat_rule::kIdempotent;
  std::weak_ptr<serving_call> weak = weak_from_this();
  const auto with = [weak](auto action) {
    if (const auto self = weak.lock()) {
      action(*self);
    }
  };
  backend_ = board_.backend.Send(
      RequestForBackend(), once ? kIdleForOnce : kIdleForAny,
      {.on_head =
           [with](http_head head) {
             with([&](serving_call& self) { self.OnAnswerHead(std::move(head)); });
           },
       .on_interim = {},
       .on_body =
           [with](std::string_view bytes) {
             with([&](serving_call& self) { self.OnAnswerBody(bytes); });
           },
       .on_end = [with] { with([](serving_call& self) { self.OnAnswerEnd(); }); },
       .on_failed =
           [with](exchange_failure failure) {
             with([&](serving_call& self) { self.OnBackendFailed(failure); });
           },
       .on_drained = [with] { with([](serving_call& self) { self.peer_->ResumeBody(); }); },
       .is_answer =
           [with](const http_head& head) {
             bool is_answer = false;
             with([&](const serving_call& self) { is_answer = self.IsAnswer(head); });
             return is_answer;
           }});
  backend_->SendBody(body_.bytes());
  if (body_ended_) {
    backend_->FinishBody();
  } else {
    peer_->ResumeBody();
  }
}

bool serving_call::IsAnswer(const http_head& head) const {
  const std::string* echoed = head.Find(board_.node.settings.headers.request_id);
  return echoed == nullptr || request_id_.empty() || *echoed == request_id_;
}

// What an answer says besides being an answer; nothing where it is one to pass on.
std::optional<relay_outcome> serving_call::Judge(const http_head& head) const {
  const relay_header_names& names = board_.node.settings.headers;
  if (head.status == http_status::kMisdirectedRequest) {
    if (const std::string* expected = peer_->request().Find(names.expected_instance)) {
      board_.OnOtherInstance(*expected);
    }
    return relay_outcome::kOtherInstance;
  }
  if (head.Find(names.not_executed) != nullptr) {
    return relay_outcome::kTurnedAway;
  }
  const bool success = head.status >= http_status::kOk && head.status < http_status::kFirstRedirect;
  const bool is_signed = head.Find(names.signature) != nullptr;
  const bool echoes = head.Find(names.request_id) != nullptr;
  if ((success && !is_signed) || !echoes || head.Find("content-encoding") != nullptr) {
    return relay_outcome::kDamaged;
  }
  return std::nullopt;
}

void serving_call::OnAnswerHead(http_head head) {
  board_.OnAnswer();
  outcome_ = Judge(head);
  failed_ = head.status >= http_status::kFirstServerError;
  // A failure below fails the request here: no fault of this backend server.
  const row_causes& causes = board_.node.causes;
  const bool own_fault = failed_ && causes.IsKnown(about_.row) && !causes.IsCause(about_.row);
  board_.NoteOutcome(!outcome_ && !own_fault);
  if (outcome_ || detached_) {
    return;
  }
  head.RemoveConnectionFields();
  head.Remove(kOutcomeField);
  head.Set(kLoadField, board_.Load(about_.row, about_.share).ToText());
  committed_ = true;
  body_.Drop();
  announce_timer_.Stop();
  peer_->SendHead(std::move(head));
}

void serving_call::OnAnswerBody(std::string_view bytes) {
  if (!committed_ || detached_) {
    return;
  }
  peer_->SendBody(bytes);
  if (peer_->unsent() > tcp_connection::kHighWater) {
    backend_->PauseAnswer();
  }
}

void serving_call::OnAnswerEnd() {
  finished_backend_ = std::move(backend_);
  if (outcome_ == relay_outcome::kTurnedAway && SendAgain()) {
    return;
  }
  if (outcome_) {
    FreeSlot(run_end::kBrokenOff);
  } else {
    FreeSlot(failed_ ? run_end::kFailure : run_end::kSuccess);
  }
  if (outcome_) {
    TurnAway(*outcome_);
    return;
  }
  if (suspect_) {
    // A failure that it answered shows as well that the backend server outlived it.
    board_.node.on_suspects({{.what = suspect_event::kind::kCleared, .digest = *suspect_}});
  }
  if (!detached_) {
    peer_->Finish();
  }
  End("answered");
}

// The backend server turned it away although its node found a slot free.
bool serving_call::SendAgain() {
  if (detached_ || sends_ >= kMostSends || !body_.whole() || board_.node.loop.Now() >= deadline_ ||
      KeyIsStale() || !MayTakeRepeat()) {
    return false;
  }
  Send();
  return true;
}

void serving_call::OnBackendFailed(exchange_failure failure) {
  finished_backend_ = std::move(backend_);
  FreeSlot(run_end::kBrokenOff);
  board_.NoteOutcome(false);
  if (failure == exchange_failure::kNotSent) {
    board_.OnBackendDown();
    TurnAway(relay_outcome::kDown);
    return;
  }
  if (committed_ && !detached_) {
    peer_->Break();
    End("cut_short");
    return;
  }
  if (failure == exchange_failure::kBroken) {
    board_.OnRunLost(shared_from_this());
    return;
  }
  TurnAway(failure == exchange_failure::kDamaged ? relay_outcome::kDamaged : relay_outcome::kLost);
}

suspect_book::running_request serving_call::AsSuspect() const {
  const http_head& request = peer_->request();
  const std::string* customer = request.Find(board_.node.settings.headers.customer);
  const request_parts parts =
      body_.PartsOf(request, customer == nullptr ? std::string_view() : *customer);
  return {
      .digest = request_digest::Of(parts), .place = PlaceOf(parts), .apart = suspect_.has_value()};
}

void serving_call::OnBackendEnded(std::uint64_t end, const request_digest& digest) {
  if (ended_) {
    return;
  }
  relay_board& node = board_.node;
  const std::size_t ends = node.suspects.EndsOf(digest);
  const bool is_blocked =
      node.suspects.StandingOf(digest, node.loop.Now()) == suspect_standing::kBlocked;
  // Of what ran for the first time there may be hundreds.
  if (ends > 1 || node.log.Wants(true)) {
    const http_head& request = peer_->request();
    const std::string* customer = request.Find(node.settings.headers.customer);
    node.log.OnRequest("suspect.ran", {{"id", request_id_},
                                       {"row", about_.row},
                                       {"path", request.target},
                                       {"customer", customer == nullptr ? "" : *customer},
                                       {"suspect", digest.ToText()},
                                       {"end", end},
                                       {"ends", ends},
                                       {"blocked", is_blocked}});
  }
  TurnAway(is_blocked ? relay_outcome::kEndedAlone : relay_outcome::kEnded);
}

void serving_call::OnDeadline() {
  if (!running_) {
    return;
  }
  if (committed_ && !detached_) {
    // An answer that is on its way is delivered, also late.
    return;
  }
  backend_->Cancel();
  finished_backend_ = std::move(backend_);
  FreeSlot(run_end::kFailure);
  TurnAway(relay_outcome::kTimedOut);
}

void serving_call::OnPeerGone() {
  if (!running_) {
    ReleaseGrant();
    board_.gate.Remove(id_);
    End("caller_gone");
    return;
  }
  const bool once = about_.repeat != repeat_rule::kIdempotent;
  if (once && body_ended_) {
    detached_ = true;
    backend_->ResumeAnswer();
    return;
  }
  backend_->Cancel();
  finished_backend_ = std::move(backend_);
  FreeSlot(run_end::kBrokenOff);
  End("caller_gone");
}

row_causes::run_fate serving_call::FateOf(run_end how) {
  switch (how) {
    case run_end::kSuccess:
      return row_causes::run_fate::kWhole;
    case run_end::kFailure:
      return row_causes::run_fate::kFailed;
    case run_end::kBrokenOff:
      break;
  }
  return row_causes::run_fate::kCutOff;
}

// Runs that were broken off don't tell how long a run takes: what was turned away at once
// would make it look short, and waits with it.
void serving_call::FreeSlot(run_end how) {
  if (!running_) {
    return;
  }
  running_ = false;
  deadline_timer_.Stop();
  const instant now = board_.node.loop.Now();
  board_.node.causes.OnRunEnd(about_.row, started_, now, FateOf(how));
  board_.node.running.OnEnd(arrived_ - about_.age, about_.repeated);
  if (how != run_end::kBrokenOff) {
    const duration took = now - started_;
    const duration mean = board_.times.MeanOf(about_.row, took);
    board_.gate.Finish(took);
    board_.gate.OnRun(limit_when_full_,
                      static_cast<double>(took.count()) /
                          static_cast<double>(std::max(mean, duration(1)).count()));
    board_.times.OnRun(about_.row, took);
  } else {
    board_.gate.Release();
  }
}

void serving_call::TurnAway(relay_outcome why) {
  if (ended_) {
    return;
  }
  if (!detached_) {
    http_head head =
        MakeAnswer(SurelyNotRun(why) ? http_status::kUnavailable : http_status::kBadGateway);
    head.Set(kOutcomeField, std::string(ToText(why)));
    head.Set(kLoadField, board_.Load(about_.row, about_.share).ToText());
    peer_->Answer(std::move(head), "");
  }
  End(ToText(why));
}

void serving_call::End(std::string_view result) {
  if (ended_) {
    return;
  }
  ended_ = true;
  deadline_timer_.Stop();
  announce_timer_.Stop();
  peer_->SetHooks({});
  relay_board& node = board_.node;
  const instant now = node.loop.Now();
  const bool ran = started_ != instant{};
  const duration waited = (ran ? started_ : now) - arrived_;
  const duration took = ran ? now - started_ : duration::zero();
  node.metrics.OnServed(about_.row, result, waited, took);
  const bool late = waited + took > about_.objective / 2;
  if (node.log.Wants(result != "answered" || late)) {
    LogEnd(result, waited, took);
  }
  serving_board& board = board_;
  const auto keep = shared_from_this();
  board.calls.erase(id_);
  if (suspect_) {
    board.StartTurns(id_);
  }
  board.StartWaiting();
}

void serving_call::LogEnd(std::string_view result, duration waited, duration took) const {
  board_.node.log.OnRequest("serving.end", {{"id", request_id_},
                                            {"row", about_.row},
                                            {"result", result},
                                            {"nested", about_.nested},
                                            {"waited_us", waited.count()},
                                            {"ran_us", took.count()},
                                            {"running", board_.gate.running()},
                                            {"waiting", board_.gate.waiting()},
                                            {"limit", board_.gate.limit()},
                                            {"sends", sends_},
                                            {"level", ForLog(board_.level.share())}});
}

}  // namespace cuminferry
