#include "stand_ins/platform/platform_stand_in.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_table/cuminferry_table.h"
#include "stand_ins/http/http_host.h"

namespace cuminferry::stand_ins {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kReadPath[] = "/v1/kv/";
constexpr char kInstancesPath[] = "/stand-in/instances/";
constexpr char kIndexHeader[] = "X-Consul-Index";
constexpr char kJsonType[] = "application/json";
constexpr milliseconds kMaxWatchWait{10'000};
constexpr milliseconds kWatchCheckPeriod{250};
constexpr duration kSlowModeDelay = std::chrono::seconds(2);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;

struct published_value {
  std::string text;
  std::uint64_t index = 0;
};

using value_map = std::map<std::string, published_value, std::less<>>;

bool StartsWith(std::string_view text, std::string_view start) {
  return text.substr(0, start.size()) == start;
}

// Parses a duration such as "10s" or "500ms"; the result is limited to kMaxWatchWait.
milliseconds ParseWait(const std::string& text) {
  const long number = std::strtol(text.c_str(), nullptr, 10);
  const bool in_millis = text.find("ms") != std::string::npos;
  const milliseconds wait(in_millis ? number : number * 1000);
  return std::min(std::max(wait, milliseconds(0)), kMaxWatchWait);
}

std::optional<platform_stand_in::mode> ParseMode(std::string_view name) {
  using mode = platform_stand_in::mode;
  constexpr std::pair<std::string_view, mode> kModes[] = {
      {"up", mode::kUp}, {"down", mode::kDown}, {"slow", mode::kSlow}, {"stale", mode::kStale}};
  for (const auto& [known, value] : kModes) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

class platform_stand_in::state {
 public:
  explicit state(options chosen)
      : options_(chosen),
        host_({.name = "platform",
               .max_connections = chosen.max_connections,
               .stack_bytes = 128 * 1024}) {
    host_.SetHandler([this](const incoming_request& request, httplib::Response& response) {
      Handle(request, response);
    });
  }

  absl::Status Start() { return host_.Start(options_.listen); }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    host_.Stop();
  }

  void Publish(std::string_view key, std::string value) {
    {
      const std::lock_guard lock(mutex_);
      values_[std::string(key)] = {std::move(value), ++last_index_};
    }
    changed_.notify_all();
  }

  absl::Status PublishTable(std::string_view text, std::vector<table_problem>& problems) {
    absl::StatusOr<policy_table> table = policy_table::Parse(text, problems);
    if (!table.ok()) {
      return table.status();
    }
    const std::lock_guard lock(publishing_);
    if (table_.has_value() && table->version() > table_->version()) {
      table->RetainVersionsOf(*table_);
    }
    table_ = *table;
    published_index index;
    index.version = table->version();
    for (const table_shard& shard : table->shards()) {
      PublishShard(shard);
      index.shards.push_back({shard.service.name, shard.version, ShardDigest(shard)});
    }
    index_ = std::move(index);
    PublishIndex();
    return absl::OkStatus();
  }

  void PublishInstances(const published_instances& list) {
    Publish(kInstancesKeyPrefix + list.service, list.ToJson());
    const std::lock_guard lock(publishing_);
    instances_[list.service] = list.instances.size();
    PublishIndex();
  }

  void SetMode(mode chosen) {
    {
      const std::lock_guard lock(mutex_);
      mode_ = chosen;
      if (chosen == mode::kStale) {
        stale_values_ = values_;
      }
    }
    changed_.notify_all();
  }

  endpoint address() const { return host_.address(); }

  counters counts() const {
    const std::lock_guard lock(mutex_);
    return counters_;
  }

 private:
  void PublishIndex() {
    index_.fleet_size = 0;
    for (const auto& [service, count] : instances_) {
      index_.fleet_size += static_cast<std::uint32_t>(count);
    }
    Publish(kIndexKey, index_.ToJson());
  }

  void PublishShard(const table_shard& shard) {
    Publish(kShardKeyPrefix + shard.service.name, ShardToJson(shard));
  }

  //============================================================================
  void Handle(const incoming_request& request, httplib::Response& response) {
    if (StartsWith(request.head.path, kReadPath)) {
      if (request.head.method == "GET") {
        Read(request.head, response);
      } else {
        // The platform is read-only for nodes.
        response.status = 405;
      }
      return;
    }
    Control(request, response);
  }

  void Read(const httplib::Request& request, httplib::Response& response) {
    if (!CountRead()) {
      response.status = kTooManyRequests;
      return;
    }
    const mode now = current_mode();
    if (now == mode::kDown) {
      CloseWithoutAnswer(response);
      return;
    }
    if (now == mode::kSlow) {
      http_host::WaitForClose(kSlowModeDelay);
    }
    const std::string key = request.path.substr(sizeof(kReadPath) - 1);
    const std::uint64_t newer_than =
        std::strtoull(request.get_param_value("index").c_str(), nullptr, 10);
    const milliseconds wait =
        request.has_param("index")
            ? ParseWait(request.has_param("wait") ? request.get_param_value("wait")
                                                  : std::string("10s"))
            : milliseconds(0);
    const std::optional<published_value> value = AwaitNewer(key, newer_than, wait);
    if (current_mode() == mode::kDown) {
      CloseWithoutAnswer(response);
      return;
    }
    Answer(value, response);
  }

  // Closes the connection without a complete answer.
  static void CloseWithoutAnswer(httplib::Response& response) {
    response.set_content_provider(
        1, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
  }

  static void Answer(const std::optional<published_value>& value, httplib::Response& response) {
    if (!value) {
      response.status = kNotFound;
      return;
    }
    response.status = kOk;
    response.set_header(kIndexHeader, std::to_string(value->index));
    response.set_content(value->text, kJsonType);
  }

  std::optional<published_value> AwaitNewer(const std::string& key, std::uint64_t newer_than,
                                            milliseconds wait) {
    const auto end = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock(mutex_);
    ++counters_.watches_waiting;
    while (!stopping_ && mode_ != mode::kDown && !IsNewer(key, newer_than) &&
           std::chrono::steady_clock::now() < end) {
      changed_.wait_until(lock,
                          std::min(end, std::chrono::steady_clock::now() + kWatchCheckPeriod));
    }
    --counters_.watches_waiting;
    const value_map& values = mode_ == mode::kStale ? stale_values_ : values_;
    const auto found = values.find(key);
    return found == values.end() ? std::nullopt : std::optional(found->second);
  }

  bool IsNewer(const std::string& key, std::uint64_t index) const {
    const value_map& values = mode_ == mode::kStale ? stale_values_ : values_;
    const auto found = values.find(key);
    return found != values.end() && found->second.index > index;
  }

  // Counts one read; false if the limit of this second is exceeded.
  bool CountRead() {
    const auto second = std::chrono::time_point_cast<std::chrono::seconds>(boot_clock::Now());
    const std::lock_guard lock(mutex_);
    if (second != counted_second_) {
      counted_second_ = second;
      reads_this_second_ = 0;
    }
    if (++reads_this_second_ > options_.max_reads_per_second) {
      ++counters_.refused;
      return false;
    }
    ++counters_.reads;
    return true;
  }

  mode current_mode() const {
    const std::lock_guard lock(mutex_);
    return mode_;
  }

  //============================================================================
  void Control(const incoming_request& request, httplib::Response& response) {
    const httplib::Request& head = request.head;
    response.status = kOk;
    if (head.path == "/stand-in/table" && head.method == "PUT") {
      PutTable(request.body, response);
    } else if (StartsWith(head.path, kInstancesPath) && head.method == "PUT") {
      PutInstances(request.body, response);
    } else if (head.path == "/stand-in/value" && head.method == "PUT") {
      Publish(head.get_param_value("key"), request.body);
    } else if (head.path == "/stand-in/mode" && head.method == "POST") {
      PostMode(head.get_param_value("mode"), response);
    } else if (head.path == "/stand-in/counters") {
      response.set_content(CountersJson(), kJsonType);
    } else {
      response.status = kNotFound;
    }
  }

  void PutTable(const std::string& text, httplib::Response& response) {
    std::vector<table_problem> problems;
    const absl::Status status = PublishTable(text, problems);
    if (status.ok()) {
      return;
    }
    json found = json::array();
    for (const table_problem& problem : problems) {
      found.push_back({{"code", static_cast<int>(problem.code)},
                       {"place", problem.location},
                       {"detail", problem.detail}});
    }
    response.status = kBadRequest;
    response.set_content(json{{"error", std::string(status.message())}, {"problems", found}}.dump(),
                         kJsonType);
  }

  void PutInstances(const std::string& text, httplib::Response& response) {
    const absl::StatusOr<published_instances> list = published_instances::Parse(text);
    if (!list.ok()) {
      response.status = kBadRequest;
      response.set_content(std::string(list.status().message()), "text/plain");
      return;
    }
    PublishInstances(*list);
  }

  void PostMode(const std::string& name, httplib::Response& response) {
    const std::optional<mode> chosen = ParseMode(name);
    if (!chosen) {
      response.status = kBadRequest;
      response.set_content("mode is up, down, slow or stale", "text/plain");
      return;
    }
    SetMode(*chosen);
  }

  std::string CountersJson() const {
    const counters now = counts();
    return json{
        {"reads", now.reads}, {"refused", now.refused}, {"watches_waiting", now.watches_waiting}}
        .dump();
  }

  const options options_;
  http_host host_;

  std::mutex publishing_;
  std::optional<policy_table> table_;
  published_index index_;
  std::map<std::string, std::size_t> instances_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  value_map values_;
  value_map stale_values_;
  std::uint64_t last_index_ = 0;
  mode mode_ = mode::kUp;
  bool stopping_ = false;
  counters counters_;
  std::chrono::time_point<boot_clock, std::chrono::seconds> counted_second_{};
  std::uint32_t reads_this_second_ = 0;
};

platform_stand_in::platform_stand_in(options chosen) : state_(std::make_unique<state>(chosen)) {}

platform_stand_in::~platform_stand_in() { Stop(); }

absl::Status platform_stand_in::Start() { return state_->Start(); }

void platform_stand_in::Stop() { state_->Stop(); }

void platform_stand_in::Publish(std::string_view key, std::string value) {
  state_->Publish(key, std::move(value));
}

absl::Status platform_stand_in::PublishTable(std::string_view json) {
  std::vector<table_problem> problems;
  return state_->PublishTable(json, problems);
}

void platform_stand_in::SetMode(mode chosen) { state_->SetMode(chosen); }

endpoint platform_stand_in::address() const { return state_->address(); }

platform_stand_in::counters platform_stand_in::counts() const { return state_->counts(); }

}  // namespace cuminferry::stand_ins
