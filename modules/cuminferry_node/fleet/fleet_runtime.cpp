#include "cuminferry_node/fleet/fleet_runtime.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>
#include <vector>

#include "cuminferry_node/fleet/platform_client.h"

namespace cuminferry {
namespace {

constexpr std::size_t kReaderStack = 256 * 1024;
constexpr std::chrono::milliseconds kPollPeriod{500};
constexpr std::chrono::milliseconds kLongestRead{2000};

target_info TargetFrom(const published_instance& listed) {
  return {listed.peer, listed.instance, listed.failure_domain, listed.region, listed.leaving};
}

}  // namespace

// First form: polls the platform and knows nothing of peers.
class fleet_runtime::state {
 public:
  state(const node_settings& settings, event_log& events, hooks chosen)
      : settings_(settings),
        events_(events),
        hooks_(std::move(chosen)),
        platform_(settings.platform) {}

  ~state() {
    {
      ranked_lock lock(mutex_);
      stopping_ = true;
      changed_.SignalAll();
    }
    reader_.reset();
  }

  absl::Status Start() {
    Follow(settings_.service);
    reader_ = std::make_unique<joined_thread>("fleet", kReaderStack, [this] { Run(); });
    return absl::OkStatus();
  }

  void Follow(std::string_view service) {
    ranked_lock lock(mutex_);
    followed_.try_emplace(std::string(service));
    changed_.Signal();
  }

  std::uint64_t table_version() const { return table_version_; }

  std::string StatusJson() const {
    return "{\"table_version\":" + std::to_string(table_version_) + "}";
  }

 private:
  struct followed_service {
    std::uint64_t version = 0;
    std::uint64_t list_version = 0;
  };

  void Run() {
    while (!WaitForNextPoll()) {
      Poll();
    }
  }

  bool WaitForNextPoll() {
    ranked_lock lock(mutex_);
    if (!stopping_ && table_version_ > 0) {
      mutex_.WaitFor(changed_, absl::FromChrono(kPollPeriod));
    }
    return stopping_;
  }

  void Poll() {
    const absl::StatusOr<std::string> text = platform_.Read(kIndexKey, kLongestRead);
    const absl::StatusOr<published_index> index =
        text.ok() ? published_index::Parse(*text) : text.status();
    if (!index.ok()) {
      ranked_lock lock(mutex_);
      mutex_.WaitFor(changed_, absl::FromChrono(kPollPeriod));
      return;
    }
    for (const auto& [service, known] : Followed()) {
      ReadShard(service, known.version, *index);
      ReadInstances(service, known.list_version);
    }
    table_version_ = std::max(table_version_.load(), index->version);
  }

  std::map<std::string, followed_service> Followed() {
    ranked_lock lock(mutex_);
    return followed_;
  }

  void ReadShard(const std::string& service, std::uint64_t known, const published_index& index) {
    const auto line = std::find_if(index.shards.begin(), index.shards.end(),
                                   [&](const auto& shard) { return shard.service == service; });
    if (line == index.shards.end() || line->version <= known) {
      return;
    }
    const auto text = platform_.Read(kShardKeyPrefix + service, kLongestRead);
    const auto shard = text.ok() ? ParseShard(*text) : text.status();
    if (!shard.ok() || shard->version <= known) {
      return;
    }
    {
      ranked_lock lock(mutex_);
      followed_[service].version = shard->version;
    }
    events_.Add({.kind = event_kind::kTableInForce,
                 .subject = service,
                 .value = static_cast<std::int64_t>(shard->version)});
    hooks_.on_shard(*shard);
  }

  void ReadInstances(const std::string& service, std::uint64_t known) {
    const auto text = platform_.Read(kInstancesKeyPrefix + service, kLongestRead);
    const auto list = text.ok() ? published_instances::Parse(*text) : text.status();
    if (!list.ok() || list->version <= known) {
      return;
    }
    {
      ranked_lock lock(mutex_);
      followed_[service].list_version = list->version;
    }
    std::vector<target_info> targets;
    std::transform(list->instances.begin(), list->instances.end(), std::back_inserter(targets),
                   TargetFrom);
    hooks_.on_targets(service, targets);
  }

  const node_settings settings_;
  event_log& events_;
  const hooks hooks_;
  platform_client platform_;
  std::atomic<std::uint64_t> table_version_ = 0;
  ranked_mutex mutex_{lock_rank::kTable};
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<std::string, followed_service> followed_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<joined_thread> reader_;
};

fleet_runtime::fleet_runtime(const node_settings& settings, incarnation_id /*incarnation*/,
                             event_log& events, hooks chosen)
    : state_(std::make_unique<state>(settings, events, std::move(chosen))) {}

fleet_runtime::~fleet_runtime() = default;

absl::Status fleet_runtime::Start() { return state_->Start(); }

void fleet_runtime::Follow(std::string_view service) { state_->Follow(service); }

void fleet_runtime::OnPeerMessage(endpoint /*from*/, message_type /*type*/,
                                  std::span<const char> /*payload*/) {}

void fleet_runtime::OnHello(const hello_message& /*hello*/) {}

void fleet_runtime::OnPeerLeaving(endpoint /*peer*/) {}

std::uint64_t fleet_runtime::table_version() const { return state_->table_version(); }

std::string fleet_runtime::StatusJson() const { return state_->StatusJson(); }

}  // namespace cuminferry
