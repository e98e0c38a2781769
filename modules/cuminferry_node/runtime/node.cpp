#include "cuminferry_node/runtime/node.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminferry_node/backend/backend_client.h"
#include "cuminferry_node/fleet/fleet_runtime.h"
#include "cuminferry_node/http/connection_watch.h"
#include "cuminferry_node/http/http_server.h"
#include "cuminferry_node/peers/peer_links.h"
#include "cuminferry_node/runtime/egress_side.h"
#include "cuminferry_node/runtime/front_side.h"
#include "cuminferry_node/runtime/node_metrics.h"
#include "cuminferry_node/runtime/peer_side.h"
#include "cuminferry_node/runtime/serving_side.h"
#include "cuminferry_node/runtime/table_store.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds kTickPeriod{5};
/** At most one line in this time says what came in the place of answers; the counter has them all.
 */
constexpr std::chrono::seconds kInvalidAnswerLinePeriod{1};
/** If more time than this passes between two ticks, the process was paused meanwhile. */
constexpr std::chrono::milliseconds kMaxTickGap{500};
constexpr std::chrono::milliseconds kSharesPeriod{50};
constexpr std::chrono::milliseconds kHealthPeriod{500};
constexpr std::chrono::milliseconds kHealthTimeout{200};
constexpr std::chrono::milliseconds kDrainPollPeriod{20};
constexpr std::size_t kThreadStackBytes = 256 * 1024;
constexpr std::size_t kAdminThreads = 4;
constexpr std::size_t kSpareThreads = 64;

incarnation_id NewIncarnation() {
  // Never zero, because zero marks the absence of a ticket.
  return random_source::FromMachine().Next() | 1;
}

}  // namespace

class node::state {
 public:
  explicit state(node_settings settings)
      : settings_(std::move(settings)),
        incarnation_(NewIncarnation()),
        backend_({.backend = settings_.backend,
                  .on_invalid_answer =
                      [this](std::string_view problem) { OnInvalidAnswer("backend", problem); }}),
        shares_(
            settings_, incarnation_,
            [this](endpoint peer, std::string frame) { links_.SendTo(peer, std::move(frame)); }),
        serving_({.settings = settings_, .incarnation = incarnation_}, backend_, shares_, records_,
                 metrics_, events_),
        peers_(serving_),
        links_(LinkHooks(), events_),
        egress_(settings_, EgressDependencies()),
        fleet_(settings_, incarnation_, events_, FleetHooks()) {
    peers_.SetLinks(links_);
  }

  ~state() {
    stopping_ = true;
    ticker_.reset();
    health_.reset();
    // The links stop first: their hooks use all other members, and the HTTP servers wait
    // for calls that finish only when their connections are closed.
    links_.Stop();
    front_server_.reset();
    egress_server_.reset();
    admin_server_.reset();
  }

  absl::Status Start() {
    addresses_ = {settings_.front, settings_.egress, settings_.peer, settings_.admin};
    absl::Status status = links_.Listen(addresses_.peer);
    if (!status.ok()) {
      return status;
    }
    settings_.peer = addresses_.peer;
    front_ = std::make_unique<front_side>(settings_, addresses_.peer, incarnation_, serving_,
                                          egress_, tables_, watch_);
    status = StartServers();
    if (!status.ok()) {
      return status;
    }
    status = fleet_.Start();
    if (!status.ok()) {
      return status;
    }
    ticker_ = std::make_unique<joined_thread>("tick", kThreadStackBytes, [this] { TickLoop(); });
    health_ =
        std::make_unique<joined_thread>("health", kThreadStackBytes, [this] { HealthLoop(); });
    events_.Add({.kind = event_kind::kStarted, .subject = settings_.instance});
    return absl::OkStatus();
  }

  void Drain() {
    events_.Add({.kind = event_kind::kDraining, .subject = settings_.instance});
    serving_.Drain();
    links_.AnnounceDraining({settings_.instance, incarnation_});
    instant report_at = boot_clock::Now() + settings_.drain_report;
    while (front_->requests_in_progress() > 0 || serving_.running() > 0 || serving_.queued() > 0 ||
           links_.attempts_outstanding() > 0) {
      absl::SleepFor(absl::FromChrono(kDrainPollPeriod));
      if (boot_clock::Now() >= report_at) {
        report_at += settings_.drain_report;
        spdlog::warn("{} is still draining: {} requests of callers, {} running, {} queued",
                     settings_.instance, front_->requests_in_progress(), serving_.running(),
                     serving_.queued());
      }
    }
    // Answers written just now may not have been sent yet. Stopping a server closes each
    // connection only after its response was sent.
    front_server_->Stop();
    egress_server_->Stop();
    events_.Add({.kind = event_kind::kStopped, .subject = settings_.instance});
  }

  bool is_drain_requested() const { return is_drain_requested_; }
  const addresses& listen_addresses() const { return addresses_; }

