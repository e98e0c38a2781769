#include "fleet_bench/bench_node.h"

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <utility>

namespace cuminferry::fleet_bench {
namespace {

constexpr incarnation_id kAnyIncarnation = 1;

std::int64_t CpuMicros() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto micros = [](const timeval& time) {
    return std::int64_t{time.tv_sec} * 1'000'000 + time.tv_usec;
  };
  return micros(used.ru_utime) + micros(used.ru_stime);
}

// Sums the lines of the kernel's memory report whose names start with `line_name`, in kilobytes.
std::int64_t MemoryKilobytes(const std::string& line_name) {
  std::ifstream report("/proc/self/smaps_rollup");
  std::int64_t sum = 0;
  for (std::string line; std::getline(report, line);) {
    if (line.rfind(line_name, 0) == 0) {
      std::istringstream words(line.substr(line.find(':') + 1));
      std::int64_t kilobytes = 0;
      words >> kilobytes;
      sum += kilobytes;
    }
  }
  return sum;
}

}  // namespace

class bench_node::state {
 public:
  explicit state(bench_node_settings settings)
      : settings_(std::move(settings)),
        hub_({.on_open =
                  [this](connection_id connection, bool accepted) {
                    if (accepted) {
                      SendHello(connection);
                    }
                  },
              .on_message = [this](
                                connection_id from, message_type type,
                                std::span<const char> payload) { OnMessage(from, type, payload); },
              .on_closed = [this](connection_id connection,
                                  const absl::Status&) { OnClosed(connection); }},
             {}),
        fleet_(settings_.node, random_source::FromMachine().Next(), events_, Hooks()) {}

  absl::Status Run() {
    endpoint at = settings_.node.peer;
    absl::Status started = hub_.Listen(at);
    if (started.ok()) {
      started = fleet_.Start();
    }
    if (!started.ok()) {
      return started;
    }
    for (const std::string& service : settings_.followed_services) {
      fleet_.Follow(service);
    }
    for (std::string line; std::getline(std::cin, line);) {
      ReportUsage();
    }
    return absl::OkStatus();
  }

 private:
  fleet_runtime::hooks Hooks() {
    return {
        .on_shard = [](const table_shard& shard) { ReportShard(shard); },
        .on_targets = [](std::string_view, std::span<const target_info>) {},
        .send = [this](endpoint peer, std::string frame) { return Send(peer, std::move(frame)); },
        .on_self_draining = {},
        .on_pause = {}};
  }

  static void ReportShard(const table_shard& shard) {
    std::printf("shard %s %llu %lld\n", shard.service.name.c_str(),
                static_cast<unsigned long long>(shard.version),
                static_cast<long long>(ToMicros(boot_clock::Now())));
    std::fflush(stdout);
  }

  void ReportUsage() {
    const fleet_status status = fleet_.status();
    const unsigned long long bytes = fleet_.datagram_bytes() + tcp_bytes_;
    std::printf("use %lld %lld %lld %llu %llu %zu %zu\n", static_cast<long long>(CpuMicros()),
                static_cast<long long>(MemoryKilobytes("Rss")),
                static_cast<long long>(MemoryKilobytes("Private_")), bytes,
                static_cast<unsigned long long>(status.platform_reads), status.peers,
                status.directory_entries);
    std::fflush(stdout);
  }

  //============================================================================
  bool Send(endpoint peer, std::string frame) {
    tcp_bytes_ += frame.size();
    return hub_.Send(ConnectionTo(peer), std::move(frame));
  }

  connection_id ConnectionTo(endpoint peer) {
    ranked_lock lock(mutex_);
    const auto found = connection_of_.find(peer);
    if (found != connection_of_.end()) {
      return found->second;
    }
    const connection_id made = hub_.Connect(peer);
    connection_of_[peer] = made;
    peer_of_[made] = peer;
    // The hello must be the first message, because the peer learns from it which node to answer.
    SendHello(made);
    return made;
  }

  void SendHello(connection_id connection) {
    hello_message hello;
    hello.instance = settings_.node.instance;
    hello.service = settings_.node.service;
    hello.failure_domain = settings_.node.failure_domain;
    hello.region = settings_.node.region;
    hello.listen_address = settings_.node.peer;
    hello.incarnation = kAnyIncarnation;
    hub_.SendMessage(connection, hello);
  }

  void OnMessage(connection_id from, message_type type, std::span<const char> payload) {
    tcp_bytes_ += payload.size() + kFrameHeaderBytes;
    if (type == message_type::kHello) {
      hello_message hello;
      if (DecodeMessage(payload, hello).ok()) {
        ranked_lock lock(mutex_);
        peer_of_[from] = hello.listen_address;
        connection_of_.try_emplace(hello.listen_address, from);
      }
      return;
    }
    endpoint peer;
    {
      ranked_lock lock(mutex_);
      peer = peer_of_[from];
    }
    fleet_.OnPeerMessage(peer, type, payload);
  }

  void OnClosed(connection_id connection) {
    ranked_lock lock(mutex_);
    const auto found = peer_of_.find(connection);
    if (found == peer_of_.end()) {
      return;
    }
    const auto known = connection_of_.find(found->second);
    if (known != connection_of_.end() && known->second == connection) {
      connection_of_.erase(known);
    }
    peer_of_.erase(found);
  }

  const bench_node_settings settings_;
  event_log events_;
  std::atomic<std::uint64_t> tcp_bytes_ = 0;
  ranked_mutex mutex_{lock_rank::kNodePeers};
  std::map<endpoint, connection_id> connection_of_ ABSL_GUARDED_BY(mutex_);
  std::map<connection_id, endpoint> peer_of_ ABSL_GUARDED_BY(mutex_);
  tcp_hub hub_;
  fleet_runtime fleet_;
};

bench_node::bench_node(bench_node_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}

bench_node::~bench_node() = default;

absl::Status bench_node::Run() { return state_->Run(); }

}  // namespace cuminferry::fleet_bench
