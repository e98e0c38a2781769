#include "cuminferry_relay/path/serving_side.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"

namespace cuminferry {
namespace {

// On the same instance: a connection that isn't there within this was refused or
// found the backend server's accept queue full.
constexpr duration kBackendConnectLimit = std::chrono::milliseconds(500);
constexpr duration kBackendSilenceLimit = std::chrono::seconds(3);
// Where a backend server doesn't say how long it keeps idle connections.
constexpr duration kBackendIdleLimit = std::chrono::milliseconds(400);
// A request that may run only once goes out on a connection used lately: one that
// the backend server has dropped meanwhile would leave its fate unknown.
constexpr duration kIdleForOnce = std::chrono::seconds(1);
// A backend server that took no connection is left alone this long.
constexpr duration kDownTime = std::chrono::milliseconds(200);
// The backend server's own answer at the deadline is waited for this long.
constexpr duration kDeadlineSlack = std::chrono::milliseconds(50);
// Until the own backend server is listed.
constexpr std::uint32_t kAssumedSlots = 32;
// Above all priorities, until a table says how many there are.
constexpr double kNoLimit = 1'000.0;
constexpr duration kExpiryPeriod = std::chrono::milliseconds(10);
// An answer that takes longer is announced: the calling node tells a long run from
// a connection or a node that went silent.
constexpr duration kAnnounceAfter = std::chrono::milliseconds(50);
// An entry that was told of a slot lets the request run within a round trip. One that
// is gone must not hold the slot.
constexpr duration kGrantLimit = std::chrono::milliseconds(400);
// Weight of one answer in the part of answers that were successes.
constexpr double kSuccessWeight = 0.04;

}  // namespace

struct serving_side::state {
  relay_board& board;
  http_client backend;
  slot_gate gate{kAssumedSlots};
  admission_level level{kNoLimit};
  loop_timer level_timer;
  loop_timer expiry_timer;
  std::unordered_map<std::uint64_t, std::shared_ptr<call>> calls;
  std::uint64_t last_id = 0;
  double success = 1.0;
  instant down_until{};
  bool was_open = true;

  explicit state(relay_board& board)
      : board(board),
        backend(board.loop, board.settings.backend,
                {.connect_limit = kBackendConnectLimit,
                 .silence_limit = kBackendSilenceLimit,
                 .idle_limit = kBackendIdleLimit}),
        level_timer(board.loop),
        expiry_timer(board.loop) {
    level_timer.StartPeriodic(admission_level::kPeriod, [this] { StepLevel(); });
  }

  void StepLevel();
  void StartWaiting();
  void ArmExpiry();
  void OnExpiry();
  double LevelOf(std::string_view row) const;
  load_header Load(std::string_view row) const;
  void NoteOutcome(bool good) { success += kSuccessWeight * ((good ? 1.0 : 0.0) - success); }
};

/** One request at this node's backend server. */
class serving_side::call : public std::enable_shared_from_this<serving_side::call> {
 public:
  call(serving_side::state& side, std::uint64_t id, std::shared_ptr<server_exchange> peer,
       call_header about)
      : side_(side),
        id_(id),
        peer_(std::move(peer)),
        about_(std::move(about)),
        arrived_(side.board.loop.Now()),
        deadline_timer_(side.board.loop),
        announce_timer_(side.board.loop) {}

  void Begin();
  /** There is a slot for it. */
  void OnSlot();
  void TurnAway(relay_outcome why);
  std::uint64_t id() const { return id_; }

 private:
  void Start();
  void HookPeer();
  void OnBody(std::string_view bytes);
  void OnBodyEnd();
  void ReleaseGrant();
  http_head RequestForBackend() const;
  bool IsAnswer(const http_head& head) const;
  void OnAnswerHead(http_head head);
  std::optional<relay_outcome> Judge(const http_head& head) const;
  void OnAnswerBody(std::string_view bytes);
  void OnAnswerEnd();
  void OnBackendFailed(exchange_failure failure);
  void OnPeerGone();
  void OnDeadline();
  void FreeSlot();
  void End(std::string_view result);
  void LogEnd(std::string_view result, duration waited, duration took) const;

