#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_policy/customers/demand_messages.h"
#include "cuminferry_policy/customers/demand_rate.h"

namespace cuminferry {

/** Sums up, at a customer's coordinator, the customer's request rate over all nodes in the pools
    that are not admitted in full, and knows the levels of these pools.

    @see customer_shares, level_coordinator
*/
class demand_coordinator {
 public:
  /** Period in which the loads are sent to the coordinators of the pools' levels. */
  static constexpr duration kLoadPeriod = std::chrono::milliseconds(600);
  /** A rate is told only after this time, in which all nodes have reported once. Told earlier, the
      rates of a coordinator that replaces a lost one are too low, and its customers got twice their
      shares. @see customer_shares::kReportPeriod */
  static constexpr duration kSettleTime = std::chrono::milliseconds(2'300);
  /** Time constant of the share of the requests that ingress nodes would admit. */
  static constexpr duration kAdmittedTime = std::chrono::seconds(1);
  /** An account without reports for this long is deleted. */
  static constexpr duration kMaxReportAge = std::chrono::milliseconds(4'500);
  /** A level that the pool's coordinator has not confirmed for this long is not told. */
  static constexpr duration kMaxLevelAge = std::chrono::milliseconds(1'500);

  /** Counts a node's report, and returns the rates over all nodes that are known, also of pools
     that the report doesn't name: a node that seldom gets a request of the customer would not have
     them otherwise.
      @param weight  of the customer. @see customer_weights
      @param is_own  whether the report is this node's */
  std::vector<pool_rate> OnReport(std::string_view customer, double weight,
                                  std::span<const pool_demand> pools, bool is_own, instant now);
  /** Whether other nodes have reported this customer recently. @see customer_coordinator */
  bool HasReportsOfOthers(std::string_view customer, instant now) const;

  /** What is to be sent to the coordinators of the pools' levels. */
  std::vector<pool_loads> Loads(instant now);
  void OnLevel(const pool_level& received, instant now);
  /** The known levels of the pools that these figures name, in the order of the pools. */
  std::vector<pool_level> LevelsFor(std::span<const customer_figures> figures, instant now) const;
  std::size_t size() const { return pools_.size(); }

 private:
  struct account {
    explicit account(instant now) : started_at(now), rate(now) {}

    instant started_at;
    instant last_report{};
    demand_rate rate;
    double weight = 1.0;
    // Moving sums whose ratio is the admitted share.
    double requested = 0.0;
    double admitted = 0.0;
  };
  struct known_level {
    pool_level level;
    instant received_at{};
  };

  using account_map = std::map<std::string, account, std::less<>>;

  std::map<std::uint32_t, account_map> pools_;
  std::map<std::uint32_t, known_level> levels_;
  std::map<std::string, instant, std::less<>> reports_of_others_;
};

}  // namespace cuminferry
