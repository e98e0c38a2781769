#include "cuminferry_policy/customers/level_coordinator.h"

#include <algorithm>

#include "cuminferry_policy/customers/fair_level.h"

namespace cuminferry {

std::vector<pool_level> level_coordinator::OnLoads(const endpoint& sender,
                                                   std::span<const pool_loads> loads, instant now) {
  std::erase_if(pools_,
                [now](const auto& entry) { return now - entry.second.received_at > kMaxLoadAge; });
  std::vector<pool_level> levels;
  for (const pool_loads& received : loads) {
    const auto [at, is_new] = pools_.try_emplace(received.pool);
    pool_state& pool = at->second;
    if (is_new) {
      pool.started_at = now;
    }
    pool.received_at = now;
    pool.senders[sender] = {.loads = received, .received_at = now};
    if (now - pool.started_at < kSettleTime) {
      continue;
    }
    if (now - pool.computed_at >= kComputePeriod) {
      Compute(pool, now);
    }
    levels.push_back(pool.level);
    levels.back().pool = received.pool;
  }
  return levels;
}

void level_coordinator::Compute(pool_state& pool, instant now) {
  std::erase_if(pool.senders,
                [now](const auto& entry) { return now - entry.second.received_at > kMaxLoadAge; });
  std::vector<fair_demand> demands;
  double admitted = 0.0;
  for (const auto& [address, sender] : pool.senders) {
    for (const customer_load& load : sender.loads.customers) {
      demands.push_back({.requested = load.requested, .saturation = load.saturation});
    }
    admitted += sender.loads.admitted;
  }
  pool.level.level = FairLevel(demands, admitted);
  double held = 0.0;
  for (const fair_demand& demand : demands) {
    const double share = ShareAtLevel(pool.level.level, demand.saturation);
    held += share < 1.0 ? share * demand.requested : 0.0;
  }
  pool.level.held_fraction = admitted > 0.0 ? std::min(1.0, held / admitted) : 1.0;
  pool.computed_at = now;
}

}  // namespace cuminferry
