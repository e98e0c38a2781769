#include "cuminferry_policy/entry/ingress_admission.h"

#include <algorithm>
#include <cmath>

#include "cuminferry_policy/entry/retry_after.h"

namespace cuminferry {
namespace {

// Minimum weight of an answer, where several arrive at the same moment.
constexpr double kMinWeight = 0.02;

}  // namespace

ingress_admission::row_state& ingress_admission::StateOf(std::string_view row) {
  const auto at = rows_.find(row);
  return at == rows_.end() ? rows_[std::string(row)] : at->second;
}

void ingress_admission::OnAnswer(std::string_view row, const std::optional<row_limit>& limit,
                                 bool from_clients, instant now) {
  row_state& state = StateOf(row);
  state.from_clients = state.from_clients || from_clients;
  if (!limit) {
    return;
  }
  state.cost = limit->cost;
  state.service = limit->service;
  service_state& service = services_[limit->service];
  const bool first = service.received_at == instant{};
  const double elapsed = ToSeconds(now - service.received_at) / ToSeconds(kBlendTime);
  const double weight = first ? 1.0 : std::max(kMinWeight, 1.0 - std::exp(-elapsed));
  service.share += weight * (limit->share - service.share);
  service.received_at = now;
}

void ingress_admission::OnRequest(std::string_view row, std::uint32_t rank, instant now) {
  request_rate& current = StateOf(row).rates_by_rank[rank];
  current.rate = RateAt(current, now) + 1.0 / ToSeconds(kRateTime);
  current.updated_at = now;
}

double ingress_admission::RateAt(const request_rate& last, instant now) {
  return last.rate * std::exp(-ToSeconds(now - last.updated_at) / ToSeconds(kRateTime));
}

double ingress_admission::ShareOf(const row_state& state, instant now) const {
  const auto at = services_.find(state.service);
  if (at == services_.end()) {
    return 1.0;
  }
  const duration unconfirmed =
      std::max(duration::zero(), now - at->second.received_at - kLimitHoldTime);
  return std::min(1.0,
                  at->second.share * std::exp2(ToSeconds(unconfirmed) / ToSeconds(kDoublingTime)));
}

row_limit ingress_admission::Limit(std::string_view row, instant now) const {
  const auto at = rows_.find(row);
  if (at == rows_.end()) {
    return {};
  }
  const row_state& state = at->second;
  return {.share = ShareOf(state, now), .cost = state.cost, .service = state.service};
}

std::optional<double> ingress_admission::ShareInForce(std::string_view row, instant now) const {
  const auto at = rows_.find(row);
  return at == rows_.end() || !services_.contains(at->second.service)
             ? std::nullopt
             : std::optional<double>(ShareOf(at->second, now));
}

double ingress_admission::AdmittedShare(std::string_view row, std::uint32_t rank,
                                        instant now) const {
  const auto at = rows_.find(row);
  if (at == rows_.end()) {
    return 1.0;
  }
  const row_state& own = at->second;
  const double share = ShareOf(own, now);
  if (share >= 1.0) {
    return 1.0;
  }
  double lower_rank_load = 0.0;
  double same_rank_load = 0.0;
  double higher_rank_load = 0.0;
  for (const auto& [name, other] : rows_) {
    if (other.service != own.service) {
      continue;
    }
    for (const auto& [other_rank, rate] : other.rates_by_rank) {
      double& sum = other_rank < rank    ? lower_rank_load
                    : other_rank == rank ? same_rank_load
                                         : higher_rank_load;
      sum += RateAt(rate, now) * ToSeconds(other.cost);
    }
  }
  const double min_share = std::min(kMinAdmittedShare, kMinShareOfAdmitted * share);
  if (same_rank_load <= 0.0) {
    return std::max(min_share, share);
  }
  const double remaining_load =
      share * (lower_rank_load + same_rank_load + higher_rank_load) - lower_rank_load;
  return std::clamp(remaining_load / same_rank_load, min_share, 1.0);
}

bool ingress_admission::Admits(std::string_view row, std::uint32_t rank, double draw,
                               instant now) const {
  return draw < AdmittedShare(row, rank, now);
}

bool ingress_admission::ComesFromClients(std::string_view row) const {
  const auto at = rows_.find(row);
  return at != rows_.end() && at->second.from_clients;
}

duration ingress_admission::RetryAfter(std::string_view row, std::uint32_t rank, duration objective,
                                       double draw, instant now) const {
  return ComputeRetryAfter(1.0 - AdmittedShare(row, rank, now), kMinRetryFraction,
                           kMaxRetryFraction, objective, draw);
}

}  // namespace cuminferry
