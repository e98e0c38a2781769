#include "fleet_bench/bench_fleet.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/tcp/socket_address.h"
#include "fleet_bench/node_process.h"
#include "stand_ins/platform/platform_stand_in.h"

namespace cuminferry::fleet_bench {
namespace {

using stand_ins::platform_stand_in;
using std::chrono::milliseconds;

constexpr std::uint32_t kLoopback = 0x7F000001;

// Finds free ports. Each socket stays open until all ports are found, so that the ports differ.
// Another process may take a port after the sockets are closed.
std::vector<endpoint> FindFreePorts(std::size_t count) {
  std::vector<endpoint> ports;
  std::vector<int> sockets;
  while (ports.size() < count) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any = ToSocketAddress({kLoopback, 0});
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0) {
      ports.push_back(LocalEndpoint(descriptor));
    }
    sockets.push_back(descriptor);
  }
  for (const int descriptor : sockets) {
    ::close(descriptor);
  }
  return ports;
}

table_shard MakeShard(const std::string& service, const fleet_shape& shape) {
  table_shard shard;
  shard.service.name = service;
  shard.service.slots = 16;
  shard.service.connections = 100;
  for (std::size_t domain = 0; domain < shape.domains; ++domain) {
    shard.service.domains.push_back({"domain-" + std::to_string(domain), 1});
  }
  for (std::size_t number = 0; number < shape.rows; ++number) {
    request_row row;
    row.name = service + "-row-" + std::to_string(number);
    row.service = service;
    row.method = "GET";
    row.path_pattern = "/" + service + "/kind-" + std::to_string(number);
    row.weight = 10;
    shard.rows.push_back(std::move(row));
  }
  return shard;
}

struct reported_usage {
  std::int64_t cpu_micros = 0;
  std::int64_t resident = 0;
  std::int64_t private_memory = 0;
  std::uint64_t bytes = 0;
  std::uint64_t reads = 0;
  std::size_t peers = 0;
};

struct bench_process {
  std::unique_ptr<node_process> process;
  std::map<std::string, std::uint64_t> in_force;
  reported_usage usage;
  bool usage_is_new = false;
};

}  // namespace

class bench_fleet::state {
 public:
  explicit state(fleet_shape shape)
      : shape_(shape), platform_({.listen = {kLoopback, 0}}), ports_(FindFreePorts(shape.nodes)) {
    for (std::size_t service = 0; service < shape_.services; ++service) {
      shards_.push_back(MakeShard(ServiceName(service), shape_));
      PublishInstances(service);
    }
  }

  bool Start(std::chrono::seconds timeout) {
    if (!platform_.Start().ok()) {
      return false;
    }
    Edit(std::nullopt);
    for (std::size_t node = 0; node < shape_.nodes; ++node) {
      nodes_.emplace_back();
      nodes_.back().process = std::make_unique<node_process>(Arguments(node));
    }
    return AwaitInForce(timeout).has_value();
  }

  std::uint64_t Edit(std::optional<std::size_t> service) {
    ++version_;
    for (std::size_t one = 0; one < shape_.services; ++one) {
      if (service.value_or(one) == one) {
        shards_[one].version = version_;
        shards_[one].rows.front().weight = static_cast<std::uint16_t>(version_ % 10'000);
        platform_.Publish(kShardKeyPrefix + ServiceName(one), ShardToJson(shards_[one]));
      }
    }
    PublishIndex();
    published_at_ = boot_clock::Now();
    return version_;
  }

  std::optional<duration> AwaitInForce(std::chrono::seconds timeout) {
    const instant until = boot_clock::Now() + timeout;
    while (!AllInForce()) {
      if (boot_clock::Now() > until) {
        return std::nullopt;
      }
      ReadOutputs();
    }
    return last_in_force_ - published_at_;
  }

  node_usage MeasureUsage() {
    for (bench_process& node : nodes_) {
      node.usage_is_new = false;
    }
    std::vector<reported_usage> before;
    for (bench_process& node : nodes_) {
      before.push_back(node.usage);
      node.process->RequestUsage();
    }
    while (std::any_of(nodes_.begin(), nodes_.end(),
                       [](const bench_process& node) { return !node.usage_is_new; })) {
      ReadOutputs();
    }
    const instant now = boot_clock::Now();
    const double seconds = ToSeconds(now - usage_read_at_);
    usage_read_at_ = now;
    return AverageUsage(before, seconds);
  }

  const std::vector<duration>& propagation_times() const { return propagation_times_; }

 private:
  std::string ServiceName(std::size_t service) const {
    return "service-" + std::to_string(service);
  }
  std::size_t ServiceIndexOf(std::size_t node) const {
    return (node / shape_.domains) % shape_.services;
  }
  std::string DomainOf(std::size_t node) const {
    return "domain-" + std::to_string(node % shape_.domains);
  }
  std::string RegionOf(std::size_t node) const {
    return "region-" + std::to_string(node % shape_.domains % shape_.regions);
  }
  std::vector<std::size_t> FollowedBy(std::size_t node) const {
    std::vector<std::size_t> followed;
    for (std::size_t step = 0; step <= std::min(shape_.called_services, shape_.services - 1);
         ++step) {
      followed.push_back((ServiceIndexOf(node) + step) % shape_.services);
    }
    return followed;
  }

  std::vector<std::string> Arguments(std::size_t node) const {
    std::string followed_services;
    for (const std::size_t service : FollowedBy(node)) {
      followed_services += (followed_services.empty() ? "" : ",") + ServiceName(service);
    }
    const std::size_t seed = (node + shape_.domains) % shape_.nodes;
    return {"cuminferry-fleet-bench",
            "--node",
            "--instance=instance-" + std::to_string(node),
            "--service=" + ServiceName(ServiceIndexOf(node)),
            "--domain=" + DomainOf(node),
            "--region=" + RegionOf(node),
            "--peer=" + ports_[node].ToString(),
            "--platform=" + platform_.address().ToString(),
            "--seed=" + ports_[seed].ToString(),
            "--follow=" + followed_services};
  }

  void PublishInstances(std::size_t service) {
    published_instances list;
    list.service = ServiceName(service);
    list.version = 1;
    for (std::size_t node = 0; node < shape_.nodes; ++node) {
      if (ServiceIndexOf(node) == service) {
        list.instances.push_back({.instance = "instance-" + std::to_string(node),
                                  .failure_domain = DomainOf(node),
                                  .region = RegionOf(node),
                                  .peer = ports_[node],
                                  .target_slot = 0,
                                  .draining = false});
      }
    }
    platform_.Publish(kInstancesKeyPrefix + list.service, list.ToJson());
  }

  void PublishIndex() {
    published_index index;
    index.version = version_;
    index.fleet_size = static_cast<std::uint32_t>(shape_.nodes);
    for (const table_shard& shard : shards_) {
      index.shards.push_back({shard.service.name, shard.version, ShardDigest(shard)});
    }
    for (std::size_t other = 0; other < shape_.index_only; ++other) {
      index.shards.push_back({"unfollowed-service-" + std::to_string(other), 1, other});
    }
    platform_.Publish(kIndexKey, index.ToJson());
  }

  //============================================================================
  bool AllInForce() {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      for (const std::size_t service : FollowedBy(node)) {
        if (nodes_[node].in_force[ServiceName(service)] < shards_[service].version) {
          return false;
        }
      }
    }
    return true;
  }

