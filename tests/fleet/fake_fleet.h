#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::testing {

/** Defects that can be injected into the nodes of the fake fleet, to show that the
    properties detect them. */
enum class node_defect : std::uint8_t {
  kNone,
  kAcceptsAnyVersion,  ///< puts every received table in force
  kIgnoresPeers,       ///< ignores digests of peers and platform results after eight reads
};

/** Simulation of many fleet_agents in one thread and in virtual time, with a network and a
    platform whose faults the test sets. Nodes are numbered from 0; node n is in domain
    n % domains and belongs to service (n / domains) % services. Each service calls the next
    one. */
class fake_fleet {
 public:
  struct shape {
    std::size_t nodes = 8;
    std::size_t domains = 2;
    std::size_t regions = 1;
    std::size_t services = 2;
    std::uint64_t seed = 1;
    node_defect defect = node_defect::kNone;
  };

  struct faults {
    double loss = 0.0;
    double duplication = 0.0;
    duration longest_delay = std::chrono::milliseconds(5);
    /** Fraction of platform reads that return an older value. */
    double stale_read_share = 0.0;
    bool platform_down = false;
    double platform_reads_per_second = 2000.0;
  };

  explicit fake_fleet(shape chosen);
  ~fake_fleet();

  //============================================================================
  /** Raises the version of a service's shard and of the table. */
  void Edit(std::size_t service);
  /** Publishes a shard's next version with an invalid table. */
  void EditInvalid(std::size_t service);
  /** Publishes another content under the present version of a shard. */
  void EditWithConflict(std::size_t service);
  void PublishInstances(std::size_t service, const std::vector<std::size_t>& draining);

  /** Puts a domain into a network partition; only nodes of one partition reach each other. */
  void MoveDomain(std::size_t domain, int partition);
  void CutFromPlatform(std::size_t domain, bool cut);
  void Pause(std::size_t node, duration length);
  void Restart(std::size_t node);

  void Run(duration length);
  /** Runs until a condition holds. Returns the time that this took; std::nullopt where the
      maximum passes first. */
  std::optional<duration> RunUntil(const std::function<bool()>& condition, duration longest);

  //============================================================================
  fleet_agent& agent(std::size_t node) { return *nodes_[node].agent; }
  endpoint AddressOf(std::size_t node) const;
  std::string Service(std::size_t service) const { return "service-" + std::to_string(service); }
  std::size_t ServiceOfNode(std::size_t node) const;
  /** Whether every node has the newest shards of its own and the called service in force. */
  bool Converged() const;
  /** Number of times that a running node replaced a table by an older one. */
  std::size_t reverts() const { return reverts_; }
  std::uint64_t platform_reads() const { return platform_reads_; }
  std::uint64_t platform_refused() const { return platform_refused_; }
  /** Maximum number of platform reads in one second. */
  std::uint64_t platform_peak() const { return platform_peak_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t peer_bytes() const { return peer_bytes_; }
  std::uint64_t published(std::size_t service) const { return shards_[service].version; }
  instant now() const { return now_; }
  const std::vector<timeline_event>& events(std::size_t node) const { return nodes_[node].events; }
  /** Versions of the shard of a node's own service, in the order in which they came into
      force. */
  const std::vector<std::uint64_t>& history(std::size_t node) const { return nodes_[node].history; }

  faults active_faults;

 private:
  struct fake_node {
    std::unique_ptr<fleet_agent> agent;
    incarnation_id incarnation = 0;
    instant paused_until;
    instant next_tick;
    std::uint64_t reads = 0;
    std::map<std::string, std::uint64_t> in_force;
    std::vector<std::uint64_t> history;
    std::vector<timeline_event> events;
  };

  struct event {
    instant at;
    std::uint64_t number = 0;
    std::size_t node = 0;
    incarnation_id incarnation = 0;
    std::function<void(fleet_agent&)> run;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  /** A watch in progress at the platform. */
  struct waiting_watch {
    std::size_t node = 0;
    std::string name;
  };

  void Start(std::size_t node);
  void Schedule(instant when, std::size_t node, std::function<void(fleet_agent&)> run);
  void Step();
  void Perform(std::size_t node);
  void PutInForce(std::size_t node, const std::string& service, std::uint64_t version);
  void ApplyDefect(std::size_t node, const std::string& text);
  void SendDigest(std::size_t from, const outgoing_digest& digest);
  void SendContent(std::size_t from, endpoint to, std::size_t bytes,
                   std::function<void(fleet_agent&)> run);
  void ReadPlatform(std::size_t node, const std::string& name);
  void WatchPlatform(std::size_t node, const std::string& name);
  void EndWatch(std::uint64_t number);
  bool CountRead();
  std::string ValueOf(const std::string& name);
  void Publish(const std::string& name, std::string text);
  void PublishIndex();
  bool CanReach(std::size_t one, std::size_t other) const;
  duration Delay();

  const shape shape_;
  random_source random_;
  instant now_;
  std::uint64_t next_number_ = 0;
  std::vector<fake_node> nodes_;
  std::vector<int> partitions_;
  std::vector<bool> cut_from_platform_;
  std::priority_queue<event> events_;
  std::vector<table_shard> shards_;
  std::vector<std::uint64_t> list_versions_;
  std::uint64_t table_version_ = 0;
  std::map<std::string, std::vector<std::string>> published_;
  std::map<std::string, std::uint64_t> digests_;
  std::map<std::uint64_t, waiting_watch> watches_;
  std::uint64_t next_watch_ = 0;
  std::size_t reverts_ = 0;
  std::uint64_t platform_reads_ = 0;
  std::uint64_t platform_refused_ = 0;
  std::uint64_t platform_peak_ = 0;
  std::int64_t this_second_ = 0;
  std::uint64_t reads_this_second_ = 0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t peer_bytes_ = 0;
};

}  // namespace cuminferry::testing
