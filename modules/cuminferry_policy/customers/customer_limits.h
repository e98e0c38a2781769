#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_policy/customers/limit_bounds.h"
#include "cuminferry_policy/customers/limit_messages.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Decision on a customer's request. */
enum class limit_decision : std::uint8_t {
  kWithinLimit,
  kOverLimit,
  /** The customer's coordinator has to be queried first. */
  kQueryCoordinator,
};

/** Enforces the customers' limits at one node.

    A limit holds for the whole fleet, and no node enforces it alone. Each node admits requests by
    the share that the customer's coordinator has sent, and reports its requests to the coordinator:

    - The requests that all nodes together may admit before they report them fit into the excess
      that may run beyond the limit. For a large customer that is several requests at each node,
      and a node reports a few at a time.
    - For a small customer that is less than one request at each node: a single request at each of
      some hundred nodes may be several times the limit, so the coordinator is queried first.
    - Where no coordinator replies, the node enforces its equal share of the limit: nodes that are
      cut off from each other stay under the limit together.

    @see customer_coordinator
*/
class customer_limits {
 public:
  /** Minimum time between two reports of a customer, unless a request waits for the reply. */
  static constexpr duration kReportPeriod = std::chrono::milliseconds(100);
  /** Fraction of the excess that all nodes together may admit before they report. */
  static constexpr double kUnreportedFraction = 0.25;
  /** Maximum time until requests are reported. */
  static constexpr duration kMaxReportDelay = std::chrono::seconds(2);
  /** For this long a received share below 1 decides requests that would otherwise need a query. */
  static constexpr duration kFreshShareTime = std::chrono::milliseconds(300);
  /** A share below 1 that no reply confirms is dropped after this time: the customer may have
      paused. */
  static constexpr duration kMaxShareAge = std::chrono::seconds(1);
  /** Time after which a node whose coordinators did not reply queries them again. */
  static constexpr duration kCoordinatorRetry = std::chrono::milliseconds(500);
  /** The state of a customer without requests for this long is deleted. */
  static constexpr duration kForgetAfter = std::chrono::seconds(30);
  /** Minimum and maximum retry delay of a refused client, as fractions of its row's objective:
      room becomes free continuously, and an answer is worth most within the objective. */
  static constexpr double kMinRetryFraction = 0.1;
  static constexpr double kMaxRetryFraction = 0.5;

  /** @param draw  in [0, 1), drawn for this node. Where the equal share of a burst is less than one
                   request, that percentage of the nodes starts with one, not all nodes or none */
  customer_limits(const limit_bounds& bounds, double draw) : bounds_(bounds), draw_(draw) {}

  void SetBounds(const limit_bounds& bounds) { bounds_ = bounds; }
  /** Sets the number of nodes in the fleet. */
  void SetNodes(std::size_t nodes);

  //============================================================================
  /** Decides on a request of this customer.
      @param draw  a number in [0, 1) drawn for this request */
  limit_decision DecideOn(const customer& of, double draw, instant now);
  /** Decides on a request for which DecideOn() demanded a query, once a coordinator has replied or
      none did. */
  bool AdmitsAfterQuery(const customer& of, double draw, instant now);
  /** Takes back an admitted request that was refused further down the call graph and has not
      run. */
  void OnRefused(const customer& of);
  /** Delay after which a client over the limit should retry: the longer, the less is admitted.
      @param objective  latency objective of the row
      @param draw       in [0, 1); clients that retried together would be refused together */
  duration RetryAfter(const customer& of, duration objective, double draw) const;

  //============================================================================
  /** Returns the reports that are due. Each report awaits OnReply() or OnNoReply(). */
  std::vector<limit_report> TakeReports(instant now);
  void OnReply(const limit_reply& reply, instant now);
  /** No coordinator of the customer replied: the reported requests are dropped, and the node
      enforces its equal share until a coordinator replies again. */
  void OnNoReply(const limit_report& report, instant now);

  //============================================================================
  /** Share of the customer's requests that is admitted now; 1 for an unknown customer. */
  double ShareOf(std::string_view name) const;
  /** Whether no coordinator of the customer replied to the last report. */
  bool IsWithoutCoordinator(std::string_view name) const;
  std::size_t size() const { return customers_.size(); }

 private:
  struct customer_state {
    double rate = 0.0;
    double burst = 0.0;
    double share = 1.0;
    instant share_received{};
    // Requests since the last report.
    double requested = 0.0;
    double admitted = 0.0;
    instant last_report{};
    // A report has been sent and not been answered.
    bool awaits_reply = false;
    // A request waits for a reply.
    bool is_urgent = false;
    // No coordinator replied.
    bool uses_equal_share = false;
    // Token bucket of the equal share.
    double tokens = 0.0;
    instant last_request{};
    // The customer is in the list of those that may have something to report.
    bool is_listed = false;
  };

  using customer_map = std::map<std::string, customer_state, std::less<>>;

  customer_state& StateOf(const customer& of, instant now);
  customer_state* Find(std::string_view name);
  static bool DecideByShare(customer_state& state, double draw);
  /** Maximum number of requests that this node may admit before it reports them. */
  double MaxUnreported(const customer_state& state) const;
  double Capacity(const customer_state& state) const;
  bool IsDue(const customer_state& state, instant now) const;
  void Forget(instant now);

  limit_bounds bounds_;
  double draw_;
  std::size_t nodes_ = 1;
  customer_map customers_;
  // Customers that may have something to report: few, where there are thousands of customers.
  std::vector<customer_map::iterator> unreported_;
  instant last_forget_{};
};

}  // namespace cuminferry
