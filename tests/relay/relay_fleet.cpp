#include "relay/relay_fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kOutboundPort = 18304;
constexpr std::uint16_t kReadyPort = 18302;
constexpr std::uint16_t kPeerPort = 17620;
constexpr std::uint16_t kSeedPort = 17622;
constexpr std::uint16_t kMetricsPort = 17621;
constexpr std::uint16_t kBackendPort = 18301;
constexpr std::uint16_t kNoPlatformPort = 1;
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr duration kPollPeriod = milliseconds(2);
// The interval at which the platform answers each watch, with or without changes.
constexpr duration kPlatformPeriod = milliseconds(100);
// Shorter than in production, so that tests do not have to wait for seconds.
constexpr duration kWithdrawalTime = milliseconds(1'000);

// Each fleet has its own loopback addresses, so that connections of an earlier test that linger in
// the kernel cannot interfere.
int NextAddressBlock() {
  static int last = 0;
  return ++last;
}

// Test programs that run concurrently use separate loopback networks.
#ifndef CUMINFERRY_TEST_NETWORK
#define CUMINFERRY_TEST_NETWORK 61
#endif
constexpr std::uint32_t kLoopback = 0x7F000000 + (CUMINFERRY_TEST_NETWORK << 16);

routed_service ServiceNamed(std::string name) {
  return {.name = std::move(name), .health_path = "/health", .connections = 0};
}

}  // namespace

//==============================================================================
struct scripted_target::session {
  std::unique_ptr<tcp_connection> connection;
  std::unique_ptr<message_reader> reader;
  http_head head;
  std::string body;
  bool running = false;
};

struct scripted_target::state {
  std::unique_ptr<tcp_listener> listener;
  std::vector<std::unique_ptr<session>> sessions;
};

scripted_target::scripted_target(event_loop& loop, const endpoint& at)
    : state_(std::make_unique<state>()) {
  auto listener = tcp_listener::Listen(
      loop, at, seconds(3), [this](std::unique_ptr<tcp_connection> connection) {
        auto new_session = std::make_unique<session>();
        session* const current_session = new_session.get();
        new_session->connection = std::move(connection);
        new_session->reader = std::make_unique<message_reader>(
            message_reader::kind::kRequests, kMaxHeadBytes,
            message_reader::hooks{
                .on_head =
                    [this, current_session](http_head head) {
                      current_session->head = std::move(head);
                      current_session->body.clear();
                      current_session->running = true;
                      const std::string* id = current_session->head.Find("Id");
                      request_ids.push_back(id == nullptr ? "" : *id);
                      request_heads.push_back(current_session->head);
                      if (on_head) {
                        scripted_request request_context{*current_session->connection,
                                                         current_session->head, "",
                                                         static_cast<int>(request_ids.size())};
                        on_head(request_context);
                      }
                    },
                .on_body =
                    [current_session](std::string_view bytes) { current_session->body += bytes; },
                .on_message_end =
                    [this, current_session] {
                      scripted_request request_context{*current_session->connection,
                                                       current_session->head, current_session->body,
                                                       static_cast<int>(request_ids.size())};
                      if (on_request) {
                        on_request(request_context);
                      } else {
                        current_session->connection->Write(Answer(current_session->head));
                        current_session->running = false;
                      }
                    }});
        current_session->connection->SetHooks({.on_data =
                                                   [current_session](std::string_view bytes) {
                                                     while (!bytes.empty()) {
                                                       const auto parsed =
                                                           current_session->reader->Read(bytes);
                                                       if (!parsed.ok()) {
                                                         return;
                                                       }
                                                       bytes.remove_prefix(*parsed);
                                                     }
                                                   },
                                               .on_end =
                                                   [this, current_session](close_reason) {
                                                     --open_connections;
                                                     closed_while_running +=
                                                         current_session->running ? 1 : 0;
                                                   },
                                               .on_writable = {},
                                               .on_connected = {}});
        ++open_connections;
        state_->sessions.push_back(std::move(new_session));
      });
  if (listener.ok()) {
    state_->listener = std::move(*listener);
  }
}

scripted_target::~scripted_target() = default;

std::string scripted_target::Answer(const http_head& request, std::string_view body) {
  http_head answer;
  answer.status = 200;
  answer.reason = "OK";
  answer.Set("Id", *request.Find("Id"));
  answer.Set("Signature", "signed");
  answer.framing = body_framing::kLength;
  answer.length = body.size();
  return answer.ToResponseText(false) + std::string(body);
}

//==============================================================================
int client_result::status() const {
  constexpr std::size_t kStatusOffset = 9;
  return bytes.size() < kStatusOffset + 3 ? 0 : std::stoi(bytes.substr(kStatusOffset, 3));
}

