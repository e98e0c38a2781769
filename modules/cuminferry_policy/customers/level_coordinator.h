#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "cuminferry_policy/customers/demand_messages.h"

namespace cuminferry {

/** Computes the one level of a pool over the whole fleet, at the node that coordinates the pool.

    Guards against levels that differ between nodes: where a customer's clients use two nodes, the
    customers that these two nodes see are not those of the fleet, and a level from them alone gives
    the customer half or twice its share. The coordinators of the customers send what they know of
    all nodes' requests; the level follows from it without any state but the latest messages.
*/
class level_coordinator {
 public:
  /** Loads of a sender that are older than this don't count. */
  static constexpr duration kMaxLoadAge = std::chrono::milliseconds(1'500);
  /** A coordinator that has just started gives no level for this long: until all senders have sent
      their loads, the level would be that of a few customers. */
  static constexpr duration kSettleTime = std::chrono::milliseconds(2'300);
  /** Minimum time between two computations of a level. */
  static constexpr duration kComputePeriod = std::chrono::milliseconds(50);

  /** Replaces the loads of a sender, and returns the levels of these pools that are known. */
  std::vector<pool_level> OnLoads(const endpoint& sender, std::span<const pool_loads> loads,
                                  instant now);
  std::size_t size() const { return pools_.size(); }

 private:
  struct sender_loads {
    pool_loads loads;
    instant received_at{};
  };
  struct pool_state {
    instant started_at{};
    instant received_at{};
    instant computed_at{};
    pool_level level;
    std::map<endpoint, sender_loads> senders;
  };

  static void Compute(pool_state& pool, instant now);

  std::map<std::uint32_t, pool_state> pools_;
};

}  // namespace cuminferry