  void ReadOutputs() {
    std::vector<pollfd> waiting;
    for (const bench_process& node : nodes_) {
      waiting.push_back({node.process->output(), POLLIN, 0});
    }
    constexpr int kPollTimeoutMillis = 100;
    ::poll(waiting.data(), waiting.size(), kPollTimeoutMillis);
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (waiting[node].revents != 0) {
        nodes_[node].process->ReadLines(
            [&](std::string_view line) { HandleLine(nodes_[node], std::string(line)); });
      }
    }
  }

  void HandleLine(bench_process& node, const std::string& line) {
    std::istringstream words(line);
    std::string kind;
    words >> kind;
    if (kind == "shard") {
      std::string service;
      std::uint64_t version = 0;
      std::int64_t at = 0;
      words >> service >> version >> at;
      node.in_force[service] = version;
      last_in_force_ = std::max(last_in_force_, FromMicros(at));
      propagation_times_.push_back(FromMicros(at) - published_at_);
    } else if (kind == "use") {
      reported_usage& usage = node.usage;
      words >> usage.cpu_micros >> usage.resident >> usage.private_memory >> usage.bytes >>
          usage.reads >> usage.peers;
      node.usage_is_new = true;
    }
  }

  node_usage AverageUsage(const std::vector<reported_usage>& before, double seconds) const {
    node_usage sum;
    const double count = static_cast<double>(nodes_.size());
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const reported_usage& now = nodes_[node].usage;
      const double cpu =
          static_cast<double>(now.cpu_micros - before[node].cpu_micros) / seconds / 1e4;
      const double memory = static_cast<double>(now.private_memory);
      sum.cpu_percent += cpu / count;
      sum.largest_cpu_percent = std::max(sum.largest_cpu_percent, cpu);
      sum.bytes_per_second += static_cast<double>(now.bytes - before[node].bytes) / seconds / count;
      sum.fleet_platform_reads_per_second +=
          static_cast<double>(now.reads - before[node].reads) / seconds;
      sum.resident_kilobytes += static_cast<double>(now.resident) / count;
      sum.private_kilobytes += memory / count;
      sum.largest_private_kilobytes = std::max(sum.largest_private_kilobytes, memory);
      sum.peers += static_cast<double>(now.peers) / count;
    }
    return sum;
  }

  const fleet_shape shape_;
  platform_stand_in platform_;
  const std::vector<endpoint> ports_;
  std::vector<table_shard> shards_;
  std::uint64_t version_ = 0;
  instant published_at_;
  instant last_in_force_;
  instant usage_read_at_;
  std::vector<bench_process> nodes_;
  std::vector<duration> propagation_times_;
};

bench_fleet::bench_fleet(fleet_shape shape) : state_(std::make_unique<state>(shape)) {}

bench_fleet::~bench_fleet() = default;

bool bench_fleet::Start(std::chrono::seconds timeout) { return state_->Start(timeout); }

std::uint64_t bench_fleet::Edit(std::optional<std::size_t> service) {
  return state_->Edit(service);
}

std::optional<duration> bench_fleet::AwaitInForce(std::chrono::seconds timeout) {
  return state_->AwaitInForce(timeout);
}

node_usage bench_fleet::MeasureUsage() { return state_->MeasureUsage(); }

const std::vector<duration>& bench_fleet::propagation_times() const {
  return state_->propagation_times();
}

}  // namespace cuminferry::fleet_bench
