#include "cuminferry_policy/placement/target_picker.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Service time assumed until a target's first report.
constexpr duration kDefaultServiceTime = std::chrono::milliseconds(20);
// Time lost by a request that fails, because its retry waits and runs again, as a multiple of the
// mean service time.
constexpr double kFailureCostFactor = 20.0;
// Cost of a request to another failure domain: the network round trip plus a fraction of the mean
// service time. Traffic between failure domains is paid for, and an answer within its latency
// objective gains nothing by being earlier. The fraction is a third of what a full target costs
// more than an empty one (kUtilisationWeight), so that requests leave their failure domain once its
// target is about three quarters full. With a fraction of 0.3, and the square of the utilisation
// instead of its fourth power, nearly twice as many bytes crossed at twice the usual load: the cost
// of traffic between failure domains was 0.0384 instead of 0.0214 of the value of the completed
// requests.
constexpr double kOtherDomainMicros = 3'000.0;
constexpr double kOtherDomainServiceFraction = 0.5;
// Each byte that crosses between failure domains is paid for, and on a narrow link all other
// requests wait for it: an upload of 60 KB leaves its failure domain only to save more than 0.12 s.
constexpr double kOtherDomainMicrosPerByte = 2.0;
// A target whose node is stopping serves for some seconds and then refuses requests. It must cost
// more than a target with free slots, but less than a queue.
constexpr double kStoppingServiceFactor = 1.5;
// A target that is warming up takes about twice as long.
constexpr double kWarmUpServiceFactor = 2.0;
// Cost of a target whose slots are all taken, before any wait, in mean service times of the
// service. The same for slow and fast targets.
constexpr double kUtilisationWeight = 1.5;
// Fraction of a target's own service time that counts for a request that is not urgent.
constexpr double kNonUrgentServiceWeight = 0.25;
// Random variation spreads requests over targets of nearly equal cost. Without it, all nodes would
// send to the same target until its next report.
constexpr double kCostJitter = 0.2;
constexpr double kMinSuccessRatio = 0.05;

}  // namespace

void target_picker::SetTargets(const std::vector<published_target>& targets) {
  std::map<std::string, target_state, std::less<>> next;
  for (const published_target& target : targets) {
    const auto known = targets_.find(target.id);
    target_state state = known == targets_.end() ? target_state{} : known->second;
    state.target = target;
    next.emplace(target.id, std::move(state));
  }
  targets_ = std::move(next);
}

target_picker::target_state* target_picker::Find(std::string_view id) {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

double target_picker::MeanServiceTime(instant now) const {
  double sum = 0.0;
  int known = 0;
  for (const auto& [id, state] : targets_) {
    if (IsFresh(state, now)) {
      sum += static_cast<double>(state.report.service_time.count());
      ++known;
    }
  }
  return known == 0 ? static_cast<double>(kDefaultServiceTime.count()) : sum / known;
}

bool target_picker::IsFresh(const target_state& state, instant now) {
  return state.reported_at != instant{} && now - state.reported_at <= kMaxReportAge;
}

double target_picker::Cost(const target_state& state, const request& wanted, double mean_service,
                           instant now) const {
  const bool fresh = IsFresh(state, now);
  const double limit =
      std::max(1.0, fresh ? state.report.limit : static_cast<double>(state.target.slots));
  double service = fresh ? static_cast<double>(state.report.service_time.count()) : mean_service;
  if (!fresh && now < state.target.warmed_up_at) {
    service *= kWarmUpServiceFactor;
  }
  const double load = fresh ? static_cast<double>(state.report.running) + state.report.waiting +
                                  state.sent_since_report
                            : state.outstanding;
  const double utilisation = std::min(1.0, load / limit);
  const double wait = std::max(0.0, load + 1.0 - limit) / limit * service;
  const double success = std::max(kMinSuccessRatio, fresh ? state.report.success_ratio : 1.0);
  const double network_cost = state.target.failure_domain == wanted.own_domain
                                  ? 0.0
                                  : kOtherDomainMicros +
                                        kOtherDomainServiceFraction * mean_service +
                                        kOtherDomainMicrosPerByte * wanted.body_bytes;
  const double stopping_cost =
      fresh && state.report.stopping ? kStoppingServiceFactor * mean_service : 0.0;
  const double weighted_service = wanted.urgent ? service : kNonUrgentServiceWeight * service;
  return stopping_cost + network_cost + weighted_service +
         kUtilisationWeight * mean_service * utilisation * utilisation * utilisation * utilisation +
         wait + (1.0 / success - 1.0) * kFailureCostFactor * mean_service;
}

std::optional<published_target> target_picker::Pick(const request& wanted, instant now,
                                                    random_source& random) {
  std::vector<target_state*> available;
  std::vector<target_state*> backing_off;
  for (auto& [id, state] : targets_) {
    if (!wanted.tried_targets.contains(id)) {
      const bool is_backing_off =
          now < state.backoff_until || wanted.cut_off(state.target.failure_domain);
      (is_backing_off ? backing_off : available).push_back(&state);
    }
  }
  if (available.empty()) {
    // A target that may have recovered is better than none.
    available = backing_off;
  }
  if (available.empty()) {
    return std::nullopt;
  }
  if (wanted.rendezvous_key) {
    return PickByRendezvousHash(available, *wanted.rendezvous_key)->target;
  }
  const double mean_service = MeanServiceTime(now);
  const std::size_t compared = std::min(available.size(), kMaxCompared);
  target_state* best = nullptr;
  double best_cost = 0.0;
  for (std::size_t i = 0; i < compared; ++i) {
    if (available.size() > kMaxCompared) {
      std::swap(available[i], available[i + random.Below(available.size() - i)]);
    }
    const double cost =
        Cost(*available[i], wanted, mean_service, now) * (1.0 + kCostJitter * random.Fraction());
    if (best == nullptr || cost < best_cost) {
      best = available[i];
      best_cost = cost;
    }
  }
  if (best->failures > 0) {
    // One request at a time tests whether the target is reachable again.
    best->backoff_until = now + kFirstBackoff;
  }
  return best->target;
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

bool target_picker::IsOutlier(std::string_view id, instant now) const {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !IsFresh(found->second, now)) {
    return false;
  }
  double best = 0.0;
  for (const auto& [other, state] : targets_) {
    best = std::max(best, IsFresh(state, now) ? state.report.success_ratio : 0.0);
  }
  return found->second.report.success_ratio < kOutlierSuccessRatio * best;
}

bool target_picker::IsReachabilityUncertain(std::string_view id, instant now) const {
  const auto found = targets_.find(id);
  return found == targets_.end() || found->second.failures > 0 ||
         found->second.reported_at == instant{} ||
         now - found->second.reported_at > kReachabilityTimeout;
}

void target_picker::OnSent(std::string_view id) {
  if (target_state* state = Find(id)) {
    ++state->sent_since_report;
    ++state->outstanding;
  }
}

void target_picker::OnDone(std::string_view id) {
  target_state* state = Find(id);
  if (state != nullptr && state->outstanding > 0) {
    --state->outstanding;
  }
}

void target_picker::OnReport(std::string_view id, const target_report& report, instant now) {
  if (target_state* state = Find(id)) {
    state->report = report;
    state->reported_at = now;
    state->sent_since_report = 0;
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
    state->report.running = std::max(state->report.running, state->report.limit);
    state->reported_at = now;
  }
}

}  // namespace cuminferry
