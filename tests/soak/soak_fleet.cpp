#include "soak/soak_fleet.h"

#include <spdlog/fmt/fmt.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "soak/soak_addresses.h"
#include "trial/child_process.h"

namespace cuminferry::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 3;
constexpr double kRepeatAllowance = 30.0;
constexpr duration kHeartbeat = milliseconds(1'500);
constexpr duration kReadyPeriod = seconds(1);
constexpr int kMissesUntilNotReady = 2;
constexpr duration kTickPeriod = milliseconds(20);
constexpr duration kEditProbePeriod = milliseconds(150);
constexpr duration kRestartDelay = milliseconds(300);
// Time between the start of the drain of a backend server and its end.
constexpr duration kDrainTime = milliseconds(3'000);
// The setting drain_s: time in which a backend server that leaves must get no more requests.
constexpr duration kDrainBound = milliseconds(2'500);
// How long a backend server that left without being listed as draining serves, and how long its
// address is unused afterwards.
constexpr duration kUnlistedServingTime = milliseconds(6'500);
constexpr duration kAddressPause = seconds(2);
constexpr duration kGracePeriod = seconds(6);
constexpr int kEditsInSeries = 8;
constexpr duration kSeriesInterval = milliseconds(80);
constexpr double kBurstFactor = 4.0;
constexpr double kShedInRestarts = 0.6;
constexpr duration kRestartInterval = milliseconds(300);
// The requirement: at most three crashes before the request is blocked, and three more from
// requests that were already sent.
constexpr int kMaxCrashes = 6;
constexpr int kCrashingRequests = 12;
constexpr duration kCrashingInterval = milliseconds(400);
// Requests a second; a backend server usually gets several times as many.
constexpr double kDeclaredRate = 4.0;
constexpr duration kCrashRestartDelay = milliseconds(800);
constexpr duration kAbandonAfter = milliseconds(40);
constexpr double kAbandonedShare = 0.03;
// Share of the uploads that exceed what a node keeps to send them again.
constexpr double kLongUploadShare = 0.2;
constexpr target_fault kBabbling{.duplicate_answers = 0.2,
                                 .rejections = 0.3,
                                 .late_rejections = 0.5,
                                 .early_rejections = 0.5,
                                 .endless_answers = 0.03};

std::string ServiceOf(std::size_t node) {
  return node % soak_plan::kServices == 0 ? "maps" : "permits";
}

/** A row with what clients need to send its requests. */
struct client_row {
  const char* name;
  const char* kind;
  const char* service;
  int priority;
  milliseconds timeout;
  milliseconds objective;
};

constexpr std::array kRows{
    client_row{"read", "safe", "maps", 1, milliseconds(1'500), milliseconds(300)},
    client_row{"file", "unsafe", "permits", 0, milliseconds(2'000), milliseconds(800)},
    client_row{"load", "upload", "permits", 1, milliseconds(2'000), milliseconds(800)},
    client_row{"feed", "safe", "maps", 1, milliseconds(700), milliseconds(300)}};
constexpr std::string_view kCalledRow = "feed";
constexpr milliseconds kCallTimeout{700};

json RouteOf(const client_row& row, const std::string& name) {
  return {{"type", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", "soak.example"},
            {"prefix", "/" + name + "/"},
            {"service", row.service},
            {"kind", row.kind},
            {"attempts", 2},
            {"timeout_ms", row.timeout.count()},
            {"slo_ms", row.objective.count()},
            {"priority", row.priority}}}};
}

}  // namespace

/** One node with its proxies, its backend server and its clients. The process is restarted
    under the same number. */
struct soak_node {
  std::size_t number = 0;
  std::string settings_file;
  std::optional<trial::child_process> process;
  int incarnation = 0;
  instant start_at{};
  // SIGTERM was sent and the process is draining.
  bool stopping = false;
  bool paused = false;
  int missed_probes = kMissesUntilNotReady;
  bool probe_scheduled = false;
  disturbance* outage = nullptr;

  std::unique_ptr<loopback_proxy> link;
  std::unique_ptr<loopback_proxy> store_link;
  std::unique_ptr<soak_target> target;
  std::string target_id;
  std::size_t target_number = 0;
  bool draining = false;
  // The backend server leaves and is not listed.
  bool left_unlisted = false;
  // The backend server can't reach the store.
  bool store_lost = false;
  // The current backend server's time of serving; null before its entry is written.
  serving_period* serving = nullptr;
  std::unique_ptr<http_client> readiness_client;
  std::unique_ptr<client_exchange> ready_probe;
  std::unique_ptr<client_exchange> previous_probe;
  std::unique_ptr<soak_client> clients;

  bool is_ready() const { return missed_probes < kMissesUntilNotReady; }
};

class soak_fleet {
 public:
  explicit soak_fleet(const soak_options& options)
      : options_(options),
        addresses_(options.block),
        random_(options.seed * 31 + 7),
        ledger_(kRepeatAllowance),
        store_(loop_, addresses_.Store()),
        tick_(loop_),
        heartbeat_(loop_),
        edit_probe_(loop_) {
    std::filesystem::create_directories(options_.folder);
    for (std::size_t number = 0; number < options_.nodes; ++number) {
      MakeNode(number);
    }
  }

  ~soak_fleet() {
    // Timers and clients refer to the nodes and are destroyed first.
    timers_.clear();
    for (const auto& node : nodes_) {
      node->clients.reset();
      node->ready_probe.reset();
      node->process.reset();
    }
  }

  soak_result Run() {
    const soak_plan plan = soak_plan::Draw(options_.seed, options_.nodes, options_.rounds);
    began_ = loop_.Now();
    Edit();
    for (const soak_event& event : plan.events) {
      After(event.start, [this, event] { Apply(event); });
    }
    for (const auto& [begin, end] : plan.fault_free_periods) {
      ledger_.OnFaultFreePeriod(began_ + begin, began_ + end);
    }
    tick_.StartPeriodic(kTickPeriod, [this] { OnTick(); });
    heartbeat_.StartPeriodic(kHeartbeat, [this] { Heartbeat(); });
    edit_probe_.StartPeriodic(kEditProbePeriod, [this] { ProbeEdits(); });
    After(plan.length, [this] { loop_.Stop(); });
    loop_.Run();
    return {.violations = ledger_.Check(), .summary = ledger_.Summary()};
  }

 private:
  //============================================================================
  // The fleet.

  void MakeNode(std::size_t number) {
    auto node = std::make_unique<soak_node>();
    node->number = number;
    node->settings_file = fmt::format("{}/node-{}.json", options_.folder, number);
    const endpoint published = addresses_.Published(number, soak_addresses::kPeerPort);
    node->link = std::make_unique<loopback_proxy>(
        loop_, published, addresses_.Node(number, soak_addresses::kPeerPort));
    node->store_link =
        std::make_unique<loopback_proxy>(loop_, addresses_.StoreLink(number), addresses_.Store());
    node->readiness_client = std::make_unique<http_client>(
        loop_, addresses_.Node(number, soak_addresses::kReadyPort),
        http_client::options{
            .connect_timeout = kReadyPeriod, .silence_timeout = seconds(2), .idle_timeout = {}});
    node->clients = std::make_unique<soak_client>(
        loop_, addresses_.Node(number, soak_addresses::kOutboundPort), ledger_);
    nodes_.push_back(std::move(node));
    WriteSettings(number, static_cast<int>(kRepeatAllowance));
    StartTarget(*nodes_.back());
    StartProcess(*nodes_.back());
  }

  void WriteSettings(std::size_t number, int allowance) {
    json settings = addresses_.SettingsOf(
        number, ServiceOf(number), fmt::format("domain-{}", number % kDomains),
        addresses_.Published(number, soak_addresses::kBackendPort));
    settings["repeat_allowance"] = allowance;
    settings["repeat_window_s"] = 10;
    settings["drain_s"] = std::chrono::duration<double>(kDrainBound).count();
    settings["grace_s"] = std::chrono::duration<double>(kGracePeriod).count();
    std::ofstream(nodes_[number]->settings_file) << settings.dump(2);
  }

  void StartProcess(soak_node& node) {
    const bool runs_other = !options_.other_program.empty() && node.number % 2 == 1;
    auto started = trial::child_process::Start(
        {runs_other ? options_.other_program : options_.program, "--settings", node.settings_file},
        fmt::format("{}/node-{}.log", options_.folder, node.number));
    if (!started.ok()) {
      ledger_.OnViolation(std::string(started.status().message()));
      return;
    }
    node.process.emplace(std::move(*started));
    ++node.incarnation;
    node.stopping = false;
    node.paused = false;
  }

  void StartTarget(soak_node& node) {
    node.target_number = ++targets_started_;
    node.target_id = fmt::format("i-{}", node.target_number);
    target_work work;
    if (ServiceOf(node.number) == "permits") {
      work.calls = {{.row = std::string(kCalledRow), .service = "maps", .timeout = kCallTimeout}};
    }
    node.target = std::make_unique<soak_target>(
        loop_,
        soak_target::options{
            .listen_address = addresses_.Published(node.number, soak_addresses::kBackendPort),
            .node = addresses_.Node(node.number, soak_addresses::kOutboundPort),
            .id = node.target_id,
            .number = node.target_number,
            .node_number = node.number,
            .service = ServiceOf(node.number),
            .work_of = [work](std::string_view) { return work; },
            .on_crash = [this, &node] { OnCrashingRequest(node); },
            .node_incarnation = [&node] { return node.incarnation; }},
        ledger_, random_);
    node.draining = false;
    node.left_unlisted = false;
    node.serving = nullptr;
    Publish(node);
  }

  // The backend server ended or leaves.
  void EndServing(soak_node& node) {
    if (node.serving != nullptr) {
      std::exchange(node.serving, nullptr)->end = loop_.Now();
    }
  }

  void Publish(soak_node& node) {
    if (node.store_lost || node.left_unlisted) {
      return;
    }
    if (node.serving == nullptr && !node.draining) {
      node.serving = &ledger_.OnServing({.target = node.target_number,
                                         .node = node.number,
                                         .service = ServiceOf(node.number),
                                         .begin = loop_.Now(),
                                         .end = loop_.Now() + seconds(600)});
    }
    store_.PutFor(
        "servers/" + node.target_id,
        json{{"service", ServiceOf(node.number)},
             {"addr", addresses_.Published(node.number, soak_addresses::kBackendPort).ToString()},
             {"zone", fmt::format("domain-{}", node.number % kDomains)},
             {"version", "v1"},
             {"capacity", soak_target::options{}.slots},
             {"state", node.draining ? "draining" : "ready"},
             {"warmup_left_ms", 0},
             {"sequence", ++heartbeats_}}
            .dump(),
        3 * kHeartbeat);
  }

  void Heartbeat() {
    for (const auto& node : nodes_) {
      if (node->target) {
        Publish(*node);
      }
    }
  }

  // Each edit adds one row and removes the row of the previous edit.
  void Edit() {
    json resources = json::array();
    for (const client_row& row : kRows) {
      resources.push_back(RouteOf(row, row.name));
    }
    ++edits_;
    resources.push_back(RouteOf(kRows[0], fmt::format("edit{}", edits_)));
    for (const char* service : {"maps", "permits"}) {
      resources.push_back({{"type", "services"},
                           {"metadata", {{"name", service}}},
                           {"spec", {{"health_path", "/healthz"}, {"max_conns", 500}}}});
    }
    resources.push_back({{"type", "limits"},
                         {"metadata", {{"name", "limits"}}},
                         {"spec",
                          {{"header_bytes", 16'384},
                           {"body_bytes", 1'000'000},
                           {"header_ms", 3'000},
                           {"idle_ms", 5'000}}}});
    store_.Put(
        "op/config",
        json{{"version", fmt::format("{:08x}", 3 * edits_)}, {"resources", resources}}.dump());
    ledger_.OnEdit(edits_, loop_.Now());
  }

  //============================================================================
  // Timers.

  void After(duration delay, std::function<void()> action) {
    timers_.push_back(std::make_unique<loop_timer>(loop_));
    timers_.back()->StartOnce(delay, std::move(action));
  }

  void OnTick() {
    const instant now = loop_.Now();
    for (const auto& node : nodes_) {
      CheckProcess(*node, now);
      ProbeReadiness(*node, now);
      SendRequests(*node);
    }
  }

  void CheckProcess(soak_node& node, instant now) {
    int exit_code = 0;
    if (node.process && node.process->WaitForExit({}, exit_code)) {
      if (!node.stopping || exit_code != 0) {
        ledger_.OnViolation(
            fmt::format("node {} ended unexpectedly with exit code {}", node.number, exit_code));
      }
      node.process.reset();
      node.start_at = now + kRestartDelay;
    }
    if (!node.process && now >= node.start_at) {
      StartProcess(node);
    }
  }

  void ProbeReadiness(soak_node& node, instant now) {
    if (node.probe_scheduled || now < node.start_at) {
      return;
    }
    node.probe_scheduled = true;
    After(kReadyPeriod, [&node] { node.probe_scheduled = false; });
    http_head head;
    head.method = "GET";
    head.target = "/cuminferry/readyz";
    head.Set("Host", "ready");
    node.previous_probe = std::move(node.ready_probe);
    ++node.missed_probes;
    node.ready_probe = node.readiness_client->Send(head, {},
                                                   {.on_head =
                                                        [this, &node](const http_head& answer) {
                                                          if (answer.status == 200) {
                                                            OnReady(node);
                                                          }
                                                        },
                                                    .on_interim = {},
                                                    .on_body = {},
                                                    .on_end = {},
                                                    .on_failed = [](exchange_failure) {},
                                                    .on_writable = {},
                                                    .is_matching_answer = {}});
    node.ready_probe->FinishBody();
  }

  void OnReady(soak_node& node) {
    node.missed_probes = 0;
    if (node.outage != nullptr) {
      std::exchange(node.outage, nullptr)->end = loop_.Now();
    }
  }

  //============================================================================
  // Clients.

  void SendRequests(soak_node& node) {
    const double expected =
        options_.rate * burst_factor_ * static_cast<double>(kTickPeriod.count()) / 1e6;
    if (!node.is_ready() || random_.Fraction() >= expected) {
      return;
    }
    const double draw = random_.Fraction();
    const client_row& row = kRows[draw < 0.55 ? 0 : draw < 0.85 ? 1 : 2];
    client_request_options request{.method = row.kind == std::string_view("safe") ? "GET" : "POST",
                                   .path = fmt::format("/{}/x", row.name),
                                   .reuse_connection = random_.Fraction() < 0.5};
    if (row.kind != std::string_view("safe")) {
      const bool is_upload = row.kind == std::string_view("upload");
      request.body_bytes =
          is_upload ? (random_.Fraction() < kLongUploadShare ? 360'000 : 100'000) : 1'000;
      request.chunked = random_.Fraction() < 0.3;
    }
    if (random_.Fraction() < kAbandonedShare) {
      request.abandon_after = kAbandonAfter;
    }
    Send(node, request, row, row.name, 0);
  }

  void ProbeEdits() {
    for (const auto& node : nodes_) {
      for (const int edit : {edits_, edits_ - 1}) {
        if (node->is_ready() && edit > 0) {
          const std::string name = fmt::format("edit{}", edit);
          Send(*node, {.path = "/" + name + "/x", .reuse_connection = true}, kRows[0], name, edit);
        }
      }
    }
  }

  void Send(soak_node& node, const client_request_options& request, const client_row& row,
            const std::string& name, int edit) {
    node.clients->Send(request, {.id = fmt::format("r{}", ++requests_sent_),
                                 .row = name,
                                 .service = row.service,
                                 .node = node.number,
                                 .incarnation = node.incarnation,
                                 .idempotent = row.kind == std::string_view("safe"),
                                 .edit = edit,
                                 .timeout = row.timeout});
  }

  //============================================================================
  // Faults and changes.

  void Apply(const soak_event& event) {
    fmt::print("  {:6.2f} s {} node {} for {:.2f} s\n",
               static_cast<double>(event.start.count()) / 1e6, ToText(event.action), event.node,
               static_cast<double>(event.span.count()) / 1e6);
    soak_node& node = *nodes_[event.node];
    switch (event.action) {
      case soak_action::kKill:
        Kill(node, event.span);
        break;
      case soak_action::kKillAll:
        for (const auto& each : nodes_) {
          Kill(*each, event.span);
        }
        break;
      case soak_action::kPause:
        Pause(node, event.span);
        break;
      case soak_action::kStop:
        if (node.process && !node.paused && !node.stopping) {
          node.stopping = true;
          node.process->Signal(SIGTERM);
        }
        break;
      case soak_action::kReload:
        WriteSettings(node.number, static_cast<int>(kRepeatAllowance) - 1);
        if (node.process) {
          node.process->Signal(SIGHUP);
        }
        break;
      case soak_action::kEdit:
        Edit();
        break;
      case soak_action::kEdits:
        for (int i = 0; i < kEditsInSeries; ++i) {
          After(kSeriesInterval * i, [this] { Edit(); });
        }
        break;
      case soak_action::kReplace:
        Replace(node);
        break;
      case soak_action::kTargetBabbles:
        InjectTargetFault(node, kBabbling, event.span);
        break;
      case soak_action::kTargetCrash:
        Crash(node, event.span);
        break;
      case soak_action::kCrashing:
        SendCrashing();
        break;
      case soak_action::kTargetLimits:
        DeclareRate(node, event.span);
        break;
      case soak_action::kTargetLeaves:
        DeclareLeaving(node);
        break;
      case soak_action::kStoreLost:
        LoseStore(node, event.span);
        break;
      case soak_action::kLeavesUnlisted:
        LeaveUnlisted(node);
        break;
      case soak_action::kShedsInRestarts:
        ShedInRestarts(node, event.span);
        break;
      case soak_action::kBurst:
        burst_factor_ = kBurstFactor;
        After(event.span, [this] { burst_factor_ = 1.0; });
        break;
      default:
        ApplyFault(node, event);
        break;
    }
  }

  void ApplyFault(soak_node& node, const soak_event& event) {
    switch (event.action) {
      case soak_action::kDelay:
        InjectLinkFault(node, {.delay = milliseconds(60)}, event.span);
        break;
      case soak_action::kReset:
        RecordFault(node.number, {});
        node.link->ResetOpen();
        break;
      case soak_action::kSilence:
        RecordFault(node.number, {});
        node.link->SilenceOpen();
        break;
      case soak_action::kCutToNode:
        InjectLinkFault(node, {.cut_to_server = true}, event.span);
        break;
      case soak_action::kCutFromNode:
        InjectLinkFault(node, {.cut_to_client = true}, event.span);
        break;
      case soak_action::kCutOff:
        InjectLinkFault(node, {.cut_to_server = true, .cut_to_client = true}, event.span);
        InjectStoreLinkFault(node, {.cut_to_server = true, .cut_to_client = true}, event.span);
        break;
      case soak_action::kStoreCut:
        InjectStoreLinkFault(node, {.cut_to_server = true, .cut_to_client = true}, event.span);
        break;
      case soak_action::kStoreReset:
        InjectStoreLinkFault(node, {.resets_new = true}, event.span);
        node.store_link->ResetOpen();
        break;
      case soak_action::kStoreDown:
        store_.error_status = 503;
        InjectStoreFault(event.span, [this] { store_.error_status = 0; });
        break;
      case soak_action::kStoreSilent:
        store_.silent = true;
        InjectStoreFault(event.span, [this] { store_.silent = false; });
        break;
      case soak_action::kStoreForgets:
        store_.Compact();
        InjectStoreFault({}, [] {});
        break;
      case soak_action::kStoreReturns:
        RestoreStore(event.span);
        break;
      case soak_action::kTargetSlow:
        InjectTargetFault(node, {.work_factor = 10.0}, event.span);
        break;
      case soak_action::kTargetLoses:
        InjectTargetFault(node, {.lost_answers = 0.5}, event.span);
        break;
      case soak_action::kTargetDamages:
        InjectTargetFault(
            node, {.truncated_answers = 0.2, .invalid_answers = 0.2, .duplicate_answers = 0.3},
            event.span);
        break;
      default:
        InjectTargetFault(node, {.rejections = 0.5}, event.span);
        break;
    }
  }

  // Entries written after the backup was taken are lost with it and written again 80 ms later.
  void RestoreStore(duration age) {
    store_.TakeBackup();
    After(age, [this] {
      InjectStoreFault(kHeartbeat, [] {});
      store_.RestoreBackup();
      After(kSeriesInterval, [this] { Edit(); });
      After(kSeriesInterval, [this] { Heartbeat(); });
    });
  }

  void SendCrashing() {
    RecordFault(disturbance::kAllNodes, kCrashingInterval * kCrashingRequests + kCrashRestartDelay);
    for (int sent = 0; sent < kCrashingRequests; ++sent) {
      After(kCrashingInterval * sent, [this, sent] {
        soak_node& node = *nodes_[static_cast<std::size_t>(sent) % nodes_.size()];
        if (node.is_ready()) {
          Send(node, {.path = fmt::format("/{}/{}", kRows[0].name, soak_target::kCrashPathPart)},
               kRows[0], kRows[0].name, 0);
        }
      });
    }
  }

  void OnCrashingRequest(soak_node& node) {
    if (++crashes_ > kMaxCrashes) {
      ledger_.OnViolation(fmt::format("a request has crashed {} backend servers", crashes_));
    }
    Crash(node, kCrashRestartDelay);
  }

  disturbance& RecordFault(std::size_t node, duration span) {
    return ledger_.OnDisturbance({.type = disturbance::kind::kFault,
                                  .node = node,
                                  .begin = loop_.Now(),
                                  .end = loop_.Now() + span});
  }

  void ShedInRestarts(soak_node& node, duration span) {
    int restarts = 0;
    for (const auto& each : nodes_) {
      if (ServiceOf(each->number) == ServiceOf(node.number)) {
        soak_node& affected = *each;
        InjectTargetFault(affected, {.rejections = kShedInRestarts}, span);
        After(span / 3 + kRestartInterval * restarts++,
              [this, &affected] { Kill(affected, kSeriesInterval); });
      }
    }
  }

  // The recorded fault lasts until the restarted process is ready.
  void Kill(soak_node& node, duration span) {
    if (node.outage == nullptr) {
      node.outage = &RecordFault(node.number, seconds(600));
    }
    node.process.reset();
    node.start_at = loop_.Now() + span;
  }

  void Pause(soak_node& node, duration span) {
    if (!node.process || node.stopping) {
      return;
    }
    node.paused = true;
    node.process->Signal(SIGSTOP);
    RecordFault(node.number, span + kTickPeriod);
    After(span, [&node] {
      node.paused = false;
      if (node.process) {
        node.process->Signal(SIGCONT);
      }
    });
  }

  void InjectLinkFault(soak_node& node, const link_fault& fault, duration span) {
    node.link->SetFault(fault);
    RecordFault(node.number, span);
    After(span, [&node] { node.link->SetFault({}); });
  }

  void InjectStoreLinkFault(soak_node& node, const link_fault& fault, duration span) {
    node.store_link->SetFault(fault);
    ledger_.OnDisturbance({.type = disturbance::kind::kStore,
                           .node = node.number,
                           .begin = loop_.Now(),
                           .end = loop_.Now() + span});
    After(span, [&node] { node.store_link->SetFault({}); });
  }

  void InjectStoreFault(duration span, std::function<void()> restore) {
    ledger_.OnDisturbance(
        {.type = disturbance::kind::kStore, .begin = loop_.Now(), .end = loop_.Now() + span});
    After(span, std::move(restore));
  }

  void InjectTargetFault(soak_node& node, const target_fault& fault, duration span) {
    RecordFault(node.number, span);
    if (node.target) {
      node.target->SetFault(fault);
    }
    After(span, [&node] {
      if (node.target) {
        node.target->SetFault({});
      }
    });
  }

  void Crash(soak_node& node, duration span) {
    if (!node.target || node.draining) {
      return;
    }
    RecordFault(node.number, span);
    EndServing(node);
    // The entry expires.
    node.target.reset();
    After(span, [this, &node] { StartTarget(node); });
  }

  void DeclareRate(soak_node& node, duration span) {
    if (!node.target) {
      return;
    }
    node.target->DeclareRate(kDeclaredRate);
    ledger_.OnDeclared({.type = declared_period::kind::kRate,
                        .target = node.target_number,
                        .rate = kDeclaredRate,
                        .begin = loop_.Now(),
                        .end = loop_.Now() + span});
    After(span, [&node, target = node.target_number] {
      if (node.target && node.target_number == target) {
        node.target->DeclareRate(std::nullopt);
      }
    });
  }

  // The store goes on listing the backend server as ready until its entry expires.
  void DeclareLeaving(soak_node& node) {
    if (!node.target) {
      return;
    }
    node.target->DeclareLeaving();
    EndServing(node);
    ledger_.OnDeclared({.type = declared_period::kind::kLeaving,
                        .target = node.target_number,
                        .begin = loop_.Now()});
    After(kDrainTime, [this, &node, target = node.target_number] {
      if (node.target_number == target) {
        Crash(node, seconds(1));
      }
    });
  }

  void LoseStore(const soak_node& first, duration span) {
    for (std::size_t i = 0; i < soak_plan::StoreLostCount(nodes_.size()); ++i) {
      soak_node& node = *nodes_[(first.number + soak_plan::kServices * i) % nodes_.size()];
      InjectStoreLinkFault(node, {.cut_to_server = true, .cut_to_client = true}, span);
      node.store_lost = true;
      After(span, [&node] { node.store_lost = false; });
    }
  }

  // The entry is removed while its renewals are fresh, or expires where the store is lost.
  void LeaveUnlisted(soak_node& node) {
    if (!node.target || node.draining) {
      return;
    }
    node.draining = true;
    node.left_unlisted = true;
    EndServing(node);
    node.target->StartDraining();
    instant removed = loop_.Now();
    if (node.store_lost) {
      removed += 3 * kHeartbeat;
    } else {
      store_.Remove("servers/" + node.target_id);
    }
    ledger_.OnLeftUnlisted(node.target_number, node.number, removed, removed + kDrainBound);
    After(kUnlistedServingTime, [&node] { node.target.reset(); });
    After(kUnlistedServingTime + kAddressPause, [this, &node] { StartTarget(node); });
  }

  void Replace(soak_node& node) {
    if (!node.target || node.draining) {
      return;
    }
    if (node.store_lost) {
      LeaveUnlisted(node);
      return;
    }
    node.draining = true;
    EndServing(node);
    Publish(node);
    ledger_.OnDraining(node.target_number, loop_.Now());
    node.target->StartDraining();
    After(kDrainTime, [this, &node] {
      store_.Remove("servers/" + node.target_id);
      node.target.reset();
    });
    // The next backend server at this address starts 1 s after the previous one has ended.
    After(kDrainTime + seconds(1), [this, &node] { StartTarget(node); });
  }

  soak_options options_;
  soak_addresses addresses_;
  event_loop loop_;
  random_source random_;
  soak_ledger ledger_;
  store_stand_in store_;
  std::vector<std::unique_ptr<soak_node>> nodes_;
  loop_timer tick_;
  loop_timer heartbeat_;
  loop_timer edit_probe_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
  instant began_{};
  double burst_factor_ = 1.0;
  int edits_ = 0;
  int crashes_ = 0;
  std::size_t targets_started_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t requests_sent_ = 0;
};

soak_result RunSoak(const soak_options& options) { return soak_fleet(options).Run(); }

}  // namespace cuminferry::testing
