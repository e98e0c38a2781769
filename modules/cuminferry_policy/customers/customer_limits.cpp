#include "cuminferry_policy/customers/customer_limits.h"

#include <algorithm>
#include <utility>

#include "cuminferry_policy/entry/retry_after.h"

namespace cuminferry {
void customer_limits::SetNodes(std::size_t nodes) { nodes_ = std::max<std::size_t>(1, nodes); }

double customer_limits::MaxUnreported(const customer_state& state) const {
  return kUnreportedFraction * bounds_.RequestsBeyondLimit(state.rate, state.burst) /
         static_cast<double>(nodes_);
}

double customer_limits::Capacity(const customer_state& state) const {
  return std::max(1.0, state.burst / static_cast<double>(nodes_));
}

customer_limits::customer_state& customer_limits::StateOf(const customer& of, instant now) {
  auto at = customers_.find(of.name);
  const bool first = at == customers_.end();
  if (first) {
    at = customers_.emplace(of.name, customer_state{}).first;
  }
  customer_state& state = at->second;
  state.rate = of.rate;
  state.burst = of.burst;
  if (first) {
    state.tokens = draw_ * Capacity(state);
    state.last_report = now;
  } else {
    const double node_rate = state.rate / static_cast<double>(nodes_);
    state.tokens =
        std::min(Capacity(state), state.tokens + node_rate * ToSeconds(now - state.last_request));
  }
  state.last_request = now;
  if (state.share < 1.0 && now - state.share_received > kMaxShareAge) {
    state.share = 1.0;
  }
  if (!state.is_listed) {
    state.is_listed = true;
    unreported_.push_back(at);
  }
  return state;
}

customer_limits::customer_state* customer_limits::Find(std::string_view name) {
  const auto at = customers_.find(name);
  return at == customers_.end() ? nullptr : &at->second;
}

limit_decision customer_limits::DecideOn(const customer& of, double draw, instant now) {
  if (!of.is_limited()) {
    return limit_decision::kWithinLimit;
  }
  customer_state& state = StateOf(of, now);
  const bool has_fresh_share = state.share < 1.0 && now - state.share_received <= kFreshShareTime;
  if (!has_fresh_share && !state.uses_equal_share && state.admitted + 1.0 > MaxUnreported(state)) {
    // The request is reported with the query as if it were admitted.
    state.requested += 1.0;
    state.admitted += 1.0;
    state.is_urgent = true;
    return limit_decision::kQueryCoordinator;
  }
  const bool admitted = DecideByShare(state, draw);
  if (!state.uses_equal_share) {
    state.requested += 1.0;
    state.admitted += admitted ? 1.0 : 0.0;
  }
  return admitted ? limit_decision::kWithinLimit : limit_decision::kOverLimit;
}

bool customer_limits::AdmitsAfterQuery(const customer& of, double draw, instant now) {
  customer_state& state = StateOf(of, now);
  const bool admitted = DecideByShare(state, draw);
  if (!admitted && !state.uses_equal_share) {
    state.admitted -= 1.0;
  }
  return admitted;
}

bool customer_limits::DecideByShare(customer_state& state, double draw) {
  const bool admitted = state.uses_equal_share ? state.tokens >= 1.0 : draw < state.share;
  if (admitted) {
    state.tokens = std::max(0.0, state.tokens - 1.0);
  }
  return admitted;
}

void customer_limits::OnRefused(const customer& of) {
  customer_state* const state = Find(of.name);
  if (state == nullptr) {
    return;
  }
  state->tokens = std::min(Capacity(*state), state->tokens + 1.0);
  if (!state->uses_equal_share) {
    // An admitted request represents all requests that were made for each admitted one.
    constexpr double kMinShare = 0.05;
    state->requested -= 1.0 / std::max(kMinShare, state->share);
    state->admitted -= 1.0;
  }
}

duration customer_limits::RetryAfter(const customer& of, duration objective, double draw) const {
  return ComputeRetryAfter(1.0 - ShareOf(of.name), kMinRetryFraction, kMaxRetryFraction, objective,
                           draw);
}

bool customer_limits::IsDue(const customer_state& state, instant now) const {
  if (state.awaits_reply) {
    return false;
  }
  if (state.uses_equal_share) {
    return now - state.last_report >= kCoordinatorRetry;
  }
  const bool period_over = now - state.last_report >= kReportPeriod;
  const bool has_much_to_report = state.share < 1.0 || state.requested >= MaxUnreported(state);
  return state.is_urgent || (period_over && has_much_to_report) ||
         now - state.last_report >= kMaxReportDelay;
}

std::vector<limit_report> customer_limits::TakeReports(instant now) {
  std::vector<limit_report> reports;
  std::erase_if(unreported_, [&](const customer_map::iterator& at) {
    customer_state& state = at->second;
    const bool has_nothing_to_report =
        state.requested == 0.0 && state.admitted == 0.0 && !state.is_urgent;
    // The node retries the coordinators as long as the customer sends requests.
    const bool retries_coordinators =
        state.uses_equal_share && now - state.last_request <= kMaxShareAge;
    if (has_nothing_to_report && !retries_coordinators && !state.awaits_reply) {
      state.is_listed = false;
      return true;
    }
    if (!IsDue(state, now)) {
      return false;
    }
    reports.push_back({.customer = at->first,
                       .requested = state.requested,
                       .admitted = state.admitted,
                       .share = state.share});
    state.requested = 0.0;
    state.admitted = 0.0;
    state.last_report = now;
    state.awaits_reply = true;
    state.is_urgent = false;
    return false;
  });
  Forget(now);
  return reports;
}

void customer_limits::Forget(instant now) {
  if (now - last_forget_ < kForgetAfter) {
    return;
  }
  last_forget_ = now;
  std::erase_if(customers_, [now](const auto& entry) {
    return !entry.second.is_listed && now - entry.second.last_request > kForgetAfter;
  });
}

void customer_limits::OnReply(const limit_reply& reply, instant now) {
  customer_state* const state = Find(reply.customer);
  if (state == nullptr) {
    return;
  }
  state->share = std::clamp(reply.share, 0.0, 1.0);
  state->share_received = now;
  state->awaits_reply = false;
  state->uses_equal_share = false;
}

void customer_limits::OnNoReply(const limit_report& report, instant now) {
  customer_state* const state = Find(report.customer);
  if (state == nullptr) {
    return;
  }
  // Requests that are admitted by the equal share are not reported, nor are those that no
  // coordinator has counted: if they were reported once a coordinator replies again, the customer
  // would be refused for requests that it was allowed.
  state->requested = 0.0;
  state->admitted = 0.0;
  state->last_report = now;
  state->awaits_reply = false;
  if (!std::exchange(state->uses_equal_share, true)) {
    // The equal share of a customer over its limit has mostly been used up at other nodes.
    state->tokens *= state->share;
  }
}

double customer_limits::ShareOf(std::string_view name) const {
  const auto at = customers_.find(name);
  return at == customers_.end() ? 1.0 : at->second.share;
}

bool customer_limits::IsWithoutCoordinator(std::string_view name) const {
  const auto at = customers_.find(name);
  return at != customers_.end() && at->second.uses_equal_share;
}

}  // namespace cuminferry
