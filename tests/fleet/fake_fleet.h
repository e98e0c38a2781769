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

/** Mistakes that a node of the fake fleet can be made to commit, to show that the
    properties find them. */
enum class mistake : std::uint8_t {
  kNone,
  kTakesWhatComes,  ///< puts each table in force that it is given
  kNeverRepairs,    ///< ignores answers of peers and reads the platform once
};

/** Many fleet_agents in one thread and in virtual time, between them a network and
    a platform that fail as the test says. Nodes are numbered from 0; node n is in
    domain n % domains and of service (n / domains) % services. Each service calls
    the next one. */
class fake_fleet {
 public:
  struct shape {
    std::size_t nodes = 8;
    std::size_t domains = 2;
    std::size_t regions = 1;
    std::size_t services = 2;
    std::uint64_t seed = 1;
    mistake made = mistake::kNone;
  };

  struct faults {
    double loss = 0.0;
    double duplication = 0.0;
    duration longest_delay = std::chrono::milliseconds(5);
    /** How often the platform gives an older value. */
    double old_answers = 0.0;
    bool platform_down = false;
    double platform_reads_per_second = 2000.0;
  };

  explicit fake_fleet(shape chosen);
  ~fake_fleet();

  //============================================================================
  /** Raises the version of a service's shard and of the table. */
  void Edit(std::size_t service);
  /** Publishes a shard's next version with a text that breaks the rules. */
  void EditInvalid(std::size_t service);
  /** Publishes a shard as it is and another content under its version. */
  void EditTwice(std::size_t service);
  void PublishInstances(std::size_t service, const std::vector<std::size_t>& leaving);

  /** Puts a domain into a group; only nodes of one group reach each other. */
  void MoveDomain(std::size_t domain, int group);
  void CutFromPlatform(std::size_t domain, bool cut);
  void Pause(std::size_t node, duration for_so_long);
  void Restart(std::size_t node);

  void Run(duration for_so_long);
  /** Runs until it holds, at most so long; how long it took, or nothing. */
  std::optional<duration> RunUntil(const std::function<bool()>& holds, duration longest);

  //============================================================================
  fleet_agent& agent(std::size_t node) { return *nodes_[node].agent; }
  endpoint At(std::size_t node) const;
  std::string Service(std::size_t service) const { return "service-" + std::to_string(service); }
  std::size_t ServiceOfNode(std::size_t node) const;
  /** Whether every node has the newest published shards of what it follows in force. */
  bool Converged() const;
  /** Nodes that put an older table in force than they had before, while they ran. */
  std::size_t reverts() const { return reverts_; }
  std::uint64_t platform_reads() const { return platform_reads_; }
  std::uint64_t platform_refused() const { return platform_refused_; }
  /** Most reads in any one second. */
  std::uint64_t platform_peak() const { return platform_peak_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t peer_bytes() const { return peer_bytes_; }
  std::uint64_t published(std::size_t service) const { return shards_[service].version; }
  instant now() const { return now_; }
  const std::vector<timeline_event>& events(std::size_t node) const { return nodes_[node].events; }
  /** Versions of its own service's shard that came into force, in order. */
  const std::vector<std::uint64_t>& history(std::size_t node) const { return nodes_[node].history; }

  faults now_failing;

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

  /** A watch that waits at the platform. */
  struct waiting_watch {
    std::size_t node = 0;
    std::string name;
  };

  void Start(std::size_t node);
  void At(instant when, std::size_t node, std::function<void(fleet_agent&)> run);
  void Step();
  void Perform(std::size_t node);
  void PutInForce(std::size_t node, const std::string& service, std::uint64_t version);
  void CommitMistake(std::size_t node, const std::string& text);
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
  bool Reach(std::size_t one, std::size_t other) const;
  duration Delay();

  const shape shape_;
  random_source random_;
  instant now_;
  std::uint64_t next_number_ = 0;
  std::vector<fake_node> nodes_;
  std::vector<int> group_;
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
