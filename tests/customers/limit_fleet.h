#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** Simulates, in virtual time, a fleet of nodes that enforce customers' limits. Messages between
    nodes are delayed, and are lost between nodes that are cut off from each other or when a node
    restarts. */
class limit_fleet {
 public:
  struct options {
    std::size_t nodes = 69;
    std::size_t domains = 4;
    limit_bounds bounds{.window = std::chrono::seconds(5), .excess = 0.25, .allowance = 20.0};
    std::uint64_t seed = 1;
    /** Maximum delay of a message between two nodes, one way. */
    duration max_network_delay = std::chrono::milliseconds(5);
    /** No coordinator is ever reached: each node enforces its equal share. */
    bool equal_shares_only = false;
  };
  /** Present load of one customer over all nodes. */
  struct load {
    customer who;
    /** Requests a second. */
    double requested = 0.0;
    /** Number of nodes, from the first, that the customer's clients use; 0 means all. */
    std::size_t nodes = 0;
    /** Fraction of the admitted requests that are refused downstream and do not run. */
    double refused_downstream = 0.0;
  };
  /** Results of one customer's requests. */
  struct outcome {
    std::vector<instant> ran;
    std::uint64_t requested = 0;
    std::uint64_t over_limit = 0;
    duration longest_wait{};
  };

  explicit limit_fleet(const options& chosen);

  /** Replaces a customer's load and limit. */
  void Set(const load& wanted);
  void RunFor(duration span);
  /** Delays after which nodes notice the start and the end of a partition: a request without a
      reaction for 180 ms shows the start, and one request a second shows the end. */
  static constexpr duration kCutNoticed = std::chrono::milliseconds(400);
  static constexpr duration kReturnNoticed = std::chrono::seconds(1);
  /** Sets whether messages between this failure domain and the others are lost. */
  void CutDomain(std::size_t domain, bool cut);
  /** Sets whether messages between this node and the others are lost. */
  void CutNode(std::size_t node, bool cut);
  /** Replaces the process of a node by a new one without state. */
  void Restart(std::size_t node);
  const outcome& Of(const std::string& customer) { return outcomes_[customer]; }
  /** Maximum number of requests that ran within any window of the limit. */
  std::size_t MaxInWindow(const std::string& customer) const;
  /** Maximum number of requests that may run within a window. */
  double Bound(const customer& of) const;
  /** Reports sent from one node to another. */
  std::uint64_t messages() const { return messages_; }
  instant now() const { return now_; }

 private:
  struct waiting_request {
    std::string customer;
    instant since;
  };
  struct node_state {
    customer_limits limits;
    customer_coordinator coordinator;
    std::vector<waiting_request> waiting;
    bool cut = false;
    std::uint64_t incarnation = 0;
    // Coordinators that did not reply, and the time until which they are left out.
    std::map<std::size_t, instant> silent_until;
  };
  struct event {
    instant at;
    std::uint64_t order;
    std::function<void()> action;
  };

  bool Reaches(std::size_t from, std::size_t to) const;
  bool SeesCut(std::size_t node, std::string_view domain) const;
  duration NetworkDelay();
  void At(instant when, std::function<void()> action);
  void RunEvents();
  void Arrive(std::size_t node, const load& of);
  void FinishRequest(std::size_t node, const load& of, bool admitted, instant since);
  void SendReports(std::size_t node);
  void SendReport(std::size_t node, const limit_report& report, bool first);
  std::vector<std::size_t> CoordinatorsOf(std::size_t node, const std::string& customer) const;
  void OnReply(std::size_t node, const limit_reply& reply);
  void OnNoReply(std::size_t node, const limit_report& report);
  void RunWaiting(std::size_t node, const std::string& customer);
  std::string DomainOf(std::size_t node) const;
  endpoint AddressOf(std::size_t node) const;
  std::size_t Poisson(double mean);

  options options_;
  random_source random_;
  instant now_ = FromMicros(1'000'000'000);
  std::vector<node_state> nodes_;
  std::vector<bool> domain_cut_;
  std::vector<bool> cut_noticed_;
  coordinator_picker coordinators_;
  std::map<std::string, load> loads_;
  std::map<std::string, outcome> outcomes_;
  std::multimap<instant, std::function<void()>> events_;
  std::uint64_t messages_ = 0;
  std::uint64_t tick_ = 0;
};

}  // namespace cuminferry::testing
