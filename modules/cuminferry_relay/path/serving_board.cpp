#include "cuminferry_relay/path/serving_board.h"

#include <algorithm>
#include <utility>

#include "cuminferry_relay/path/serving_call.h"

namespace cuminferry {
namespace {

// On the same instance: a connection that isn't there within this was refused or
// found the backend server's accept queue full.
constexpr duration kBackendConnectLimit = std::chrono::milliseconds(500);
constexpr duration kBackendSilenceLimit = std::chrono::seconds(3);
// Where a backend server doesn't say how long it keeps idle connections.
constexpr duration kBackendIdleLimit = std::chrono::milliseconds(400);
// A backend server that took no connection is left alone this long.
constexpr duration kDownTime = std::chrono::milliseconds(200);
// Until the own backend server is listed.
constexpr std::uint32_t kAssumedSlots = 32;
// Of the runs that an end of the backend server took along, so that the line stays short.
constexpr std::size_t kIdsInLine = 32;
constexpr duration kExpiryPeriod = std::chrono::milliseconds(10);

}  // namespace

serving_board::serving_board(relay_board& node)
    : node(node),
      backend(node.loop, node.settings.backend,
              {.connect_limit = kBackendConnectLimit,
               .silence_limit = kBackendSilenceLimit,
               .idle_limit = kBackendIdleLimit}),
      gate(kAssumedSlots),
      step_timer_(node.loop),
      expiry_timer_(node.loop),
      end_watch_(node.loop, node.settings.backend, node.random.Next(),
                 [this](const backend_end_watch::finding& found) { OnLossesJudged(found); }) {
  step_timer_.StartPeriodic(admission_level::kPeriod, [this] { Step(); });
}

void serving_board::Step() {
  gate.Learn(node.loop.Now());
  const duration wait = gate.TakeLongestWait(node.loop.Now());
  level.Step(wait, gate.running(), gate.limit(), gate.service_time());
  if (level.open() == was_open_) {
    return;
  }
  was_open_ = level.open();
  node.log.OnChange(was_open_ ? "level.opened" : "level.lowered",
                    {{"level", ForLog(level.share())},
                     {"success", ForLog(success_.Share(node.loop.Now()))},
                     {"wait_us", wait.count()},
                     {"running", gate.running()},
                     {"waiting", gate.waiting()},
                     {"limit", gate.limit()}});
}

void serving_board::StartWaiting() {
  while (const auto next = gate.StartNext(node.loop.Now())) {
    const auto found = calls.find(*next);
    if (found != calls.end()) {
      const auto started = found->second;
      started->OnSlot();
    }
  }
  ArmExpiry();
}

void serving_board::StartTurns(std::uint64_t ended) {
  for (const std::uint64_t id : lane.Leave(ended)) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      const auto next = found->second;
      next->OnTurn();
    }
  }
}

void serving_board::ArmExpiry() {
  const auto next = gate.next_expiry();
  if (!next) {
    expiry_timer_.Stop();
    return;
  }
  const duration left = std::max<duration>(*next - node.loop.Now(), duration::zero());
  expiry_timer_.StartOnce(std::max(left, kExpiryPeriod), [this] { OnExpiry(); });
}

void serving_board::OnExpiry() {
  for (const std::uint64_t id : gate.TakeExpired(node.loop.Now())) {
    const auto found = calls.find(id);
    if (found != calls.end()) {
      const auto expired = found->second;
      expired->TurnAway(relay_outcome::kFull);
    }
  }
  ArmExpiry();
}

void serving_board::OnBackendDown() { down_until_ = node.loop.Now() + kDownTime; }

void serving_board::OnOtherInstance(std::string_view expected) {
  not_here_ = expected;
  node.on_not_there(expected);
}

void serving_board::OnRunLost(std::shared_ptr<serving_call> run) {
  lost_.push_back(std::move(run));
  end_watch_.OnConnectionLost();
}

void serving_board::OnLossesJudged(const backend_end_watch::finding& found) {
  std::vector<std::shared_ptr<serving_call>> lost = std::exchange(lost_, {});
  if (found.has_ended) {
    OnEnded(found.end, std::move(lost));
    return;
  }
  node.log.OnChange("backend.connections_lost", {{"runs", lost.size()}});
  for (const auto& run : lost) {
    run->TurnAway(relay_outcome::kLost);
  }
}

void serving_board::OnEnded(std::uint64_t end, std::vector<std::shared_ptr<serving_call>> runs) {
  std::vector<suspect_book::running_request> running;
  for (const auto& run : runs) {
    running.push_back(run->AsSuspect());
  }
  const instant now = node.loop.Now();
  const std::vector<suspect_event> events = node.suspects.EventsOfEnd(end, running, now);
  nlohmann::ordered_json ids = nlohmann::ordered_json::array();
  for (std::size_t at = 0; at < std::min(runs.size(), kIdsInLine); ++at) {
    ids.push_back(runs[at]->request_id());
  }
  node.metrics.OnBackendEnd(runs.size());
  node.log.OnChange(
      "backend.ended",
      {{"end", end}, {"runs", runs.size()}, {"suspects", events.size()}, {"ids", std::move(ids)}});
  node.on_suspects(events);
  for (std::size_t at = 0; at < runs.size(); ++at) {
    runs[at]->OnBackendEnded(end, running[at].digest);
  }
}

void serving_board::NoteOutcome(bool good) { success_.Note(good, node.loop.Now()); }

std::optional<row_limit> serving_board::LimitOf(std::string_view row,
                                                const std::optional<double>& in_force) const {
  const row_limit own{.share = level.share(),
                      .cost = times.MeanOf(row, gate.service_time()),
                      .service = node.settings.service};
  return LimitToTell(row, own, in_force, node.causes, node.admission, node.loop.Now());
}

load_header serving_board::Load(std::string_view row, const std::optional<double>& in_force) const {
  return {.report = {.running = gate.running(),
                     .waiting = gate.waiting(),
                     .limit = gate.limit(),
                     .service_time = gate.service_time(),
                     .success = success_.Share(node.loop.Now()),
                     .stopping = node.draining},
          .limit = LimitOf(row, in_force),
          .from_clients = node.origins.ComesFromClients(row, node.service_count()),
          .items_revision = node.items.changed_at()};
}

}  // namespace cuminferry
