#include "cuminferry_relay/path/serving_context.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cuminferry_relay/http/message_reader.h"
#include "cuminferry_relay/path/answer_check.h"
#include "cuminferry_relay/path/serving_call.h"

namespace cuminferry {
namespace {

// The backend server is on the same instance: a connection that is not established within this
// time was refused or found the accept queue full.
constexpr duration kBackendConnectTimeout = std::chrono::milliseconds(500);
constexpr duration kBackendSilenceTimeout = std::chrono::seconds(3);
// Applies where a backend server doesn't say how long it keeps idle connections open.
constexpr duration kDefaultBackendIdleTime = std::chrono::milliseconds(400);
// A backend server that took no connection gets no requests for this long.
constexpr duration kBackendDownTime = std::chrono::milliseconds(200);
constexpr std::size_t kMaxStrayHeadBytes = 16 * 1024;
// Applies until the list of instances contains the node's backend server.
constexpr std::uint32_t kDefaultSlotCount = 32;
// Bounds the length of the log line about a crash, which may abort hundreds of runs.
constexpr std::size_t kMaxLoggedIds = 32;
constexpr duration kMinExpiryInterval = std::chrono::milliseconds(10);
constexpr duration kMinTurnInterval = std::chrono::milliseconds(1);

}  // namespace

serving_context::serving_context(relay_board& node)
    : node(node),
      backend(node.loop, node.settings.backend,
              {.connect_timeout = kBackendConnectTimeout,
               .silence_timeout = kBackendSilenceTimeout,
               .idle_timeout = kDefaultBackendIdleTime,
               .on_stray = [this](const stray_bytes& stray) { OnStrayBytes(stray); },
               .on_invalid =
                   [&node](const invalid_answer& invalid) {
                     node.OnInvalidAnswer("backend", invalid);
                   }}),
      gate(kDefaultSlotCount),
      declarations(node, gate, [this] { WithdrawRefused(); }),
      registration(node, [this] { WithdrawRefused(); }),
      repeat_decisions(node),
      step_timer_(node.loop),
      expiry_timer_(node.loop),
      turn_timer_(node.loop),
      crash_detector_(
          node.loop, node.settings.backend, node.random.Next(),
          [this](const backend_crash_detector::crash_finding& found) { OnLossCauseKnown(found); }) {
  ApplyQueueOrder();
  step_timer_.StartPeriodic(admission_level::kPeriod, [this] { Step(); });
}

// The setting may be reloaded at any time.
void serving_context::ApplyQueueOrder() { gate.SetOrder(node.settings.order); }

void serving_context::Step() {
  ApplyQueueOrder();
  gate.Learn(node.loop.Now());
  gate.Displace(node.loop.Now());
  RefuseDisplaced();
  const duration wait = gate.TakeLongestWait(node.loop.Now());
  declarations.Step(wait);
  registration.Step();
  if (registration.may_refuse()) {
    WithdrawRefused();
  }
  const bool waits_for_slots = gate.lacks_slots() || !gate.has_rate();
  level.Step(waits_for_slots ? wait : duration::zero(), gate.running(), gate.limit(),
             gate.service_time());
  if (level.open() == was_level_open_) {
    return;
  }
  was_level_open_ = level.open();
  node.log.LogChange(was_level_open_ ? "level.opened" : "level.lowered",
                     {{"level", RoundForLog(level.share())},
                      {"success", RoundForLog(success_rate_.RateAt(node.loop.Now()))},
                      {"wait_us", wait.count()},
                      {"running", gate.running()},
                      {"waiting", gate.waiting()},
                      {"limit", gate.limit()}});
}

void serving_context::StartWaiting() {
  while (const auto next = gate.StartNext(node.loop.Now())) {
    const auto found = calls.find(*next);
    if (found != calls.end()) {
      const auto started = found->second;
      started->OnSlotGranted();
    }
  }
  ScheduleWaiting();
}

void serving_context::StartNextSuspects(std::uint64_t completed_id) {
  for (const std::uint64_t id : isolation.Remove(completed_id)) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      const auto next = found->second;
      next->OnSuspectTurn();
    }
  }
}

// The answer to one request may start others, so the gate is asked anew each time.
void serving_context::RefuseDisplaced() {
  while (const auto id = gate.TakeDisplaced()) {
    const auto found = calls.find(*id);
    if (found != calls.end()) {
      const auto displaced = found->second;
      displaced->OnDisplaced();
    }
  }
}

void serving_context::ScheduleWaiting() {
  const instant now = node.loop.Now();
  if (const auto next = gate.next_expiry()) {
    expiry_timer_.StartOnce(std::max<duration>(*next - now, kMinExpiryInterval),
                            [this] { OnExpiry(); });
  } else {
    expiry_timer_.Stop();
  }
  if (const auto turn = gate.NextTurn(now)) {
    turn_timer_.StartOnce(std::max<duration>(*turn - now, kMinTurnInterval),
                          [this] { StartWaiting(); });
  } else {
    turn_timer_.Stop();
  }
}