relay_fleet::relay_fleet(int nodes, int domains)
    : address_block_(NextAddressBlock()),
      domains_(domains == 0 ? nodes : domains),
      watches_platform_(static_cast<std::size_t>(nodes), false),
      platform_reachable_(static_cast<std::size_t>(nodes), true),
      platform_timer_(loop_) {
  platform_timer_.StartPeriodic(kPlatformPeriod, [this] { AnswerPlatformWatches(); });
  for (int node = 0; node < nodes; ++node) {
    targets_.push_back(std::make_unique<scripted_target>(loop_, AddressOf(node, kBackendPort)));
  }
  nodes_.resize(static_cast<std::size_t>(nodes));
  for (int node = 0; node < nodes; ++node) {
    StartNode(node);
  }
}

void relay_fleet::StartNode(int node) {
  auto started =
      relay_node::builder(loop_)
          .WithSettings(SettingsOf(node))
          .WithTableReader(
              "table",
              [this](
                  const item_replica& items) -> absl::StatusOr<std::shared_ptr<const route_table>> {
                ++table_reads_;
                const published_item* item = items.Find("table");
                if (item == nullptr) {
                  return std::shared_ptr<const route_table>();
                }
                std::shared_ptr<const customer_registry> customers;
                if (!customers_.empty()) {
                  customers = *customer_registry::Make(customers_);
                }
                return route_table::Make(
                    *ParseInteger<std::uint64_t>(item->value),
                    declared_service_ == kService ? Routes() : std::vector<http_route>(),
                    {ServiceNamed(declared_service_)}, {}, customers);
              })
          .WithInstanceReader([this](const published_item& item) {
            std::optional<service_instance> found;
            for (const service_instance& instance : Instances()) {
              if (item.key == "instance/" + instance.id) {
                found = instance;
              }
            }
            return found;
          })
          .WithWatchHook([this, node](bool watching) {
            watches_platform_[static_cast<std::size_t>(node)] = watching;
          })
          .Start();
  if (!started.ok()) {
    throw std::runtime_error(std::string(started.status().message()));
  }
  nodes_[static_cast<std::size_t>(node)] = std::move(*started);
}

relay_fleet::~relay_fleet() {
  clients_.clear();
  nodes_.clear();
  targets_.clear();
  // The close callbacks of handles run in the next iterations of the loop.
  RunFor(milliseconds(1));
}

endpoint relay_fleet::AddressOf(int node, std::uint16_t port) const {
  const auto block = static_cast<std::uint32_t>(address_block_);
  return {.address = kLoopback + (block << 8) + static_cast<std::uint32_t>(node) + 1, .port = port};
}

endpoint relay_fleet::OutboundAddress(int node) const { return AddressOf(node, kOutboundPort); }

endpoint relay_fleet::PeerAddress(int node) const { return AddressOf(node, kPeerPort); }

endpoint relay_fleet::SeedAddress(int node) const { return AddressOf(node, kSeedPort); }

std::string relay_fleet::DomainOf(int node) const {
  return "domain-" + std::to_string(node % domains_);
}

relay_settings relay_fleet::SettingsOf(int node) const {
  relay_settings settings;
  settings.instance = "node-" + std::to_string(node);
  settings.service = kService;
  settings.failure_domain = DomainOf(node);
  settings.outbound = AddressOf(node, kOutboundPort);
  settings.ready = AddressOf(node, kReadyPort);
  settings.ready_path = "/ready";
  settings.peer = AddressOf(node, kPeerPort);
  settings.seed = AddressOf(node, kSeedPort);
  settings.metrics = AddressOf(node, kMetricsPort);
  settings.metrics_path = "/metrics";
  settings.backend = AddressOf(node, kBackendPort);
  settings.platform = AddressOf(node, kNoPlatformPort);
  // Processes that have just started get their allowance little by little; the first test requests
  // are sent before that.
  settings.repeat_allowance = 1'000'000;
  settings.headers = {.request_id = "Id",
                      .deadline = "Deadline",
                      .expected_instance = "Instance",
                      .caller_service = "Caller",
                      .not_executed = "Not-Run",
                      .signature = "Signature",
                      .customer = "Customer",
                      .rate = "Rate",
                      .leaving = "Leaving"};
  settings.customers = {.withdrawal_strict = true, .withdrawal_time = kWithdrawalTime};
  return settings;
}

void relay_fleet::SetDraining(std::set<int> nodes) {
  for (int node = 0; node < static_cast<int>(targets_.size()); ++node) {
    revisions_[node] += nodes.contains(node) != draining_.contains(node) ? 1 : 0;
  }
  draining_ = std::move(nodes);
}

void relay_fleet::ReplaceInstance(int node) {
  ++replacements_[node];
  ++revisions_[node];
}

std::vector<service_instance> relay_fleet::Instances() const {
  std::vector<service_instance> all;
  for (std::size_t node = 0; node < targets_.size(); ++node) {
    const auto replaced = replacements_.find(static_cast<int>(node));
    const std::string suffix =
        replaced == replacements_.end() ? "" : "-" + std::to_string(replaced->second);
    all.push_back({.id = "i-" + std::to_string(node) + suffix,
                   .service = kService,
                   .backend = AddressOf(static_cast<int>(node), kBackendPort),
                   .failure_domain = DomainOf(static_cast<int>(node)),
                   .slots = 20,
                   .draining = draining_.contains(static_cast<int>(node))});
  }
  return all;
}