 private:
  absl::Status StartServers() {
    front_server_ = std::make_unique<http_server>(
        http_server::options{.name = "front",
                             .threads = settings_.backend_connections + kSpareThreads},
        [this](const http_request& request, http_response& response) {
          front_->Serve(request, response);
        });
    egress_server_ = std::make_unique<http_server>(
        http_server::options{.name = "egress",
                             .threads = settings_.backend_connections + kSpareThreads},
        [this](const http_request& request, http_response& response) {
          egress_.Serve(request, response);
        });
    admin_server_ = std::make_unique<http_server>(
        http_server::options{.name = "admin", .threads = kAdminThreads},
        [this](const http_request& request, http_response& response) {
          ServeAdmin(request, response);
        });
    absl::Status status = front_server_->Start(addresses_.front);
    if (status.ok()) {
      status = egress_server_->Start(addresses_.egress);
    }
    if (status.ok()) {
      status = admin_server_->Start(addresses_.admin);
    }
    return status;
  }

  peer_links::hooks LinkHooks() {
    return {
        .on_call = [this](connection_id connection,
                          call_message call) { peers_.OnCall(connection, std::move(call)); },
        .on_cancel = [this](connection_id connection,
                            attempt_id attempt) { peers_.OnCancel(connection, attempt); },
        .on_chunk = [this](
                        connection_id connection,
                        body_chunk_message chunk) { peers_.OnChunk(connection, std::move(chunk)); },
        .on_query = [this](const query_message& query) { return serving_.Query(query); },
        .on_connection_lost = [this](connection_id connection) { peers_.OnLost(connection); },
        .on_hello =
            [this](const hello_message& hello) {
              egress_.OnHello(hello);
              fleet_.OnHello(hello);
            },
        .on_draining =
            [this](endpoint peer, incarnation_id incarnation) {
              egress_.MarkDraining(peer, incarnation);
              fleet_.OnPeerDraining(peer, incarnation);
            },
        .on_unreachable = [this](endpoint peer) { fleet_.OnPeerLost(peer); },
        .on_fleet_message =
            [this](endpoint from, message_type type, std::span<const char> payload) {
              OnFleetMessage(from, type, payload);
            },
        .own_hello = [this] { return Hello(); },
        .own_load = [this] { return serving_.Load(); },
    };
  }

  egress_side::dependencies EgressDependencies() {
    return {.links = links_,
            .serving = serving_,
            .records = records_,
            .tables = tables_,
            .watch = watch_,
            .metrics = metrics_,
            .events = events_,
            .incarnation = incarnation_,
            .follow = [this](std::string_view service) { fleet_.Follow(service); }};
  }

  fleet_runtime::hooks FleetHooks() {
    return {
        .on_shard = [this](const table_shard& shard) { UseShard(shard); },
        .on_targets =
            [this](std::string_view service, std::span<const target_info> targets) {
              egress_.UseTargets(service, targets);
              UseSharePeers(service, targets);
              if (!targets.empty()) {
                tables_.MarkTargetsKnown(service);
              }
            },
        .send = [this](endpoint peer,
                       std::string frame) { return links_.SendTo(peer, std::move(frame)); },
        .on_self_draining = [this] { is_drain_requested_ = true; },
        .on_pause = {},
        .on_invalid_answer =
            [this](std::string_view problem) { OnInvalidAnswer("platform", problem); },
    };
  }

  // Called on any thread.
  void OnInvalidAnswer(std::string_view from, std::string_view problem) {
    metrics_.CountInvalidAnswer(from, problem);
    const instant now = boot_clock::Now();
    instant due = next_invalid_answer_line_;
    if (now >= due &&
        next_invalid_answer_line_.compare_exchange_strong(due, now + kInvalidAnswerLinePeriod)) {
      spdlog::warn("no answer of the {}: {}", from, problem);
    }
  }

  void OnFleetMessage(endpoint from, message_type type, std::span<const char> payload) {
    const bool of_shares = type == message_type::kShareRequest ||
                           type == message_type::kShareGrant || type == message_type::kShareReturn;
    if (!of_shares) {
      fleet_.OnPeerMessage(from, type, payload);
    } else if (shares_.OnMessage(from, type, payload)) {
      serving_.ApplyShares();
    }
  }

  // Shares are lent only among this service's instances in this node's failure domain,
  // because these remain connected when failure domains are separated from each other.
  void UseSharePeers(std::string_view service, std::span<const target_info> targets) {
    if (service != settings_.service) {
      return;
    }
    std::vector<endpoint> peers;
    for (const target_info& one : targets) {
      if (one.failure_domain == settings_.failure_domain && one.address != addresses_.peer &&
          !one.draining) {
        peers.push_back(one.address);
      }
    }
    shares_.UsePeers(peers);
  }

  void UseShard(const table_shard& shard) {
    if (shard.service.name == settings_.service) {
      shares_.UseTable(shard);
      serving_.UseTable(shard);
    }
    tables_.Put(shard);
  }

  hello_message Hello() {
    return {.instance = settings_.instance,
            .service = settings_.service,
            .failure_domain = settings_.failure_domain,
            .region = settings_.region,
            .listen_address = settings_.peer,
            .incarnation = incarnation_,
            .load = serving_.Load(),
            .sent = events_.Now()};
  }

