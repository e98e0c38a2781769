#include "cuminferry_node/fleet/fleet_runtime.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "cuminferry_node/fleet/gossip_codec.h"
#include "cuminferry_node/fleet/platform_client.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

constexpr std::size_t kThreadStackBytes = 256 * 1024;
constexpr std::chrono::milliseconds kReadTimeout{4000};
constexpr std::chrono::seconds kWatchTimeout{10};
constexpr std::chrono::milliseconds kInterruptInterval{20};
// Minimum wait of the worker, so that datagrams received in this time are handled together.
constexpr std::chrono::milliseconds kMinWait{1};

target_info TargetFrom(const member& one) {
  return {.address = one.info.peer,
          .instance = one.info.instance,
          .failure_domain = one.info.failure_domain,
          .region = one.info.region,
          .draining = one.draining};
}

fleet_agent::options AgentOptions(const node_settings& settings, incarnation_id incarnation) {
  return {.instance = settings.instance,
          .service = settings.service,
          .failure_domain = settings.failure_domain,
          .region = settings.region,
          .self = settings.peer,
          .incarnation = incarnation,
          .seeds = settings.seeds,
          .reads = {}};
}

member_hello HelloFrom(const hello_message& hello) {
  return {.info = {.instance = hello.instance,
                   .failure_domain = hello.failure_domain,
                   .region = hello.region,
                   .peer = hello.listen_address,
                   .target_slot = 0,
                   .draining = hello.load.draining != 0},
          .incarnation = hello.incarnation};
}

read_outcome OutcomeOf(const absl::Status& status) {
  if (status.ok()) {
    return read_outcome::kValue;
  }
  switch (CodeOf(status)) {
    case result_code::kPlatformBadValue:
      return read_outcome::kNoSuchKey;
    case result_code::kReadBudgetSpent:
      return read_outcome::kRefused;
    default:
      return read_outcome::kUnreachable;
  }
}

json TablesJson(const fleet_status& status) {
  json tables = json::array();
  for (const value_version& one : status.in_force) {
    if (KindOf(one.name) == value_kind::kShard) {
      tables.push_back({{"service", one.name}, {"version", one.version}, {"digest", one.digest}});
    }
  }
  return tables;
}

}  // namespace

// One thread reads datagrams, one or two wait for the platform, and a worker thread performs what
// the agent decides. Only the worker calls hooks: if several threads called them, an older table
// could reach the node after a newer one.
class fleet_runtime::state {
 public:
  state(const node_settings& settings, incarnation_id incarnation, event_log& events,
        hooks node_hooks)
      : settings_(settings),
        events_(events),
        hooks_(std::move(node_hooks)),
        platform_(settings.platform, hooks_.on_invalid_answer),
        watch_platform_(settings.platform, hooks_.on_invalid_answer),
        agent_(AgentOptions(settings, incarnation), boot_clock::Now(),
               random_source::FromMachine()),
        udp_([this](endpoint, message_type type, std::span<const char> payload) {
          OnDatagram(type, payload);
        }) {}

  ~state() {
    StopReaders();
    reader_.reset();
    worker_.reset();
    watcher_.reset();
  }

  absl::Status Start() {
    endpoint at = settings_.peer;
    const absl::Status open_status = udp_.Open(at);
    if (!open_status.ok()) {
      return open_status;
    }
    worker_ = std::make_unique<joined_thread>("fleet", kThreadStackBytes, [this] { RunWorker(); });
    AddRunningReaders(1);
    reader_ =
        std::make_unique<joined_thread>("platform", kThreadStackBytes, [this] { ReadPlatform(); });
    return absl::OkStatus();
  }

  // Passes an event to the agent and wakes the worker, which performs the resulting actions.
  template <typename Event>
  void Handle(Event&& event) {
    ranked_lock lock(mutex_);
    std::forward<Event>(event)(agent_, boot_clock::Now());
    has_new_work_ = true;
    changed_.SignalAll();
  }

  // Called for each outgoing call, so the worker is woken only if the service is new.
  void Follow(std::string_view service) {
    ranked_lock lock(mutex_);
    if (agent_.Follow(service, boot_clock::Now())) {
      has_new_work_ = true;
      changed_.SignalAll();
    }
  }

  void OnPeerMessage(endpoint from, message_type type, std::span<const char> payload) {
    if (type == message_type::kShardRequest) {
      OnShardRequest(from, payload);
    } else if (type == message_type::kShardReply) {
      OnShardReply(from, payload);
    }
  }

  fleet_status status() const {
    ranked_lock lock(mutex_);
    return agent_.status(boot_clock::Now());
  }

  std::uint64_t table_version() const {
    ranked_lock lock(mutex_);
    return agent_.table_version();
  }

