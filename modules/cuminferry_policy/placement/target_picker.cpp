#include "cuminferry_policy/placement/target_picker.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Random variation spreads requests over targets of nearly equal cost. Without it, all nodes would
// send to the same target until its next report.
constexpr double kCostJitter = 0.2;
// Avoids a division by zero; a declaration is forgotten long before.
constexpr double kMinTryRate = 0.001;

}  // namespace

void target_picker::SetTargets(const std::vector<published_target>& targets) {
  std::set<std::string_view> ids;
  for (const published_target& target : targets) {
    ids.insert(target.id);
  }
  std::vector<std::string> removed;
  for (const auto& [id, state] : targets_) {
    if (!ids.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    RemoveTarget(id);
  }
  for (const published_target& target : targets) {
    SetTarget(target);
  }
}

void target_picker::SetTarget(const published_target& target) {
  const auto [found, is_new] = targets_.try_emplace(target.id);
  target_state& state = found->second;
  if (!is_new && state.target.failure_domain != target.failure_domain) {
    RemoveFromDomain(found);
  }
  if (is_new || state.target.failure_domain != target.failure_domain) {
    targets_by_domain_[target.failure_domain].push_back(found);
  }
  if (state.target.started_millis != target.started_millis) {
    figures_.RemoveReport(target.id);
    state = {};
  }
  state.target = target;
}

void target_picker::RemoveFromDomain(target_map::iterator removed) {
  const auto domain = targets_by_domain_.find(removed->second.target.failure_domain);
  std::erase(domain->second, removed);
  if (domain->second.empty()) {
    targets_by_domain_.erase(domain);
  }
}

void target_picker::RemoveTarget(std::string_view id) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  figures_.RemoveReport(id);
  RemoveFromDomain(found);
  targets_.erase(found);
}

target_picker::target_state* target_picker::Find(std::string_view id) {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

// A target of which nothing was heard for a while is asked by one of its usual requests in five.
bool target_picker::IsTryDue(const target_state& state, instant now) const {
  const double usual_rate = picks_.RateAt(now) / static_cast<double>(targets_.size());
  const std::chrono::duration<double> interval(1.0 / std::max(kMinTryRate, kTryShare * usual_rate));
  return state.rate.IsTryDue(std::chrono::round<duration>(interval), now);
}

void target_picker::DrawFrom(std::span<draw_pool> pools, const request& wanted, std::size_t count,
                             instant now, random_source& random, candidates& drawn) const {
  std::size_t left = 0;
  for (const draw_pool& pool : pools) {
    left += pool.targets->size() - pool.next;
  }
  for (; left > 0 && drawn.available.size() < count; --left) {
    std::size_t number = random.Below(left);
    auto pool = pools.begin();
    while (number >= pool->targets->size() - pool->next) {
      number -= pool->targets->size() - pool->next;
      ++pool;
    }
    domain_targets& targets = *pool->targets;
    std::swap(targets[pool->next], targets[pool->next + number]);
    target_state& state = targets[pool->next++]->second;
    if (wanted.tried_targets.contains(state.target.id)) {
      continue;
    }
    const bool is_backing_off =
        now < state.backoff_until || wanted.cut_off(state.target.failure_domain);
    const bool has_turn = state.rate.HasTurn(now) || IsTryDue(state, now);
    if (!is_backing_off && has_turn) {
      drawn.available.push_back(&state);
      continue;
    }
    auto& unavailable = is_backing_off ? drawn.backing_off : drawn.over_rate;
    if (unavailable.size() < count) {
      unavailable.push_back(&state);
    }
  }
}

// Draws targets that the request may go to, at most `count` of them.
target_picker::candidates target_picker::DrawCandidates(const request& wanted, std::size_t count,
                                                        instant now, random_source& random) {
  std::vector<draw_pool> own;
  std::vector<draw_pool> others;
  for (auto& [domain, targets] : targets_by_domain_) {
    (domain == wanted.own_domain ? own : others).push_back({.targets = &targets});
  }
  candidates drawn;
  DrawFrom(own, wanted, std::min(kMinComparedInDomain, count), now, random, drawn);
  DrawFrom(others, wanted, count, now, random, drawn);
  DrawFrom(own, wanted, count, now, random, drawn);
  return drawn;
}

std::optional<picked_target> target_picker::Pick(const request& wanted, instant now,
                                                 random_source& random) {
  picks_.OnEvent(now);
  // The nodes agree on the target of a key only if each one knows all of them.
  const std::size_t count = wanted.rendezvous_key ? targets_.size() : kMaxCompared;
  candidates drawn = DrawCandidates(wanted, count, now, random);
  if (wanted.rendezvous_key) {
    // A declared rate must not let two nodes choose different targets: the request waits.
    drawn.available.insert(drawn.available.end(), drawn.over_rate.begin(), drawn.over_rate.end());
  }
  // A target that may have recovered is better than none, but one that declares a rate is
  // reachable.
  const bool is_over_rate = drawn.available.empty() && !drawn.over_rate.empty();
  const std::vector<target_state*>& candidates = !drawn.available.empty() ? drawn.available
                                                 : is_over_rate           ? drawn.over_rate
                                                                          : drawn.backing_off;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const target_state& picked = wanted.rendezvous_key
                                   ? *PickByRendezvousHash(candidates, *wanted.rendezvous_key)
                                   : *PickByCost(candidates, wanted, now, random);
  return picked_target{.target = picked.target,
                       .awaits_turn = is_over_rate || wanted.rendezvous_key.has_value(),
                       .declared = picked.rate.BeliefAt(now)};
}

target_picker::target_state* target_picker::PickByCost(const std::vector<target_state*>& candidates,
                                                       const request& wanted, instant now,
                                                       random_source& random) {
  figures_.RemoveStale(now);
  const double mean_service = figures_.MeanServiceMicros();
  const target_load::request sent{
      .own_domain = wanted.own_domain, .urgent = wanted.urgent, .body_bytes = wanted.body_bytes};
  target_state* best = nullptr;
  double best_cost = 0.0;
  for (target_state* const candidate : candidates) {
    if (IsTryDue(*candidate, now)) {
      return candidate;
    }
    const double cost = candidate->load.Cost(candidate->target, sent, mean_service,
                                             candidate->rate.UseAt(now), now) *
                        (1.0 + kCostJitter * random.Fraction());
    if (best == nullptr || cost < best_cost) {
      best = candidate;
      best_cost = cost;
    }
  }
  if (best->failures > 0) {
    // One request at a time tests whether the target is reachable again.
    best->backoff_until = now + kFirstBackoff;
  }
  return best;
}

// Highest random weight (rendezvous) hashing: if a target is added or removed, only the requests of
// that target move.
target_picker::target_state* target_picker::PickByRendezvousHash(
    const std::vector<target_state*>& candidates, std::uint64_t key) {
  const auto weight = [key](const target_state* candidate) {
    return random_source(DigestOf(candidate->target.id) ^ key).Next();
  };
  return *std::ranges::max_element(candidates, {}, weight);
}

bool target_picker::IsOutlier(std::string_view id, instant now) {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !found->second.load.IsFresh(now)) {
    return false;
  }
  figures_.RemoveStale(now);
  return found->second.load.report().success_ratio <
         kOutlierSuccessRatio * figures_.BestSuccessRatio();
}

