#include "cuminferry_policy/placement/target_picker.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Until a target's first report.
constexpr duration kAssumedServiceTime = std::chrono::milliseconds(20);
// Time lost by a request that fails: what its retry waits and runs again, as a
// multiple of the target's own time.
constexpr double kFailureCost = 20.0;
// A request to another failure domain: the way there and back, and a part of the mean
// service time. What crosses between failure domains is paid for, and an answer within its
// objective is worth no more for being earlier. A third of what a full target is dearer
// than an empty one (kFillWeight), so that requests leave their failure domain once its
// target is about three quarters full. With 0.3, and the square of the fill, nearly twice as
// many bytes crossed at twice the usual load (0.0384 and 0.0214 of worth).
constexpr double kOtherDomainMicros = 3'000.0;
constexpr double kOtherDomainPart = 0.5;
// Each byte that crosses between failure domains is paid for, and on a narrow link
// all others wait for it: an upload of 60 KB leaves its failure domain only to save
// more than 0.12 s.
constexpr double kOtherDomainMicrosPerByte = 2.0;
// A target whose node stops serves on for seconds and then turns requests away: it is
// dearer than a free one, not than a queue.
constexpr double kStoppingPart = 1.5;
// A cold target takes about twice as long.
constexpr double kColdFactor = 2.0;
// How much dearer a target is whose slots are all taken, before any wait, in mean
// service times of the service. The same for slow and fast targets.
constexpr double kFillWeight = 1.5;
// Part of a target's own time that counts for a request with time to spare.
constexpr double kOwnTimePart = 0.25;
// Targets of nearly equal cost are taken in turn, or all nodes would send to
// the same one until its next report.
constexpr double kJitter = 0.2;
constexpr double kLeastSuccess = 0.05;

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
  return known == 0 ? static_cast<double>(kAssumedServiceTime.count()) : sum / known;
}

bool target_picker::IsFresh(const target_state& state, instant now) {
  return state.reported_at != instant{} && now - state.reported_at <= kReportAge;
}

double target_picker::Cost(const target_state& state, const request& wanted, double mean_service,
                           instant now) const {
  const bool fresh = IsFresh(state, now);
  const double limit =
      std::max(1.0, fresh ? state.report.limit : static_cast<double>(state.target.slots));
  double service = fresh ? static_cast<double>(state.report.service_time.count()) : mean_service;
  if (!fresh && now < state.target.warm_from) {
    service *= kColdFactor;
  }
  const double there =
      fresh ? static_cast<double>(state.report.running) + state.report.waiting + state.sent_since
            : state.outstanding;
  const double fill = std::min(1.0, there / limit);
  const double wait = std::max(0.0, there + 1.0 - limit) / limit * service;
  const double success = std::max(kLeastSuccess, fresh ? state.report.success : 1.0);
  const double network = state.target.failure_domain == wanted.own_domain
                             ? 0.0
                             : kOtherDomainMicros + kOtherDomainPart * mean_service +
                                   kOtherDomainMicrosPerByte * wanted.bytes;
  const double stopping = fresh && state.report.stopping ? kStoppingPart * mean_service : 0.0;
  const double own_time = wanted.urgent ? service : kOwnTimePart * service;
  return stopping + network + own_time + kFillWeight * mean_service * fill * fill * fill * fill +
         wait + (1.0 / success - 1.0) * kFailureCost * mean_service;
}

std::optional<published_target> target_picker::Pick(const request& wanted, instant now,
                                                    random_source& random) {
  std::vector<target_state*> open;
  std::vector<target_state*> resting;
  for (auto& [id, state] : targets_) {
    if (!wanted.tried.contains(id)) {
      const bool rests = now < state.rests_until || wanted.cut_off(state.target.failure_domain);
      (rests ? resting : open).push_back(&state);
    }
  }
  if (open.empty()) {
    // Better a target that may be back than none.
    open = resting;
  }
  if (open.empty()) {
    return std::nullopt;
  }
  if (wanted.same_for) {
    return Same(open, *wanted.same_for)->target;
  }
  const double mean_service = MeanServiceTime(now);
  const std::size_t compared = std::min(open.size(), kCompared);
  target_state* best = nullptr;
  double best_cost = 0.0;
  for (std::size_t i = 0; i < compared; ++i) {
    if (open.size() > kCompared) {
      std::swap(open[i], open[i + random.Below(open.size() - i)]);
    }
    const double cost =
        Cost(*open[i], wanted, mean_service, now) * (1.0 + kJitter * random.Fraction());
    if (best == nullptr || cost < best_cost) {
      best = open[i];
      best_cost = cost;
    }
  }
  if (best->failures > 0) {
    // One request at a time finds out whether it is back.
    best->rests_until = now + kFirstRest;
  }
  return best->target;
}

// Highest random weight: where a target comes or goes, only its own requests move.
target_picker::target_state* target_picker::Same(const std::vector<target_state*>& among,
                                                 std::uint64_t number) {
  const auto weight = [number](const target_state* one) {
    return random_source(DigestOf(one->target.id) ^ number).Next();
  };
  return *std::ranges::max_element(among, {}, weight);
}

bool target_picker::IsPassedOver(std::string_view id, instant now) const {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !IsFresh(found->second, now)) {
    return false;
  }
  double best = 0.0;
  for (const auto& [other, state] : targets_) {
    best = std::max(best, IsFresh(state, now) ? state.report.success : 0.0);
  }
  return found->second.report.success < kPassedOverShare * best;
}

bool target_picker::IsDoubtful(std::string_view id, instant now) const {
  const auto found = targets_.find(id);
  return found == targets_.end() || found->second.failures > 0 ||
         found->second.reported_at == instant{} || now - found->second.reported_at > kDoubtAfter;
}

void target_picker::OnSent(std::string_view id) {
  if (target_state* state = Find(id)) {
    ++state->sent_since;
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
    state->sent_since = 0;
    state->failures = 0;
    state->rests_until = instant{};
  }
}

void target_picker::OnUnreachable(std::string_view id, instant now) {
  target_state* state = Find(id);
  if (state == nullptr) {
    return;
  }
  ++state->failures;
  if (state->failures >= kFailuresToRest) {
    const int doublings = static_cast<int>(std::min<std::uint32_t>(state->failures - 1, 3));
    state->rests_until = now + std::min(kLongestRest, kFirstRest * (1 << doublings));
  }
}

void target_picker::OnFull(std::string_view id, instant now) {
  if (target_state* state = Find(id)) {
    state->report.running = std::max(state->report.running, state->report.limit);
    state->reported_at = now;
  }
}

}  // namespace cuminferry