  std::string StatusJson() const {
    const fleet_status current = status();
    const json gossip = {{"sent", current.digests_sent},
                         {"received", current.digests_received},
                         {"bytes", datagram_bytes_.load()}};
    const json platform = {{"reachable", current.platform_reachable},
                           {"reads", current.platform_reads},
                           {"failed_reads", current.platform_failed_reads},
                           {"stale", current.platform_stale}};
    return json{{"table_version", current.table_version},
                {"tables", TablesJson(current)},
                {"tables_rejected", current.rejected},
                {"table_conflicts", current.conflicts},
                {"contents_wanted", current.wanted_contents},
                {"fleet_size", current.fleet_size},
                {"peers", current.peers},
                {"catching_up", current.catching_up},
                {"platform", platform},
                {"gossip", gossip}}
        .dump();
  }

  std::uint64_t datagram_bytes() const { return datagram_bytes_; }

 private:
  void OnDatagram(message_type type, std::span<const char> payload) {
    datagram_bytes_ += payload.size() + kFrameHeaderBytes;
    gossip_message message;
    if (type != message_type::kGossip || !DecodeMessage(payload, message).ok()) {
      return;
    }
    events_.Observe(message.sent);
    const gossip_digest digest = FromMessage(std::move(message));
    Handle([&](fleet_agent& agent, instant now) { agent.OnDigest(digest, now); });
  }

  void OnShardRequest(endpoint from, std::span<const char> payload) {
    shard_request_message message;
    if (DecodeMessage(payload, message).ok()) {
      const content_request request{from, message.service, message.newer_than};
      Handle([&](fleet_agent& agent, instant now) { agent.OnContentRequest(request, from, now); });
    }
  }

  void OnShardReply(endpoint from, std::span<const char> payload) {
    shard_reply_message message;
    if (DecodeMessage(payload, message).ok()) {
      const content_reply reply{from, message.service, message.version, std::move(message.json)};
      Handle([&](fleet_agent& agent, instant now) { agent.OnContentReply(reply, from, now); });
    }
  }

  // A read of the platform can block for seconds, so it is interrupted. The interruption is
  // repeated, as a read that is just starting may miss the first one.
  void StopReaders() {
    ranked_lock lock(mutex_);
    stopping_ = true;
    changed_.SignalAll();
    while (readers_running_ > 0) {
      platform_.Interrupt();
      watch_platform_.Interrupt();
      mutex_.WaitFor(changed_, absl::FromChrono(kInterruptInterval));
    }
  }

  void AddRunningReaders(int delta) {
    ranked_lock lock(mutex_);
    readers_running_ += delta;
    changed_.SignalAll();
  }

  //============================================================================
  void RunWorker() {
    while (WaitForWork()) {
      PerformActions(NextActions());
    }
  }

  bool WaitForWork() {
    ranked_lock lock(mutex_);
    while (!stopping_ && !has_new_work_) {
      const instant now = boot_clock::Now();
      const duration remaining = agent_.next_due(now) - now;
      if (remaining <= duration::zero()) {
        break;
      }
      mutex_.WaitFor(changed_, absl::FromChrono(std::max<duration>(remaining, kMinWait)));
    }
    has_new_work_ = false;
    return !stopping_;
  }

  fleet_actions NextActions() {
    ranked_lock lock(mutex_);
    agent_.OnTick(boot_clock::Now());
    fleet_actions actions = agent_.TakeActions();
    if (actions.platform_read.has_value()) {
      next_read_ = std::move(actions.platform_read);
      changed_.SignalAll();
    }
    if (actions.platform_watch.has_value()) {
      next_watch_ = actions.platform_watch;
      changed_.SignalAll();
    }
    return actions;
  }

  // Runs without the lock: the hooks acquire locks of the node that precede it in lock order.
  void PerformActions(const fleet_actions& actions) {
    for (const timeline_event& event : actions.events) {
      events_.Add(event);
    }
    for (const table_shard& shard : actions.in_force) {
      hooks_.on_shard(shard);
    }
    for (const std::string& service : actions.changed_services) {
      ReportTargets(service);
    }
    CallNodeHooks(actions);
    if (actions.platform_watch.has_value() && watcher_ == nullptr) {
      // Only few nodes watch the platform, so the thread is started when it is first needed.
      AddRunningReaders(1);
      watcher_ =
          std::make_unique<joined_thread>("watch", kThreadStackBytes, [this] { WatchPlatform(); });
    }
    for (const outgoing_digest& one : actions.digests) {
      const std::string frame = FrameOf(ToMessage(one.digest, events_.Now()));
      datagram_bytes_ += frame.size();
      udp_.Send(one.to, frame);
    }
    for (const content_request& one : actions.requests) {
      SendToPeer(one.to, FrameOf(shard_request_message{one.name, one.newer_than}));
    }
    for (const content_reply& one : actions.replies) {
      SendToPeer(one.to, FrameOf(shard_reply_message{one.name, one.version, one.text}));
    }
  }