void serving_context::OnExpiry() {
  for (const std::uint64_t id : gate.TakeExpired(node.loop.Now())) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      const auto expired = found->second;
      expired->AnswerWithOutcome(relay_outcome::kFull);
    }
  }
  ScheduleWaiting();
}

std::optional<relay_outcome> serving_context::RefusalOf(
    const std::string& instance, const std::optional<unlisted_notice>& notice) const {
  // Of the own instance that is not listed, the registration says whether it leaves.
  const bool has_left = !registration.Decides(instance) && node.IsLeavingOrRemoved(instance);
  const bool is_absent = !instance.empty() && IsKnownAbsent(instance);
  if (has_left || is_absent || node.HasDeclaredLeaving(instance)) {
    return relay_outcome::kLeaving;
  }
  return registration.RefusalOf(instance, notice);
}

void serving_context::OnInstancesChanged() {
  registration.OnInstancesChanged();
  UpdateAbsentInstance();
  WithdrawRefused();
  const bool was_unlisted = std::exchange(is_unlisted_, registration.may_refuse());
  if (is_unlisted_ && !was_unlisted) {
    WithdrawFromUnlisted();
  }
}

bool serving_context::MayWait() const {
  return !registration.IsJustRemoved() || !node.HasOtherTargets();
}

// Once the instance is listed here anew, the answer that denied it says nothing about it.
void serving_context::UpdateAbsentInstance() {
  const service_instance* own = node.OwnInstance();
  const bool is_listed = own != nullptr && own->id == absent_instance_ && !own->draining &&
                         !node.unlisted_since(own->id);
  const auto run = is_listed ? std::optional(own->started_millis) : std::nullopt;
  if (is_listed && run != absent_listed_run_) {
    absent_instance_.clear();
  }
  absent_listed_run_ = run;
}

// An instance that was taken out of the list may serve on for long, or exit at any time. What waits
// is safer at another one, if there is one.
void serving_context::WithdrawFromUnlisted() {
  if (!node.HasOtherTargets()) {
    return;
  }
  std::vector<std::shared_ptr<serving_call>> withdrawn;
  for (const auto& call : CallsInOrder()) {
    if (!call->has_run()) {
      call->Withdraw();
      withdrawn.push_back(call);
    }
  }
  for (const auto& call : withdrawn) {
    call->AnswerWithOutcome(relay_outcome::kUnconfirmed);
  }
}

// Requests that have not begun to run can still run elsewhere. All of them leave the queue before
// the first is answered: each answer starts what waits, and a request that is refused then would
// start the next, through the whole queue.
void serving_context::WithdrawRefused() {
  std::vector<std::pair<std::shared_ptr<serving_call>, relay_outcome>> withdrawn;
  for (const auto& call : CallsInOrder()) {
    if (const auto refusal = call->WithdrawIfRefused()) {
      withdrawn.emplace_back(call, *refusal);
    }
  }
  for (const auto& [call, refusal] : withdrawn) {
    call->AnswerWithOutcome(refusal);
  }
}

// Requests that are not in the queue come first: they have a slot, or would be next.
std::vector<std::shared_ptr<serving_call>> serving_context::CallsInOrder() const {
  std::vector<std::shared_ptr<serving_call>> ordered;
  std::vector<std::shared_ptr<serving_call>> waiting;
  std::unordered_set<std::uint64_t> queued;
  for (const std::uint64_t id : gate.WaitingInOrder()) {
    if (const auto found = calls.find(id); found != calls.end()) {
      queued.insert(id);
      waiting.push_back(found->second);
    }
  }
  for (const auto& [id, call] : calls) {
    if (!queued.contains(id)) {
      ordered.push_back(call);
    }
  }
  std::ranges::sort(ordered, {}, [](const auto& call) { return call->id(); });
  ordered.insert(ordered.end(), waiting.begin(), waiting.end());
  return ordered;
}

void serving_context::OnBackendDown() { backend_down_until_ = node.loop.Now() + kBackendDownTime; }

void serving_context::OnOtherInstance(std::string_view expected) {
  absent_instance_ = expected;
  const service_instance* own = node.OwnInstance();
  const bool is_listed = own != nullptr && own->id == expected;
  absent_listed_run_ = is_listed ? std::optional(own->started_millis) : std::nullopt;
  node.on_instance_absent(expected);
  // Answers to the calling nodes start what waits, which is done outside of the run that has
  // brought this one.
  node.loop.RunAtEndOfIteration([this] { WithdrawRefused(); });
}

// Only answers whose heads have arrived whole are looked at.
void serving_context::OnStrayBytes(const stray_bytes& stray) {
  std::optional<http_head> answer;
  message_reader reader(message_reader::kind::kResponses, kMaxStrayHeadBytes,
                        {.on_head = [&answer](http_head head) { answer = std::move(head); },
                         .on_interim = {},
                         .on_body = {},
                         .on_message_end = {}});
  for (std::string_view rest = stray.bytes; !rest.empty() && !answer;) {
    const auto read = reader.Read(rest);
    if (!read.ok()) {
      return;
    }
    rest.remove_prefix(*read);
  }
  if (!answer) {
    return;
  }
  const std::string* id = answer->Find(node.settings.headers.request_id);
  OnStrayAnswer(*answer, stray.connection, id != nullptr && stray.has_brought_rejection_of(*id));
}

