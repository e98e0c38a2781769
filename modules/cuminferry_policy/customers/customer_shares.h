#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_policy/customers/demand_messages.h"
#include "cuminferry_policy/customers/demand_rate.h"
#include "cuminferry_policy/customers/share_pool.h"

namespace cuminferry {

/** Decides at an ingress node which part of a customer's requests is admitted where a pool is not
    admitted in full.

    Guards against a customer that sends several times its usual rate, within its limit, and gets as
    many shares of an insufficient capacity. Each customer is admitted up to one level, in requests
    per second for each unit of its weight, and the sum is what ingress_admission admits:

    - The pool's coordinator computes the level from the requests of all nodes. The figures of a
      customer over all nodes come from the customer's coordinator.
    - Both lag by some two seconds. Each node therefore changes the level at once with its admitted
      share, by as much as the whole fleet has to: the load on the limiting service must follow the
      admitted share within the service's control loop (admission_level).
    - Without a level, a node computes its own from the requests that it receives. A customer
      whose rate over all nodes is not known is then treated as all customers were before.

    @see level_coordinator, demand_coordinator, ingress_admission
*/
class customer_shares {
 public:
  /** A node that has just started admits all customers alike for this long. */
  static constexpr duration kObservationTime = std::chrono::seconds(2);
  /** The same after the first request of a pool. */
  static constexpr duration kPoolObservationTime = std::chrono::milliseconds(500);
  /** Shares are in force until a pool has been admitted in full for this long. */
  static constexpr duration kEndTime = std::chrono::seconds(2);
  /** A level that no reply has confirmed for this long is not used. A coordinator of levels that
      replaces a lost one gives none before it has settled. */
  static constexpr duration kMaxLevelAge = std::chrono::seconds(3);
  /** The same for the rate of a customer. A node that a customer uses seldom gets few replies. */
  static constexpr duration kMaxRateAge = std::chrono::seconds(10);
  /** Time by which the level of the fleet lags behind the admitted shares. */
  static constexpr duration kLevelLag = std::chrono::seconds(2);
  /** Relative change of the admitted share within kLevelLag up to which the change of the level is
      derived from the held fraction of the fleet. A greater one changes which customers are held,
      and the level is computed from this node's requests. */
  static constexpr double kMaxSmallChange = 0.25;
  /** Bounds of the factor by which a small change changes the level. */
  static constexpr double kMinLevelFactor = 0.5;
  static constexpr double kMaxLevelFactor = 2.0;
  /** A customer's requests are reported after this time, and with each report for its limit, which
      is sent every two seconds at the latest and costs nothing more. */
  static constexpr duration kReportPeriod = std::chrono::milliseconds(2'100);
  /** The first kFirstReports are sent after this time, so that the rates over all nodes are known
      soon after the shares are in force. */
  static constexpr duration kFirstReportPeriod = std::chrono::milliseconds(500);
  static constexpr int kFirstReports = 3;
  /** They are reported after this time if there are more than kReportDeviations standard deviations
      above the last rate: a customer that sends seven times its usual rate is noticed at once. */
  static constexpr duration kMinReportPeriod = std::chrono::milliseconds(100);
  static constexpr double kReportDeviations = 3.0;
  /** Minimum time between two computations of the level, and its part for each customer: 10,000
      customers cost half a percent of a core. */
  static constexpr duration kComputePeriod = std::chrono::milliseconds(20);
  static constexpr duration kComputePeriodPerCustomer = std::chrono::microseconds(20);
  /** The state of a customer or pool without requests for this long is deleted. */
  static constexpr duration kForgetAfter = std::chrono::seconds(30);

  /** Counts a request of this customer, and returns the share of such requests to be admitted.
      @param weight    of the customer. @see customer_weights
      @param admitted  share of all requests of the pool that ingress_admission admits */
  double OnRequest(const share_pool& pool, std::string_view customer, double weight,
                   double admitted, instant now);

  //============================================================================
  /** Returns the requests of a customer that were not reported, in pools with shares in force. */
  std::vector<pool_demand> TakeDemand(std::string_view customer, instant now);
  /** Customers whose requests have to be reported now. */
  std::vector<std::string> CustomersDue(instant now);
  void OnRate(std::string_view customer, const pool_rate& received, instant now);
  void OnLevel(const pool_level& received, instant now);

  //============================================================================
  /** Begin or end of the shares in a pool. */
  struct change {
    std::string service;
    std::uint32_t rank = 0;
    bool in_force = false;
    /** Number of customers that have sent requests of the pool. */
    std::size_t customers = 0;
  };
  /** Changes since the last call. */
  std::vector<change> TakeChanges(instant now);
  /** The customers of whose requests less than all are admitted now, with the smallest share over
      all pools. */
  std::map<std::string, double> HeldCustomers(instant now) const;
  std::size_t size() const { return pools_.size(); }

 private:
  struct member {
    explicit member(instant now) : local_rate(now) {}

    // Requests at this node.
    demand_rate local_rate;
    double weight = 1.0;
    // Requests per second over all nodes.
    double fleet_rate = 0.0;
    instant fleet_rate_at{};
    double share = 1.0;
    instant last_request{};
    // Rate at this node at the last report.
    double reported_rate = 0.0;
    int reports = 0;
    double unreported = 0.0;
    double unreported_admitted = 0.0;
    instant last_report{};
    bool is_listed = false;
  };
  using member_map = std::map<std::string, member, std::less<>>;
  struct pool_state {
    std::string service;
    std::uint32_t rank = 0;
    instant first_request{};
    instant last_request{};
    instant last_limited{};
    bool in_force = false;
    // Moving average of the admitted share.
    double mean_admitted = 1.0;
    instant mean_at{};
    // The level of the fleet.
    pool_level level;
    instant level_at{};
    // The level in force at this node, and whether it refers to the rates over all nodes.
    double node_level = 0.0;
    bool uses_fleet_rates = false;
    instant computed_at{};
    member_map members;
    // Members with requests that were not reported.
    std::vector<member_map::iterator> unreported;
  };

  static bool IsInForce(const pool_state& pool, instant now) {
    return pool.last_limited != instant{} && now - pool.last_limited <= kEndTime;
  }
  static bool IsFleetRateKnown(const member& of, instant now) {
    return of.fleet_rate > 0.0 && now - of.fleet_rate_at <= kMaxRateAge;
  }
  static bool IsLevelKnown(const pool_state& pool, instant now) {
    return pool.level_at != instant{} && now - pool.level_at <= kMaxLevelAge;
  }
  pool_state& StateOf(const share_pool& pool, instant now);
  static member_map::iterator MemberOf(pool_state& pool, std::string_view customer, instant now);
  static void UpdateMean(pool_state& pool, double admitted, instant now);
  static void Compute(pool_state& pool, double admitted, instant now);
  static double SaturationOf(const pool_state& pool, const member& of, instant now);
  static double ShareOf(const pool_state& pool, const member& of, double admitted, instant now);
  static bool IsReportDue(const member& of, instant now);
  static void CountUnreported(pool_state& pool, member_map::iterator at, double admitted);
  void Forget(instant now);

  std::map<std::uint32_t, pool_state> pools_;
  instant started_at_{};
  instant last_forget_{};
};

}  // namespace cuminferry