  void CallNodeHooks(const fleet_actions& actions) {
    if (actions.self_draining && hooks_.on_self_draining) {
      hooks_.on_self_draining();
    }
    if (actions.pause.has_value() && hooks_.on_pause) {
      hooks_.on_pause(*actions.pause);
    }
  }

  void ReportTargets(const std::string& service) {
    std::vector<target_info> targets;
    {
      ranked_lock lock(mutex_);
      const std::vector<member> members = agent_.members(service);
      std::transform(members.begin(), members.end(), std::back_inserter(targets), TargetFrom);
    }
    hooks_.on_targets(service, targets);
  }

  void SendToPeer(endpoint to, std::string frame) {
    if (!hooks_.send(to, std::move(frame))) {
      Handle([to](fleet_agent& agent, instant now) { agent.OnUnreachable(to, now); });
    }
  }

  //============================================================================
  void ReadPlatform() {
    while (const std::optional<std::string> name = NextRead()) {
      const auto value = platform_.Read(PlatformKeyOf(*name), kReadTimeout);
      const std::string_view text = value.ok() ? std::string_view(*value) : std::string_view();
      Handle([&](fleet_agent& agent, instant now) {
        agent.OnPlatformRead(*name, OutcomeOf(value.status()), text, now);
      });
    }
    AddRunningReaders(-1);
  }

  void WatchPlatform() {
    while (const std::optional<std::string> name = NextWatch()) {
      const auto value = watch_platform_.Watch(PlatformKeyOf(*name), kWatchTimeout);
      const std::string_view text = value.ok() ? std::string_view(*value) : std::string_view();
      Handle([&](fleet_agent& agent, instant now) {
        agent.OnPlatformWatched(*name, OutcomeOf(value.status()), text, now);
      });
    }
    AddRunningReaders(-1);
  }

  std::optional<std::string> NextRead() {
    ranked_lock lock(mutex_);
    return AwaitName(next_read_);
  }

  std::optional<std::string> NextWatch() {
    ranked_lock lock(mutex_);
    return AwaitName(next_watch_);
  }

  // Waits for a name to read or watch. Returns nullopt when the runtime stops.
  std::optional<std::string> AwaitName(std::optional<std::string>& name)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    while (!stopping_ && !name.has_value()) {
      mutex_.Wait(changed_);
    }
    return stopping_ ? std::nullopt : std::exchange(name, std::nullopt);
  }

  const node_settings settings_;
  event_log& events_;
  const hooks hooks_;
  platform_client platform_;
  platform_client watch_platform_;
  std::atomic<std::uint64_t> datagram_bytes_ = 0;
  mutable ranked_mutex mutex_{lock_rank::kTable};
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool has_new_work_ ABSL_GUARDED_BY(mutex_) = false;
  int readers_running_ ABSL_GUARDED_BY(mutex_) = 0;
  std::optional<std::string> next_read_ ABSL_GUARDED_BY(mutex_);
  std::optional<std::string> next_watch_ ABSL_GUARDED_BY(mutex_);
  fleet_agent agent_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<joined_thread> worker_;
  std::unique_ptr<joined_thread> reader_;
  // Created by the worker, and destroyed by the owner after the worker has finished.
  std::unique_ptr<joined_thread> watcher_;
  udp_socket udp_;
};

fleet_runtime::fleet_runtime(const node_settings& settings, incarnation_id incarnation,
                             event_log& events, hooks node_hooks)
    : state_(std::make_unique<state>(settings, incarnation, events, std::move(node_hooks))) {}

fleet_runtime::~fleet_runtime() = default;

absl::Status fleet_runtime::Start() { return state_->Start(); }

void fleet_runtime::Follow(std::string_view service) { state_->Follow(service); }

void fleet_runtime::OnPeerMessage(endpoint from, message_type type, std::span<const char> payload) {
  state_->OnPeerMessage(from, type, payload);
}

void fleet_runtime::OnHello(const hello_message& hello) {
  const member_hello sender = HelloFrom(hello);
  state_->Handle(
      [&](fleet_agent& agent, instant now) { agent.OnHello(hello.service, sender, now); });
}

void fleet_runtime::OnPeerDraining(endpoint peer, incarnation_id incarnation) {
  state_->Handle(
      [&](fleet_agent& agent, instant now) { agent.OnPeerDraining(peer, incarnation, now); });
}

void fleet_runtime::OnPeerLost(endpoint peer) {
  state_->Handle([&](fleet_agent& agent, instant now) { agent.OnPeerLost(peer, now); });
}

std::uint64_t fleet_runtime::table_version() const { return state_->table_version(); }

std::string fleet_runtime::StatusJson() const { return state_->StatusJson(); }

fleet_status fleet_runtime::status() const { return state_->status(); }

bool fleet_runtime::catching_up() const { return state_->status().catching_up; }

std::uint64_t fleet_runtime::datagram_bytes() const { return state_->datagram_bytes(); }

}  // namespace cuminferry
