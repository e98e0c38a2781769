#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** Simulates, in virtual time, a fleet of nodes whose customers share an insufficient capacity.
    Messages between nodes are delayed, and are lost between nodes that are cut off from each other
    or when a node restarts. */
class share_fleet {
 public:
  /** How nodes divide what they admit among customers. */
  enum class division : std::uint8_t {
    /** Not at all: each request is admitted with the same probability, as without the setting. */
    kNone,
    /** By the level of the nodes' coordinators. */
    kFleetLevel,
    /** By a level of each node's own requests and the customers' rates over all nodes. */
    kOwnLevel,
  };
  struct options {
    std::size_t nodes = 64;
    std::size_t domains = 4;
    std::uint64_t seed = 1;
    division divides = division::kFleetLevel;
    /** Requests per second that the limiting service can serve. */
    double capacity = 1'000.0;
    /** Maximum relative deviation of a node's admitted share, drawn anew ten times a second. */
    double noise = 0.05;
    duration max_network_delay = std::chrono::milliseconds(5);
    limit_bounds bounds{.window = std::chrono::seconds(5), .excess = 0.25, .allowance = 20.0};
  };
  /** Present load of one customer. */
  struct load {
    customer who;
    /** Requests a second. */
    double requested = 0.0;
    /** The nodes that the customer's clients use; 0 nodes means all. */
    std::size_t first_node = 0;
    std::size_t nodes = 0;
  };
  /** A customer's requests in a span of time, where 1 is the share of all that is admitted. */
  struct result {
    std::string name;
    double requested = 0.0;
    double admitted = 0.0;
    /** The max-min fair share of what was admitted of all customers. */
    double fair = 0.0;
    double weight = 0.0;
    /** Requests that its present load comes to on average. */
    double expected = 0.0;
    /** Requests for each unit of the weight up to which a customer gets all that it requests. */
    double level = 0.0;
  };

  explicit share_fleet(const options& chosen);

  void Set(const load& wanted);
  void SetCapacity(double capacity) { options_.capacity = capacity; }
  void RunFor(duration span);
  /** Sets whether messages between this failure domain and the others are lost. Nodes notice it
      after a while. @see limit_fleet */
  void CutDomain(std::size_t domain, bool cut);
  /** Time after which a node that has crashed is no longer listed. */
  static constexpr duration kDelistTime = std::chrono::milliseconds(4'500);
  /** Sets whether a node has crashed: its clients use the next node, and it answers nothing. */
  void SetDown(std::size_t node, bool down);
  /** Replaces the process of a node by a new one without state. */
  void Restart(std::size_t node);
  std::size_t CoordinatorOf(const std::string& customer) const;
  std::size_t LevelCoordinator() const;
  /** Results of the nodes of all domains for which the predicate holds, in a span that ends now. */
  std::vector<result> Results(
      duration span, const std::function<bool(std::size_t domain)>& counts = [](std::size_t) {
        return true;
      }) const;
  /** Results at one node. */
  double share() const { return service_.reported_share; }
  double AdmittedAt(std::size_t node, const std::string& customer, duration span) const;
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t messages() const { return messages_; }
  instant now() const { return now_; }

 private:
  static constexpr duration kTick = std::chrono::milliseconds(5);
  static constexpr duration kBin = std::chrono::milliseconds(250);

  struct node_state {
    customer_limits limits;
    customer_coordinator limit_sums;
    customer_shares shares;
    demand_coordinator demand;
    level_coordinator levels;
    double noise = 0.0;
    // The share that answers have brought here.
    double share = 1.0;
    bool down = false;
    std::uint64_t incarnation = 0;
    std::map<std::size_t, instant> silent_until;
    // Customers of the requests that wait for a coordinator of the limit.
    std::vector<std::string> waiting;
  };
  struct counts {
    double requested = 0.0;
    double admitted = 0.0;
  };
  /** The limiting service: the admitted share that it reports, and moving averages of what arrived
      in a period and of the shares under which it was admitted. @see admission_level */
  struct service_state {
    double reported_share = 1.0;
    double arrived = 0.0;
    double share_sum = 0.0;
    double mean_arrived = 0.0;
    double mean_share = 1.0;
  };
  struct sent_query {
    share_query query;
    bool is_first = true;
  };

  bool Reaches(std::size_t from, std::size_t to) const;
  bool SeesCut(std::size_t node, std::string_view domain) const;
  void At(duration delay, std::function<void()> action);
  duration NetworkDelay();
  std::string DomainOf(std::size_t node) const { return std::to_string(node % options_.domains); }
  static endpoint AddressOf(std::size_t node) {
    return {.address = 0x0A000000 + static_cast<std::uint32_t>(node), .port = 80};
  }
  std::size_t Poisson(double mean);
  void Arrive(std::size_t node, const load& of);
  void Finish(std::size_t node, const load& of);
  void StepLevel();
  void SendReports(std::size_t node);
  void OnUndelivered(std::size_t node, const customer_report& report);
  void SendLoads(std::size_t node);
  void RunWaiting(std::size_t node, const std::string& customer);
  std::vector<std::size_t> CoordinatorsOf(std::size_t node, const std::string& key) const;
  void Send(std::size_t node, std::size_t to, sent_query sent);
  share_reply Answer(std::size_t node, const share_query& query, bool is_own);
  void OnReply(std::size_t node, const share_query& query, const share_reply& reply);
  void CountBytes(const share_query& query, const share_reply& reply);

  options options_;
  random_source random_;
  instant now_ = FromMicros(1'000'000'000);
  std::uint64_t tick_ = 0;
  std::vector<node_state> nodes_;
  std::vector<bool> cut_;
  std::vector<bool> cut_noticed_;
  coordinator_picker picker_;
  customer_weights weights_;
  std::map<std::string, load> loads_;
  std::map<std::string, std::map<std::size_t, std::map<std::int64_t, counts>>> counts_;
  std::multimap<instant, std::function<void()>> events_;
  service_state service_;
  std::uint64_t bytes_ = 0;
  std::uint64_t messages_ = 0;
};

}  // namespace cuminferry::testing