  serving_side::state& side_;
  std::uint64_t id_;
  std::shared_ptr<server_exchange> peer_;
  call_header about_;
  std::string request_id_;
  instant arrived_;
  instant started_{};
  instant deadline_{};
  loop_timer deadline_timer_;
  loop_timer announce_timer_;
  // What came of the body while the request waited.
  std::string early_body_;
  bool body_ended_ = false;
  // It has a slot, and its entry was told so and has not let it run yet.
  bool granted_ = false;
  bool running_ = false;
  bool committed_ = false;
  bool detached_ = false;
  bool ended_ = false;
  std::optional<relay_outcome> outcome_;
  std::unique_ptr<client_exchange> backend_;
  std::unique_ptr<client_exchange> finished_backend_;
};

//==============================================================================
void serving_side::state::StepLevel() {
  if (board.table()) {
    level.SetTop(board.table()->largest_priority() + 1.0);
  }
  const duration wait = gate.TakeLongestWait(board.loop.Now());
  const double taken = static_cast<double>(gate.running()) / gate.limit();
  level.Step(wait, taken, gate.service_time());
  if (level.open() != was_open) {
    was_open = level.open();
    board.log.OnChange(was_open ? "level.opened" : "level.lowered",
                       {{"level", ForLog(level.level())},
                        {"wait_us", wait.count()},
                        {"running", gate.running()},
                        {"waiting", gate.waiting()},
                        {"limit", gate.limit()}});
  }
}

void serving_side::state::StartWaiting() {
  while (const auto next = gate.StartNext(board.loop.Now())) {
    const auto found = calls.find(*next);
    if (found != calls.end()) {
      const auto started = found->second;
      started->OnSlot();
    }
  }
  ArmExpiry();
}

void serving_side::state::ArmExpiry() {
  const auto next = gate.next_expiry();
  if (!next) {
    expiry_timer.Stop();
    return;
  }
  const duration left = std::max<duration>(*next - board.loop.Now(), duration::zero());
  expiry_timer.StartOnce(std::max(left, kExpiryPeriod), [this] { OnExpiry(); });
}

void serving_side::state::OnExpiry() {
  for (const std::uint64_t id : gate.TakeExpired(board.loop.Now())) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      const auto expired = found->second;
      expired->TurnAway(relay_outcome::kFull);
    }
  }
  ArmExpiry();
}

double serving_side::state::LevelOf(std::string_view row) const {
  double lowest = level.level();
  const double top = board.table() ? board.table()->largest_priority() + 1.0 : lowest;
  for (const auto& [called, calls_per_run] : board.causes.CalledBy(row)) {
    lowest = std::min(lowest, board.admission.Level(called, top, board.loop.Now()));
  }
  return lowest;
}

load_header serving_side::state::Load(std::string_view row) const {
  return {.report = {.running = gate.running(),
                     .waiting = gate.waiting(),
                     .limit = gate.limit(),
                     .service_time = gate.service_time(),
                     .success = success,
                     .stopping = board.draining},
          .level = LevelOf(row),
          .from_clients = board.origins.ComesFromClients(row, board.service_count()),
          .items_revision = board.items.complete_to()};
}

//==============================================================================
void serving_side::call::Begin() {
  relay_board& board = side_.board;
  HookPeer();
  const http_head& request = peer_->request();
  const relay_header_names& names = board.settings.headers;
  if (const std::string* id = request.Find(names.request_id)) {
    request_id_ = *id;
  }
  duration left = std::chrono::seconds(30);
  if (const std::string* field = request.Find(names.deadline)) {
    left = std::chrono::milliseconds(ParseDecimal(*field).value_or(0));
  }
  deadline_ = arrived_ + left;
  if (const std::string* caller = request.Find(names.caller_service)) {
    board.origins.OnArrival(about_.row, *caller);
  }
  const std::string* expected = request.Find(names.expected_instance);
  if (board.stopping || (expected != nullptr && board.IsLeaving(*expected))) {
    TurnAway(relay_outcome::kLeaving);
    return;
  }
  if (arrived_ < side_.down_until) {
    TurnAway(relay_outcome::kDown);
    return;
  }
  announce_timer_.StartOnce(kAnnounceAfter, [this] { peer_->SendInterim(); });
  const slot_verdict verdict = side_.gate.Offer({.id = id_,
                                                 .priority = about_.priority,
                                                 .nested = about_.nested,
                                                 .deadline_left = left,
                                                 .objective_left = about_.objective_left,
                                                 .objective = about_.objective},
                                                arrived_);
  switch (verdict) {
    case slot_verdict::kStart:
      OnSlot();
      break;
    case slot_verdict::kWait:
      side_.ArmExpiry();
      break;
    case slot_verdict::kRefuse:
      TurnAway(relay_outcome::kFull);
      break;
  }
}