std::vector<http_route> relay_fleet::Routes() {
  const auto route = [](std::string name, repeat_rule repeat, duration timeout) {
    return http_route{.name = name,
                      .host = "h",
                      .prefix = "/" + name + "/",
                      .repeat = repeat,
                      .attempts = 2,
                      .timeout = timeout,
                      .objective = seconds(1),
                      .services = {{.service = kService, .weight = 1.0}}};
  };
  http_route open = route("open", repeat_rule::kIdempotent, seconds(5));
  open.accepts_requests_without_key = true;
  return {open, route("safe", repeat_rule::kIdempotent, seconds(5)),
          route("once", repeat_rule::kOnce, seconds(5)),
          route("short", repeat_rule::kOnce, milliseconds(200)),
          route("relay", repeat_rule::kOnce, seconds(5))};
}

void relay_fleet::PublishTo(int node, std::uint64_t version) {
  item_update update{.complete_to = version, .whole = true, .items = {}, .age_micros = 0};
  update.items.push_back({.key = "table", .value = std::to_string(version), .revision = version});
  const std::vector<service_instance> instances = Instances();
  for (std::size_t listed = 0; listed < instances.size(); ++listed) {
    if (!unlisted_.contains(static_cast<int>(listed))) {
      update.items.push_back({.key = "instance/" + instances[listed].id,
                              .value = "",
                              .revision = 1 + revisions_[static_cast<int>(listed)]});
    }
  }
  this->node(node).OnItemUpdate(update);
  this->node(node).SetPlatformReachable(true);
}

void relay_fleet::AnswerPlatformWatches() {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (nodes_[node] && watches_platform_[node] && platform_reachable_[node]) {
      nodes_[node]->SetPlatformReachable(true);
      nodes_[node]->OnItemUpdate({.complete_to = nodes_[node]->items_revision(), .age_micros = 0});
    }
  }
}

void relay_fleet::PublishToAll(std::uint64_t version) {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    PublishTo(static_cast<int>(node), version);
  }
}

std::unique_ptr<tcp_connection> relay_fleet::Connect(int node,
                                                     const std::shared_ptr<client_result>& result) {
  return ConnectTo(AddressOf(node, kOutboundPort), result);
}

std::unique_ptr<tcp_connection> relay_fleet::ConnectTo(
    const endpoint& at, const std::shared_ptr<client_result>& result) {
  return tcp_connection::Connect(
      loop_, at, seconds(1), seconds(3),
      {.on_data = [result](std::string_view bytes) { result->bytes += bytes; },
       .on_end =
           [result](close_reason end) {
             result->ended = true;
             result->reset = end != close_reason::kClosed;
           },
       .on_writable = {},
       .on_connected = {}});
}

std::shared_ptr<client_result> relay_fleet::Send(int node, std::string text) {
  return SendTo(AddressOf(node, kOutboundPort), text);
}

std::shared_ptr<client_result> relay_fleet::SendTo(const endpoint& at, std::string_view text) {
  auto result = std::make_shared<client_result>();
  clients_.push_back(ConnectTo(at, result));
  clients_.back()->Write(text);
  return result;
}

std::string relay_fleet::Get(std::string_view path, std::string_view id) {
  http_head head;
  head.method = "GET";
  head.target = path;
  head.Set("Host", "h");
  head.Set("Id", std::string(id));
  head.Set("Deadline", "4000");
  return head.ToRequestText();
}

std::string relay_fleet::Get(std::string_view path, std::string_view id, std::string_view fields) {
  std::string text = Get(path, id);
  // The fields are inserted before the empty line, which is CRLF.
  text.insert(text.size() - 2, fields);
  return text;
}

std::string relay_fleet::Post(std::string_view path, std::string_view id, std::string_view body) {
  http_head head;
  head.method = "POST";
  head.target = path;
  head.Set("Host", "h");
  head.Set("Id", std::string(id));
  head.Set("Deadline", "4000");
  head.framing = body_framing::kLength;
  head.length = body.size();
  return head.ToRequestText() + std::string(body);
}

bool relay_fleet::RunUntil(const std::function<bool()>& condition, duration limit) {
  const instant end = loop_.Now() + limit;
  bool condition_held = false;
  loop_timer poll(loop_);
  poll.StartPeriodic(kPollPeriod, [&] {
    condition_held = condition();
    if (condition_held || loop_.Now() >= end) {
      loop_.Stop();
    }
  });
  loop_.Run();
  return condition_held;
}

void relay_fleet::RunFor(duration span) {
  const instant end = loop_.Now() + span;
  RunUntil([&] { return loop_.Now() >= end; }, span + seconds(1));
}

void relay_fleet::StartTarget(int node) {
  targets_[static_cast<std::size_t>(node)] =
      std::make_unique<scripted_target>(loop_, AddressOf(node, kBackendPort));
}

std::uint64_t relay_fleet::TotalRequests() const {
  std::uint64_t total = 0;
  for (const auto& target : targets_) {
    total += target ? target->request_ids.size() : 0;
  }
  return total;
}

}  // namespace cuminferry::testing
