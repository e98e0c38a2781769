#include "cuminferry_policy/customers/demand_coordinator.h"

#include <cmath>
#include <set>

namespace cuminferry {

std::vector<pool_rate> demand_coordinator::OnReport(std::string_view customer, double weight,
                                                    std::span<const pool_demand> pools, bool is_own,
                                                    instant now) {
  if (!is_own && !pools.empty()) {
    reports_of_others_.insert_or_assign(std::string(customer), now);
  }
  for (const pool_demand& demand : pools) {
    account& state = pools_[demand.pool].try_emplace(std::string(customer), now).first->second;
    const double decay = std::exp(-ToSeconds(now - state.last_report) / ToSeconds(kAdmittedTime));
    state.requested = state.requested * decay + demand.requested;
    state.admitted = state.admitted * decay + demand.admitted;
    state.rate.Add(demand.requested, now);
    state.weight = weight;
    state.last_report = now;
  }
  std::vector<pool_rate> rates;
  for (const auto& [pool, accounts] : pools_) {
    const auto at = accounts.find(customer);
    if (at != accounts.end() && now - at->second.started_at >= kSettleTime &&
        now - at->second.last_report <= kMaxReportAge) {
      rates.push_back({.pool = pool, .rate = at->second.rate.LowerBound(now)});
    }
  }
  return rates;
}

bool demand_coordinator::HasReportsOfOthers(std::string_view customer, instant now) const {
  const auto at = reports_of_others_.find(customer);
  return at != reports_of_others_.end() && now - at->second <= kMaxReportAge;
}

std::vector<pool_loads> demand_coordinator::Loads(instant now) {
  std::erase_if(reports_of_others_,
                [now](const auto& entry) { return now - entry.second > kMaxReportAge; });
  std::erase_if(levels_,
                [now](const auto& entry) { return now - entry.second.received_at > kMaxLevelAge; });
  std::vector<pool_loads> loads;
  for (auto& [pool, accounts] : pools_) {
    std::erase_if(accounts, [now](const auto& entry) {
      return now - entry.second.last_report > kMaxReportAge;
    });
    pool_loads of_pool{.pool = pool, .admitted = 0.0, .customers = {}};
    for (const auto& [customer, state] : accounts) {
      const double rate = state.rate.At(now);
      const double share = state.requested > 0.0 ? state.admitted / state.requested : 1.0;
      of_pool.admitted += rate * share;
      of_pool.customers.push_back(
          {.requested = rate, .saturation = state.rate.LowerBound(now) / state.weight});
    }
    if (!of_pool.customers.empty()) {
      loads.push_back(std::move(of_pool));
    }
  }
  std::erase_if(pools_, [](const auto& entry) { return entry.second.empty(); });
  return loads;
}

void demand_coordinator::OnLevel(const pool_level& received, instant now) {
  levels_[received.pool] = {.level = received, .received_at = now};
}

std::vector<pool_level> demand_coordinator::LevelsFor(std::span<const customer_figures> figures,
                                                      instant now) const {
  std::set<std::uint32_t> named;
  for (const customer_figures& of : figures) {
    for (const pool_rate& rate : of.rates) {
      named.insert(rate.pool);
    }
  }
  std::vector<pool_level> levels;
  for (const std::uint32_t pool : named) {
    const auto at = levels_.find(pool);
    if (at != levels_.end() && now - at->second.received_at <= kMaxLevelAge) {
      levels.push_back(at->second.level);
    }
  }
  return levels;
}

}  // namespace cuminferry
