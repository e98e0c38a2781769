#include "cuminferry_policy/customers/customer_shares.h"

#include <algorithm>
#include <cmath>

#include "cuminferry_policy/customers/fair_level.h"

namespace cuminferry {

customer_shares::pool_state& customer_shares::StateOf(const share_pool& pool, instant now) {
  pool_state& state = pools_[pool.id()];
  if (state.first_request == instant{}) {
    state.service = pool.service;
    state.rank = pool.rank;
    state.first_request = now;
    state.mean_at = now;
  }
  state.last_request = now;
  return state;
}

customer_shares::member_map::iterator customer_shares::MemberOf(pool_state& pool,
                                                                std::string_view customer,
                                                                instant now) {
  const auto at = pool.members.find(customer);
  return at != pool.members.end() ? at
                                  : pool.members.emplace(std::string(customer), member(now)).first;
}

void customer_shares::UpdateMean(pool_state& pool, double admitted, instant now) {
  const double weight = 1.0 - std::exp(-ToSeconds(now - pool.mean_at) / ToSeconds(kLevelLag));
  pool.mean_admitted += weight * (admitted - pool.mean_admitted);
  pool.mean_at = now;
}

double customer_shares::OnRequest(const share_pool& pool, std::string_view customer, double weight,
                                  double admitted, instant now) {
  if (started_at_ == instant{}) {
    started_at_ = now;
  }
  Forget(now);
  pool_state& state = StateOf(pool, now);
  const auto at = MemberOf(state, customer, now);
  member& sender = at->second;
  sender.local_rate.Add(1.0, now);
  sender.weight = weight;
  sender.last_request = now;
  UpdateMean(state, admitted, now);
  if (admitted < 1.0) {
    state.last_limited = now;
  }
  if (!IsInForce(state, now)) {
    sender.share = 1.0;
    return admitted;
  }
  CountUnreported(state, at, admitted);
  const bool is_observing =
      now - started_at_ < kObservationTime ||
      (now - state.first_request < kPoolObservationTime && !IsLevelKnown(state, now));
  if (admitted >= 1.0 || is_observing) {
    sender.share = admitted;
    return admitted;
  }
  const duration period = std::max<duration>(
      kComputePeriod, kComputePeriodPerCustomer * static_cast<duration::rep>(state.members.size()));
  if (now - state.computed_at >= period) {
    Compute(state, admitted, now);
  }
  sender.share = ShareOf(state, sender, admitted, now);
  return sender.share;
}

void customer_shares::CountUnreported(pool_state& pool, member_map::iterator at, double admitted) {
  member& sender = at->second;
  sender.unreported += 1.0;
  sender.unreported_admitted += admitted;
  if (!sender.is_listed) {
    sender.is_listed = true;
    pool.unreported.push_back(at);
  }
}

double customer_shares::SaturationOf(const pool_state& pool, const member& of, instant now) {
  return (pool.uses_fleet_rates ? of.fleet_rate : of.local_rate.LowerBound(now)) / of.weight;
}

// A customer whose rate over all nodes is not known is treated as all customers were before.
double customer_shares::ShareOf(const pool_state& pool, const member& of, double admitted,
                                instant now) {
  if (pool.uses_fleet_rates && !IsFleetRateKnown(of, now)) {
    return admitted;
  }
  return ShareAtLevel(pool.node_level, SaturationOf(pool, of, now));
}

void customer_shares::Compute(pool_state& pool, double admitted, instant now) {
  pool.computed_at = now;
  const bool has_level = IsLevelKnown(pool, now);
  pool.uses_fleet_rates = has_level || std::ranges::any_of(pool.members, [now](const auto& entry) {
                            return IsFleetRateKnown(entry.second, now);
                          });
  const double change = admitted / std::max(1e-6, pool.mean_admitted);
  if (has_level && std::abs(change - 1.0) <= kMaxSmallChange) {
    const double held = std::max(1e-6, pool.level.held_fraction);
    pool.node_level = pool.level.level *
                      std::clamp(1.0 + (change - 1.0) / held, kMinLevelFactor, kMaxLevelFactor);
    return;
  }
  std::vector<fair_demand> demands;
  double requested = 0.0;
  for (const auto& [name, of] : pool.members) {
    if (!pool.uses_fleet_rates || IsFleetRateKnown(of, now)) {
      demands.push_back(
          {.requested = of.local_rate.At(now), .saturation = SaturationOf(pool, of, now)});
      requested += demands.back().requested;
    }
  }
  pool.node_level =
      FairLevel(demands, has_level ? change * AdmittedAtLevel(demands, pool.level.level)
                                   : admitted * requested);
}

//==============================================================================
std::vector<pool_demand> customer_shares::TakeDemand(std::string_view customer, instant now) {
  std::vector<pool_demand> taken;
  for (auto& [id, pool] : pools_) {
    const auto at = pool.members.find(customer);
    if (at == pool.members.end() || at->second.unreported <= 0.0) {
      continue;
    }
    member& of = at->second;
    taken.push_back({.pool = id, .requested = of.unreported, .admitted = of.unreported_admitted});
    of.unreported = 0.0;
    of.unreported_admitted = 0.0;
    of.last_report = now;
    of.reported_rate = of.local_rate.At(now);
    ++of.reports;
  }
  return taken;
}

bool customer_shares::IsReportDue(const member& of, instant now) {
  const duration elapsed = now - of.last_report;
  const double expected = of.reported_rate * ToSeconds(elapsed);
  const double unexpected = expected + kReportDeviations * std::sqrt(std::max(1.0, expected));
  const duration period = of.reports < kFirstReports ? kFirstReportPeriod : kReportPeriod;
  return elapsed >= period || (elapsed >= kMinReportPeriod && of.unreported > unexpected);
}

std::vector<std::string> customer_shares::CustomersDue(instant now) {
  std::vector<std::string> due;
  for (auto& [id, pool] : pools_) {
    std::erase_if(pool.unreported, [&](const member_map::iterator& at) {
      member& of = at->second;
      if (of.unreported <= 0.0) {
        of.is_listed = false;
        return true;
      }
      if (IsReportDue(of, now)) {
        due.push_back(at->first);
      }
      return false;
    });
  }
  std::ranges::sort(due);
  due.erase(std::unique(due.begin(), due.end()), due.end());
  return due;
}

// A pool or customer that this node doesn't know yet may be that of a request which waits for the
// reply.
void customer_shares::OnRate(std::string_view customer, const pool_rate& received, instant now) {
  member& of = MemberOf(pools_[received.pool], customer, now)->second;
  of.fleet_rate = received.rate;
  of.fleet_rate_at = now;
  of.last_request = std::max(of.last_request, now - kEndTime);
}

void customer_shares::OnLevel(const pool_level& received, instant now) {
  pool_state& pool = pools_[received.pool];
  pool.level = received;
  pool.level_at = now;
}

//==============================================================================
std::vector<customer_shares::change> customer_shares::TakeChanges(instant now) {
  std::vector<change> changes;
  for (auto& [id, pool] : pools_) {
    const bool in_force = IsInForce(pool, now);
    if (in_force != pool.in_force) {
      pool.in_force = in_force;
      changes.push_back({.service = pool.service,
                         .rank = pool.rank,
                         .in_force = in_force,
                         .customers = pool.members.size()});
    }
  }
  return changes;
}

std::map<std::string, double> customer_shares::HeldCustomers(instant now) const {
  std::map<std::string, double> held;
  for (const auto& [id, pool] : pools_) {
    if (!IsInForce(pool, now)) {
      continue;
    }
    for (const auto& [name, of] : pool.members) {
      if (of.share < 1.0 && now - of.last_request <= kEndTime) {
        const auto at = held.try_emplace(name, of.share).first;
        at->second = std::min(at->second, of.share);
      }
    }
  }
  return held;
}

void customer_shares::Forget(instant now) {
  if (now - last_forget_ < kForgetAfter) {
    return;
  }
  last_forget_ = now;
  for (auto& [id, pool] : pools_) {
    std::erase_if(pool.members, [now](const auto& entry) {
      return !entry.second.is_listed && now - entry.second.last_request > kForgetAfter;
    });
  }
  std::erase_if(pools_, [now](const auto& entry) {
    return !entry.second.in_force && entry.second.members.empty() &&
           now - std::max(entry.second.last_request, entry.second.level_at) > kForgetAfter;
  });
}

}  // namespace cuminferry
