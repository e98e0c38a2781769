#include "relay/suspect_world.h"

#include <algorithm>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrashingPath = 0;
constexpr int kMaxAttempts = 3;

}  // namespace

struct suspect_world::request {
  std::uint64_t id = 0;
  std::uint64_t path_number = 0;
  request_digest digest;
  std::uint64_t route_hash = 0;
  std::size_t ingress = 0;
  bool is_suspect = false;
  bool idempotent = true;
  std::vector<const node*> tried_targets;
  // The incarnation of the target that runs the request.
  int incarnation = 0;
};

struct suspect_world::node {
  suspect_registry registry;
  suspect_isolation isolation;
  std::map<std::uint64_t, shared_request> running_runs;
  std::map<std::uint64_t, shared_request> waiting_runs;
  std::uint64_t rank_seed = 0;
  bool is_up = true;
  int incarnation = 0;
};

suspect_world::suspect_world(std::uint64_t seed, crash_cause cause) : random_(seed), cause_(cause) {
  const std::size_t targets = 4 + random_.Below(37);
  for (std::size_t index = 0; index < targets; ++index) {
    nodes_.push_back(std::make_unique<node>());
    nodes_.back()->rank_seed = random_.Next();
  }
  // Each target gets 10 to 100 requests a second on average. Some requests occur repeatedly.
  arrival_interval_ =
      DrawDuration(milliseconds(10), milliseconds(100)) / static_cast<duration::rep>(targets);
  crashing_interval_ = DrawDuration(milliseconds(300), seconds(6));
  path_count_ = 20 + random_.Below(5'000);
}

suspect_world::~suspect_world() = default;

void suspect_world::ScheduleAt(instant when, std::function<void()> action) {
  scheduled_.emplace(when, std::move(action));
}

duration suspect_world::DrawDuration(duration shortest, duration longest) {
  const auto span = static_cast<std::uint64_t>((longest - shortest).count());
  return shortest + duration(static_cast<duration::rep>(random_.Below(span + 1)));
}

void suspect_world::Run() {
  const instant stop = now_ + kSimulatedSpan;
  ArriveInnocent();
  ScheduleAt(now_ + seconds(1), [this] {
    if (cause_ == crash_cause::kRequest) {
      ArriveCrashing();
    } else {
      CrashAtRandom();
    }
  });
  while (!scheduled_.empty() && scheduled_.begin()->first < stop) {
    auto next = scheduled_.extract(scheduled_.begin());
    now_ = next.key();
    next.mapped()();
  }
}

void suspect_world::CrashAtRandom() {
  std::size_t crash_count = cause_ == crash_cause::kSimultaneous ? nodes_.size() / 2 : 1;
  while (crash_count-- > 0) {
    node& target = *nodes_[random_.Below(nodes_.size())];
    ScheduleAt(now_ + DrawDuration(duration(1), milliseconds(20)), [this, &target] {
      if (target.is_up) {
        Crash(target);
      }
    });
  }
  ScheduleAt(now_ + DrawDuration(duration(1), seconds(4)), [this] { CrashAtRandom(); });
}

suspect_world::shared_request suspect_world::MakeRequest(std::uint64_t path_number) {
  auto request_made = std::make_shared<request>();
  request_made->id = ++last_id_;
  request_made->path_number = path_number;
  const std::string path = std::to_string(path_number);
  request_made->digest = request_digest::Of({.path = path});
  request_made->route_hash = RouteHashOf({.path = path});
  request_made->ingress = random_.Below(nodes_.size());
  request_made->idempotent = path_number == kCrashingPath || random_.Below(5) > 0;
  return request_made;
}

void suspect_world::ArriveInnocent() {
  Dispatch(MakeRequest(1 + random_.Below(path_count_)));
  ScheduleAt(now_ + DrawDuration(duration(1), 2 * arrival_interval_), [this] { ArriveInnocent(); });
}

// Sends candidate to three copies within half a second, as a client that repeats does.
void suspect_world::ArriveCrashing() {
  const std::uint64_t copy_count = 1 + random_.Below(3);
  for (std::uint64_t copy = 0; copy < copy_count; ++copy) {
    ScheduleAt(now_ + static_cast<duration::rep>(copy) * milliseconds(200),
               [this] { Dispatch(MakeRequest(kCrashingPath)); });
  }
  ScheduleAt(now_ + seconds(1) + DrawDuration(duration(1), 2 * crashing_interval_),
             [this] { ArriveCrashing(); });
}

void suspect_world::Refuse(const request& run) {
  innocents_refused_ += run.path_number == kCrashingPath ? 0 : 1;
}

void suspect_world::Dispatch(const shared_request& run) {
  const suspect_registry& registry = nodes_[run->ingress]->registry;
  const suspect_status status = registry.HasRouteHash(run->route_hash)
                                    ? registry.StatusOf(run->digest, now_)
                                    : suspect_status::kNotSuspected;
  if (status == suspect_status::kBlocked) {
    Refuse(*run);
    return;
  }
  run->is_suspect = run->is_suspect || status == suspect_status::kIsolated;
  std::vector<node*> available;
  for (const auto& candidate : nodes_) {
    if (candidate->is_up &&
        std::ranges::find(run->tried_targets, candidate.get()) == run->tried_targets.end()) {
      available.push_back(candidate.get());
    }
  }
  if (available.empty() || run->tried_targets.size() >= kMaxAttempts) {
    return;
  }
  node* target = available[random_.Below(available.size())];
  if (run->is_suspect) {
    target = *std::ranges::max_element(available, {}, [&](const node* candidate) {
      return random_source(candidate->rank_seed ^ run->digest.first_64_bits()).Next();
    });
  }
  run->tried_targets.push_back(target);
  ScheduleAt(now_ + DrawDuration(milliseconds(1), milliseconds(4)),
             [this, target, run] { ArriveAtTarget(*target, run); });
}

void suspect_world::ArriveAtTarget(node& target, const shared_request& run) {
  if (!target.is_up) {
    run->tried_targets.pop_back();
    Dispatch(run);
    return;
  }
  if (!run->is_suspect) {
    Start(target, run);
    return;
  }
  if (target.registry.StatusOf(run->digest, now_) == suspect_status::kBlocked) {
    Refuse(*run);
    return;
  }
  target.isolation.SetSuspectCount(target.registry.CountCrashedSince(now_ - seconds(2)));
  if (target.isolation.TryStart({.id = run->id,
                                 .digest = run->digest,
                                 .crashes = target.registry.CrashCountOf(run->digest)})) {
    Start(target, run);
  } else {
    target.waiting_runs.emplace(run->id, run);
  }
}

void suspect_world::Start(node& target, const shared_request& run) {
  run->incarnation = target.incarnation;
  target.running_runs.emplace(run->id, run);
  const bool is_crashing = run->path_number == kCrashingPath;
  const duration run_time = is_crashing ? DrawDuration(milliseconds(20), milliseconds(100))
                                        : DrawDuration(milliseconds(20), milliseconds(200));
  ScheduleAt(now_ + run_time, [this, &target, run, is_crashing] {
    if (run->incarnation != target.incarnation || !target.running_runs.contains(run->id)) {
      return;
    }
    if (is_crashing) {
      Crash(target);
    } else {
      Finish(target, run);
    }
  });
}

void suspect_world::Finish(node& target, const shared_request& run) {
  target.running_runs.erase(run->id);
  ++innocents_served_;
  if (run->is_suspect) {
    Announce(target, {{.event_kind = suspect_event::kind::kCleared,
                       .digest = run->digest,
                       .route_hash = run->route_hash}});
  }
  LeaveIsolation(target, *run);
}

void suspect_world::LeaveIsolation(node& target, const request& run) {
  for (const std::uint64_t id : target.isolation.Remove(run.id)) {
    const auto next = target.waiting_runs.extract(id);
    const bool is_blocked =
        target.registry.StatusOf(next.mapped()->digest, now_) == suspect_status::kBlocked;
    if (!is_blocked && target.is_up) {
      Start(target, next.mapped());
      continue;
    }
    target.isolation.Remove(id);
    if (is_blocked) {
      Refuse(*next.mapped());
    } else {
      Dispatch(next.mapped());
    }
  }
}

void suspect_world::Crash(node& target) {
  ++crashes_;
  ++target.incarnation;
  target.is_up = false;
  std::map<std::uint64_t, shared_request> lost_runs = std::exchange(target.running_runs, {});
  std::map<std::uint64_t, shared_request> waiting_runs = std::exchange(target.waiting_runs, {});
  target.isolation = {};
  std::vector<suspect_registry::running_request> running_runs;
  for (const auto& [id, run] : lost_runs) {
    running_runs.push_back(
        {.digest = run->digest, .route_hash = run->route_hash, .isolated = run->is_suspect});
  }
  const auto events = target.registry.EventsOfCrash(random_.Next(), running_runs, now_);
  Announce(target, events);
  lost_runs.merge(waiting_runs);
  for (const auto& [id, run] : lost_runs) {
    const bool is_blocked = target.registry.StatusOf(run->digest, now_) == suspect_status::kBlocked;
    run->is_suspect = true;
    if (is_blocked) {
      Refuse(*run);
    } else if (run->idempotent) {
      Dispatch(run);
    }
  }
  ScheduleAt(now_ + DrawDuration(seconds(1), seconds(5)), [&target] { target.is_up = true; });
}

void suspect_world::Announce(node& from, const std::vector<suspect_event>& events) {
  for (const auto& candidate : nodes_) {
    const bool is_late = random_.Below(20) == 0;
    const duration delay = candidate.get() == &from ? duration::zero()
                           : is_late                ? duration(seconds(1))
                                     : DrawDuration(milliseconds(2), milliseconds(20));
    const auto apply = [this, receiver = candidate.get(), events, sent = now_] {
      for (suspect_event event : events) {
        event.age_micros += (now_ - sent).count();
        receiver->registry.Apply(event, now_);
      }
    };
    if (delay == duration::zero()) {
      apply();
    } else {
      ScheduleAt(now_ + delay, apply);
    }
  }
}

}  // namespace cuminferry::testing