  void TickLoop() {
    instant last = boot_clock::Now();
    instant last_shares = last;
    while (!stopping_) {
      absl::SleepFor(absl::FromChrono(kTickPeriod));
      const instant now = boot_clock::Now();
      const bool paused = now - last > kMaxTickGap;
      if (paused) {
        egress_.NoteProcessPause();
      }
      last = now;
      serving_.Tick(now);
      links_.Tick(now, paused);
      if (now - last_shares >= kSharesPeriod) {
        last_shares = now;
        shares_.Tick(now);
        serving_.ApplyShares();
      }
    }
  }

  void HealthLoop() {
    while (!stopping_) {
      const backend_health health = backend_.QueryHealth(kHealthTimeout);
      serving_.ReportHealth(health);
      if (health.draining && !serving_.draining()) {
        is_drain_requested_ = true;
      }
      absl::SleepFor(absl::FromChrono(kHealthPeriod));
    }
  }

  void ServeAdmin(const http_request& request, http_response& response) {
    const std::string_view target = request.target;
    if (target == "/status") {
      response.content_type = "application/json";
      response.body = StatusJson();
    } else if (target == "/metrics") {
      response.body = MetricsText();
    } else if (target == "/timeline") {
      response.content_type = "application/json";
      response.body = TimelineJson();
    } else if (target == "/drain" && request.method == "POST") {
      is_drain_requested_ = true;
      response.body = "draining\n";
    } else {
      response.status = 404;
      response.body = "GET /status, GET /metrics, GET /timeline, POST /drain\n";
    }
  }

  std::string StatusJson() {
    json status = json::parse(fleet_.StatusJson(), nullptr, false);
    if (!status.is_object()) {
      status = json::object();
    }
    status["instance"] = settings_.instance;
    status["service"] = settings_.service;
    status["failure_domain"] = settings_.failure_domain;
    status["region"] = settings_.region;
    status["incarnation"] = incarnation_;
    status["control"] = settings_.control;
    status["draining"] = serving_.draining();
    status["running"] = serving_.running();
    status["queued"] = serving_.queued();
    status["limit"] = serving_.limit();
    status["thresholds"] = json::array();
    for (const serving_side::row_threshold& one : serving_.Thresholds()) {
      status["thresholds"].push_back(
          {{"row", one.row}, {"weight", one.threshold.weight()}, {"rank", one.threshold.packed()}});
    }
    status["connections"] = links_.connections();
    status["front"] = addresses_.front.ToString();
    status["peer"] = addresses_.peer.ToString();
    return status.dump(2) + "\n";
  }

  std::string MetricsText() {
    metrics_.SetGauge("cuminferry_running", serving_.running());
    metrics_.SetGauge("cuminferry_queued", serving_.queued());
    metrics_.SetGauge("cuminferry_limit", serving_.limit());
    metrics_.SetGauge("cuminferry_peer_connections", static_cast<double>(links_.connections()));
    return metrics_.ToText();
  }

  std::string TimelineJson() {
    json list = json::array();
    for (const timeline_event& event : events_.Snapshot()) {
      list.push_back({{"wall_micros", event.when.wall_micros},
                      {"counter", event.when.counter},
                      {"kind", NameOf(event.kind)},
                      {"code", static_cast<int>(event.code)},
                      {"request", ToString(event.request)},
                      {"subject", event.subject},
                      {"value", event.value},
                      {"instance", settings_.instance}});
    }
    return list.dump() + "\n";
  }

  node_settings settings_;
  const incarnation_id incarnation_;
  addresses addresses_;
  std::atomic<bool> stopping_ = false;
  std::atomic<instant> next_invalid_answer_line_{};
  std::atomic<bool> is_drain_requested_ = false;
  event_log events_;
  node_metrics metrics_;
  table_store tables_;
  running_request_registry records_;
  connection_watch watch_;
  backend_client backend_;
  share_side shares_;
  serving_side serving_;
  peer_side peers_;
  peer_links links_;
  egress_side egress_;
  fleet_runtime fleet_;
  std::unique_ptr<front_side> front_;
  std::unique_ptr<http_server> front_server_;
  std::unique_ptr<http_server> egress_server_;
  std::unique_ptr<http_server> admin_server_;
  std::unique_ptr<joined_thread> ticker_;
  std::unique_ptr<joined_thread> health_;
};

node::builder& node::builder::WithSettings(node_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

absl::StatusOr<std::unique_ptr<node>> node::builder::Start() {
  auto made = std::make_unique<state>(std::move(settings_));
  absl::Status started = made->Start();
  if (!started.ok()) {
    return started;
  }
  return std::unique_ptr<node>(new node(std::move(made)));
}

node::node(std::unique_ptr<state> made) : state_(std::move(made)) {}
node::~node() = default;

void node::Drain() { state_->Drain(); }
bool node::is_drain_requested() const { return state_->is_drain_requested(); }
const node::addresses& node::listen_addresses() const { return state_->listen_addresses(); }

}  // namespace cuminferry