void serving_side::call::HookPeer() {
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

void serving_side::call::OnBody(std::string_view bytes) {
  if (backend_) {
    backend_->SendBody(bytes);
    if (backend_->unsent() > tcp_connection::kHighWater) {
      peer_->PauseBody();
    }
    return;
  }
  early_body_.append(bytes);
  if (granted_) {
    Start();
  } else if (early_body_.size() > tcp_connection::kHighWater) {
    peer_->PauseBody();
  }
}

void serving_side::call::OnBodyEnd() {
  body_ended_ = true;
  if (backend_) {
    backend_->FinishBody();
  } else if (granted_) {
    Start();
  }
}

void serving_side::call::OnSlot() {
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

// The slot was not used.
void serving_side::call::ReleaseGrant() {
  if (std::exchange(granted_, false)) {
    side_.gate.Release();
  }
}

http_head serving_side::call::RequestForBackend() const {
  http_head head = peer_->request();
  head.RemoveConnectionFields();
  head.Remove(kCallField);
  if (about_.held) {
    head.framing = about_.framing;
    head.length = about_.length;
  }
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - side_.board.loop.Now());
  head.Set(side_.board.settings.headers.deadline,
           std::to_string(std::max<std::int64_t>(1, left.count())));
  return head;
}

void serving_side::call::Start() {
  granted_ = false;
  running_ = true;
  started_ = side_.board.loop.Now();
  side_.board.causes.OnRunStart(about_.row, started_);
  side_.board.running += 1.0;
  side_.board.running_repeats += about_.repeated;
  const bool once = about_.repeat != repeat_rule::kIdempotent;
  std::weak_ptr<call> weak = weak_from_this();
  const auto with = [weak](auto action) {
    if (const auto self = weak.lock()) {
      action(*self);
    }
  };
  backend_ = side_.backend.Send(
      RequestForBackend(), once ? kIdleForOnce : kBackendSilenceLimit * 20,
      {.on_head =
           [with](http_head head) {
             with([&](call& self) { self.OnAnswerHead(std::move(head)); });
           },
       .on_interim = {},
       .on_body =
           [with](std::string_view bytes) { with([&](call& self) { self.OnAnswerBody(bytes); }); },
       .on_end = [with] { with([](call& self) { self.OnAnswerEnd(); }); },
       .on_failed =
           [with](exchange_failure failure) {
             with([&](call& self) { self.OnBackendFailed(failure); });
           },
       .on_drained = [with] { with([](call& self) { self.peer_->ResumeBody(); }); },
       .is_answer =
           [with](const http_head& head) {
             bool is_answer = false;
             with([&](const call& self) { is_answer = self.IsAnswer(head); });
             return is_answer;
           }});
  backend_->SendBody(early_body_);
  early_body_.clear();
  if (body_ended_) {
    backend_->FinishBody();
  } else {
    peer_->ResumeBody();
  }
  const duration left = deadline_ - started_ + kDeadlineSlack;
  deadline_timer_.StartOnce(std::max(left, kDeadlineSlack), [this] { OnDeadline(); });
}

bool serving_side::call::IsAnswer(const http_head& head) const {
  const std::string* echoed = head.Find(side_.board.settings.headers.request_id);
  return echoed == nullptr || request_id_.empty() || *echoed == request_id_;
}

// What an answer says besides being an answer; nothing where it is one to pass on.
std::optional<relay_outcome> serving_side::call::Judge(const http_head& head) const {
  const relay_header_names& names = side_.board.settings.headers;
  if (head.Find(names.not_executed) != nullptr || head.status == http_status::kMisdirectedRequest) {
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

void serving_side::call::OnAnswerHead(http_head head) {
  outcome_ = Judge(head);
  // A failure below fails the request here: no fault of this backend server.
  const bool own_fault = head.status >= http_status::kFirstServerError &&
                         side_.board.causes.CalledBy(about_.row).empty();
  side_.NoteOutcome(!outcome_ && !own_fault);
  if (outcome_ || detached_) {
    return;
  }
  head.RemoveConnectionFields();
  head.Remove(kOutcomeField);
  head.Set(kLoadField, side_.Load(about_.row).ToText());
  committed_ = true;
  announce_timer_.Stop();
  peer_->SendHead(std::move(head));
}

void serving_side::call::OnAnswerBody(std::string_view bytes) {
  if (!committed_ || detached_) {
    return;
  }
  peer_->SendBody(bytes);
  if (peer_->unsent() > tcp_connection::kHighWater) {
    backend_->PauseAnswer();
  }
}

void serving_side::call::OnAnswerEnd() {
  finished_backend_ = std::move(backend_);
  FreeSlot();
  if (outcome_) {
    TurnAway(*outcome_);
    return;
  }
  if (!detached_) {
    peer_->Finish();
  }
  End("answered");
}

void serving_side::call::OnBackendFailed(exchange_failure failure) {
  finished_backend_ = std::move(backend_);
  FreeSlot();
  side_.NoteOutcome(false);
  if (failure == exchange_failure::kNotSent) {
    side_.down_until = side_.board.loop.Now() + kDownTime;
    TurnAway(relay_outcome::kDown);
    return;
  }
  if (committed_ && !detached_) {
    peer_->Break();
    End("cut_short");
    return;
  }
  TurnAway(failure == exchange_failure::kDamaged ? relay_outcome::kDamaged : relay_outcome::kLost);
}

void serving_side::call::OnDeadline() {
  if (!running_) {
    return;
  }
  if (committed_ && !detached_) {
    // An answer that is on its way is delivered, also late.
    return;
  }
  backend_->Cancel();
  finished_backend_ = std::move(backend_);
  FreeSlot();
  TurnAway(relay_outcome::kTimedOut);
}

void serving_side::call::OnPeerGone() {
  if (!running_) {
    ReleaseGrant();
    side_.gate.Remove(id_);
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
  FreeSlot();
  End("caller_gone");
}

void serving_side::call::FreeSlot() {
  if (!running_) {
    return;
  }
  running_ = false;
  deadline_timer_.Stop();
  const instant now = side_.board.loop.Now();
  side_.board.causes.OnRunEnd(about_.row, now);
  side_.board.running -= 1.0;
  side_.board.running_repeats -= about_.repeated;
  side_.gate.Finish(now - started_);
}

// Answers the calling node that no answer of the backend server comes.
void serving_side::call::TurnAway(relay_outcome why) {
  if (!detached_) {
    http_head head =
        MakeAnswer(SurelyNotRun(why) ? http_status::kUnavailable : http_status::kBadGateway);
    head.Set(kOutcomeField, std::string(ToText(why)));
    head.Set(kLoadField, side_.Load(about_.row).ToText());
    peer_->Answer(std::move(head), "");
  }
  End(ToText(why));
}

void serving_side::call::End(std::string_view result) {
  if (ended_) {
    return;
  }
  ended_ = true;
  deadline_timer_.Stop();
  announce_timer_.Stop();
  peer_->SetHooks({});
  relay_board& board = side_.board;
  const instant now = board.loop.Now();
  const bool ran = started_ != instant{};
  const duration waited = (ran ? started_ : now) - arrived_;
  const duration took = ran ? now - started_ : duration::zero();
  board.metrics.OnServed(about_.row, result, waited, took);
  const bool late = waited + took > about_.objective / 2;
  if (board.log.Wants(result != "answered" || late)) {
    LogEnd(result, waited, took);
  }
  serving_side::state& side = side_;
  const auto keep = shared_from_this();
  side.calls.erase(id_);
  side.StartWaiting();
}

void serving_side::call::LogEnd(std::string_view result, duration waited, duration took) const {
  side_.board.log.OnRequest("serving.end", {{"id", request_id_},
                                            {"row", about_.row},
                                            {"result", result},
                                            {"nested", about_.nested},
                                            {"waited_us", waited.count()},
                                            {"ran_us", took.count()},
                                            {"running", side_.gate.running()},
                                            {"waiting", side_.gate.waiting()},
                                            {"limit", side_.gate.limit()},
                                            {"level", ForLog(side_.level.level())}});
}

//==============================================================================
serving_side::serving_side(relay_board& board) : state_(std::make_unique<state>(board)) {}

serving_side::~serving_side() = default;

void serving_side::OnRequest(std::shared_ptr<server_exchange> peer) {
  const std::string* field = peer->request().Find(kCallField);
  const auto about = field == nullptr ? std::nullopt : call_header::Parse(*field);
  if (!about) {
    peer->Answer(MakeAnswer(http_status::kBadRequest), "");
    return;
  }
  const std::uint64_t id = ++state_->last_id;
  auto made = std::make_shared<call>(*state_, id, std::move(peer), *about);
  state_->calls.emplace(id, made);
  made->Begin();
}

void serving_side::OnBoardChanged() {
  const std::uint32_t slots = state_->board.own_slots();
  if (slots > 0) {
    state_->gate.SetSlots(slots);
    state_->StartWaiting();
  }
}

std::size_t serving_side::in_progress() const { return state_->calls.size(); }

void serving_side::ReportTo(relay_metrics& metrics) const {
  metrics.SetGauge("cuminferry_level", state_->level.level());
  metrics.SetGauge("cuminferry_slots_running", state_->gate.running());
  metrics.SetGauge("cuminferry_slots_limit", state_->gate.limit());
  metrics.SetGauge("cuminferry_queue", state_->gate.waiting());
}

}  // namespace cuminferry