bool target_picker::IsReachabilityUncertain(std::string_view id, instant now) const {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return true;
  }
  const target_state& state = found->second;
  return state.failures > 0 || !state.load.has_report() ||
         state.load.ReportAge(now) > kReachabilityTimeout;
}

void target_picker::OnSent(std::string_view id, instant now) {
  if (target_state* state = Find(id)) {
    state->load.OnSent();
    state->rate.OnSent(now);
  }
}

void target_picker::OnRateReport(std::string_view id, const std::optional<rate_report>& report,
                                 instant now) {
  if (target_state* state = Find(id)) {
    state->rate.OnReport(report, now);
  }
}

void target_picker::OnOverRate(std::string_view id, instant now) {
  if (target_state* state = Find(id)) {
    state->rate.OnTurnedAway(now);
  }
}

void target_picker::OnDone(std::string_view id) {
  if (target_state* state = Find(id)) {
    state->load.OnDone();
  }
}

void target_picker::OnReport(std::string_view id, const target_report& report, instant now) {
  if (target_state* state = Find(id)) {
    state->load.OnReport(report, now);
    figures_.SetReport(id, report, now);
    state->failures = 0;
    state->backoff_until = instant{};
  }
}

void target_picker::OnUnreachable(std::string_view id, instant now) {
  target_state* state = Find(id);
  if (state == nullptr) {
    return;
  }
  ++state->failures;
  if (state->failures >= kFailuresToBackOff) {
    const int doublings = static_cast<int>(std::min<std::uint32_t>(state->failures - 1, 3));
    state->backoff_until = now + std::min(kMaxBackoff, kFirstBackoff * (1 << doublings));
  }
}

void target_picker::OnTargetFull(std::string_view id, instant now) {
  if (target_state* state = Find(id)) {
    state->load.OnFull(now);
    figures_.SetReport(id, state->load.report(), now);
  }
}

}  // namespace cuminferry