void serving_context::OnStrayAnswer(const http_head& answer, const connection_use& connection,
                                    bool was_rejected) {
  const relay_header_names& names = node.settings.headers;
  const bool disproves = was_rejected && !InvalidAnswerOutcome(answer, names, false);
  if (disproves) {
    node.metrics.OnRejectionDisproved();
  }
  if (!node.log.TryReserveLine(disproves ? decision_log::line_kind::kEvidence
                                         : decision_log::line_kind::kNotable)) {
    return;
  }
  const std::string* id = answer.Find(names.request_id);
  node.log.LogRequest("backend.stray_answer",
                      {{"id", id == nullptr ? std::string() : *id},
                       {"status", answer.status},
                       {"says_not_run", answer.Find(names.not_executed) != nullptr},
                       {"connection", connection.number},
                       {"carried", connection.requests_before},
                       {"idle_us", connection.idle.count()},
                       {"was_rejected", was_rejected},
                       {"disproves", disproves}});
}

void serving_context::OnRunConnectionLost(std::shared_ptr<serving_call> run) {
  lost_runs_.push_back(std::move(run));
  crash_detector_.OnConnectionLost();
}

void serving_context::AwaitEndConfirmation(std::shared_ptr<serving_call> run) {
  ended_by_close_.push_back(std::move(run));
  crash_detector_.OnConnectionLost();
}

void serving_context::OnLossCauseKnown(const backend_crash_detector::crash_finding& found) {
  for (const auto& run : std::exchange(ended_by_close_, {})) {
    run->OnEndConfirmed(!found.has_crashed);
  }
  std::vector<std::shared_ptr<serving_call>> lost = std::exchange(lost_runs_, {});
  if (lost.empty()) {
    return;
  }
  if (found.has_crashed) {
    OnBackendCrash(found.crash_id, std::move(lost));
    return;
  }
  node.log.LogChange("backend.connections_lost", {{"runs", lost.size()}});
  for (const auto& run : lost) {
    run->AnswerWithOutcome(relay_outcome::kLost);
  }
}

void serving_context::OnBackendCrash(std::uint64_t crash_id,
                                     std::vector<std::shared_ptr<serving_call>> runs) {
  std::vector<suspect_registry::running_request> running;
  for (const auto& run : runs) {
    running.push_back(run->ToRunningRequest());
  }
  const instant now = node.loop.Now();
  const std::vector<suspect_event> events = node.suspects.EventsOfCrash(crash_id, running, now);
  nlohmann::ordered_json ids = nlohmann::ordered_json::array();
  for (std::size_t at = 0; at < std::min(runs.size(), kMaxLoggedIds); ++at) {
    ids.push_back(runs[at]->request_id());
  }
  node.metrics.OnBackendCrash(runs.size());
  node.log.LogChange("backend.ended", {{"end", crash_id},
                                       {"runs", runs.size()},
                                       {"suspects", events.size()},
                                       {"ids", std::move(ids)}});
  node.on_suspects(events);
  for (std::size_t at = 0; at < runs.size(); ++at) {
    runs[at]->OnCrashAnnounced(crash_id, running[at].digest);
  }
}

void serving_context::RecordOutcome(bool succeeded) {
  success_rate_.OnAnswer(succeeded, node.loop.Now());
}

std::optional<row_limit> serving_context::LimitFor(
    std::string_view row, const std::optional<double>& admitted_share) const {
  const row_limit own_limit{.share = std::min(level.share(), declarations.admitted_share()),
                            .cost = run_times.MeanOf(row, gate.service_time()),
                            .service = node.settings.service};
  return LimitToReport(row, own_limit, admitted_share, node.attribution, node.admission,
                       node.loop.Now());
}

load_header serving_context::LoadReportFor(const call_header& request) const {
  const instant now = node.loop.Now();
  return {.report = {.running = gate.running(),
                     .waiting = gate.waiting(),
                     .limit = gate.limit(),
                     .service_time = gate.service_time(),
                     .success_ratio = success_rate_.RateAt(now),
                     .stopping = node.draining},
          .limit = LimitFor(request.row, request.admitted_share),
          .from_clients = node.origins.ComesFromClients(request.row, node.service_count()),
          .items_revision = node.items.latest_change()};
}

void serving_context::AddReports(const call_header& header, const serving_request& request,
                                 http_head& answer) const {
  answer.Set(kLoadField, LoadReportFor(header).ToText());
  const instant now = node.loop.Now();
  const repeat_report repeats{.repeated_share = header.nested ? node.repeats.NestedShare(now) : 1.0,
                              .callee_shortage = node.turns.IsAnyScarce(now)};
  answer.Remove(kRepeatsField);
  if (repeats.is_scarce()) {
    answer.Set(kRepeatsField, repeats.ToText());
  }
  declarations.AddReport(request.expected_instance, answer);
  registration.AddReport(request.expected_instance, request.unlisted, answer);
}

}  // namespace cuminferry
