#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/event_queue.h"

namespace cuminferry::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000'000);
constexpr std::size_t kDomains = 6;
constexpr std::uint32_t kSlots = 81;
constexpr double kSpeeds[] = {0.6, 1.0, 1.4};
constexpr duration kMeanRun = milliseconds(85);
constexpr duration kDelayInDomain = microseconds(100);
constexpr duration kDelayBetweenDomains = microseconds(1'400);
constexpr duration kWarmUp = seconds(6);
constexpr duration kMeasured = seconds(10);

duration FromSeconds(double span) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

/** Which targets a caller knows. */
struct placement_way {
  const char* name;
  /** Targets that each caller knows, half of them in its own failure domain; 0 for all. */
  std::size_t subset = 0;
  /** The caller draws one of them and heeds no report. */
  bool is_blind = false;
};

/** Many callers that place calls on a few targets, each by what it has heard itself. */
class placement_world {
 public:
  placement_world(const placement_way& way, std::size_t callers, std::size_t targets,
                  double utilisation)
      : way_(way), random_(1), events_(kStart), targets_(targets), pickers_(callers) {
    double capacity = 0.0;
    for (std::size_t number = 0; number < targets; ++number) {
      targets_[number].speed = kSpeeds[number / kDomains % std::size(kSpeeds)];
      capacity += kSlots / (ToSeconds(kMeanRun) * targets_[number].speed);
    }
    calls_per_second_ = utilisation * capacity;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      known_.push_back(TargetsOf(caller));
      for (const std::size_t target : known_.back()) {
        pickers_[caller].SetTarget({.id = std::to_string(target),
                                    .backend = {},
                                    .failure_domain = std::to_string(target % kDomains),
                                    .slots = kSlots});
      }
    }
  }

  void Run() {
    ScheduleCall();
    events_.RunUntil(kStart + kWarmUp + kMeasured);
  }

  void Print() {
    std::ranges::sort(waits_);
    std::uint64_t most = 0;
    double busiest = 0.0;
    for (const target& each : targets_) {
      most = std::max(most, each.calls);
      busiest = std::max(busiest, each.busy_seconds / (ToSeconds(kMeasured) * kSlots));
    }
    const auto calls = static_cast<double>(waits_.size());
    const double waited = calls - static_cast<double>(std::upper_bound(waits_.begin(), waits_.end(),
                                                                       duration::zero()) -
                                                      waits_.begin());
    std::printf(
        "  %-28s busiest target %.2f of the mean, %.2f of its slots; waited %.4f, "
        "p99 %6.1f ms; heard %.2f s before; other domains %.2f\n",
        way_.name, static_cast<double>(most) * static_cast<double>(targets_.size()) / calls,
        busiest, waited / calls, ToSeconds(waits_[waits_.size() * 99 / 100]) * 1000.0,
        heard_ages_ / std::max(1.0, static_cast<double>(heard_count_)),
        static_cast<double>(crossed_) / calls);
  }

 private:
  struct waiting_call {
    std::size_t caller = 0;
    instant arrived;
  };
  struct target {
    double speed = 1.0;
    std::uint32_t running = 0;
    std::deque<waiting_call> waiting;
    double mean_run_micros = 0.0;
    std::uint64_t calls = 0;
    double busy_seconds = 0.0;
  };

  // A subset of a caller's own: in the order of a hash, first of its failure domain.
  std::vector<std::size_t> TargetsOf(std::size_t caller) const {
    std::vector<std::size_t> all(targets_.size());
    std::iota(all.begin(), all.end(), 0);
    if (way_.subset == 0) {
      return all;
    }
    std::ranges::sort(all, {}, [caller](std::size_t number) {
      return random_source(caller * 1'000'003 + number).Next();
    });
    const auto others = std::stable_partition(all.begin(), all.end(), [caller](std::size_t number) {
      return number % kDomains == caller % kDomains;
    });
    std::vector<std::size_t> chosen;
    const auto half = static_cast<std::ptrdiff_t>(way_.subset / 2);
    chosen.insert(chosen.end(), all.begin(), std::min(all.begin() + half, others));
    chosen.insert(chosen.end(), others, std::min(others + half, all.end()));
    return chosen;
  }

  bool IsMeasured() const { return events_.now() >= kStart + kWarmUp; }

  static duration DelayBetween(std::size_t caller, std::size_t target) {
    return caller % kDomains == target % kDomains ? kDelayInDomain : kDelayBetweenDomains;
  }

  void ScheduleCall() {
    const double gap = -std::log(1.0 - random_.Fraction()) / calls_per_second_;
    events_.ScheduleAfter(FromSeconds(gap), [this] {
      Place(random_.Below(pickers_.size()));
      ScheduleCall();
    });
  }

  void Place(std::size_t caller) {
    const std::size_t to =
        way_.is_blind ? known_[caller][random_.Below(known_[caller].size())] : Pick(caller);
    const duration delay = DelayBetween(caller, to);
    crossed_ += IsMeasured() && delay == kDelayBetweenDomains ? 1 : 0;
    events_.ScheduleAfter(delay, [this, caller, to] {
      targets_[to].waiting.push_back({.caller = caller, .arrived = events_.now()});
      StartWaiting(to);
    });
  }

  std::size_t Pick(std::size_t caller) {
    const std::set<std::string> none;
    const auto picked = pickers_[caller].Pick(
        {.tried_targets = none, .own_domain = std::to_string(caller % kDomains)}, events_.now(),
        random_);
    pickers_[caller].OnSent(picked->target.id, events_.now());
    const std::size_t to = std::stoul(picked->target.id);
    const auto heard = heard_at_.find({caller, to});
    if (IsMeasured() && heard != heard_at_.end()) {
      heard_ages_ += ToSeconds(events_.now() - heard->second);
      ++heard_count_;
    }
    return to;
  }

  void StartWaiting(std::size_t number) {
    target& at = targets_[number];
    while (at.running < kSlots && !at.waiting.empty()) {
      const waiting_call call = at.waiting.front();
      at.waiting.pop_front();
      ++at.running;
      if (IsMeasured()) {
        waits_.push_back(events_.now() - call.arrived);
        ++at.calls;
      }
      const duration run = FromSeconds(ToSeconds(kMeanRun) * at.speed * (0.5 + random_.Fraction()));
      at.busy_seconds += IsMeasured() ? ToSeconds(run) : 0.0;
      events_.ScheduleAfter(run, [this, number, call, run] { OnRunEnd(number, call, run); });
    }
  }

  void OnRunEnd(std::size_t number, const waiting_call& call, duration run) {
    constexpr double kLatestWeight = 0.05;
    target& at = targets_[number];
    const auto micros = static_cast<double>(run.count());
    at.mean_run_micros = at.mean_run_micros == 0.0
                             ? micros
                             : at.mean_run_micros + kLatestWeight * (micros - at.mean_run_micros);
    --at.running;
    StartWaiting(number);
    const target_report report{
        .running = at.running,
        .waiting = static_cast<std::uint32_t>(at.waiting.size()),
        .limit = kSlots,
        .service_time = duration(static_cast<duration::rep>(at.mean_run_micros))};
    events_.ScheduleAfter(DelayBetween(call.caller, number), [this, number, call, report] {
      target_picker& picker = pickers_[call.caller];
      picker.OnDone(std::to_string(number));
      picker.OnReport(std::to_string(number), report, events_.now());
      heard_at_[{call.caller, number}] = events_.now();
    });
  }

  const placement_way way_;
  random_source random_;
  event_queue events_;
  std::vector<target> targets_;
  std::vector<target_picker> pickers_;
  // The targets that each caller knows.
  std::vector<std::vector<std::size_t>> known_;
  double calls_per_second_ = 0.0;
  std::vector<duration> waits_;
  std::map<std::pair<std::size_t, std::size_t>, instant> heard_at_;
  double heard_ages_ = 0.0;
  std::uint64_t heard_count_ = 0;
  std::uint64_t crossed_ = 0;
};

constexpr placement_way kWays[] = {{.name = "all targets, six compared"},
                                   {.name = "subset of eight", .subset = 8},
                                   {.name = "subset of sixteen", .subset = 16},
                                   {.name = "drawn, no report heeded", .is_blind = true}};

struct fleet_size {
  std::size_t callers;
  std::size_t targets;
};
constexpr fleet_size kSizes[] = {{100, 6}, {590, 30}, {1'200, 60}, {2'400, 120}};

// Compares ways to place calls where each of many callers hears little of each target.
void CompareWays() {
  for (const auto& [callers, targets] : kSizes) {
    for (const double utilisation : {0.1, 0.6, 0.9}) {
      std::printf("%zu callers, %zu targets, %.1f of the slots\n", callers, targets, utilisation);
      for (const placement_way& way : kWays) {
        placement_world world(way, callers, targets, utilisation);
        world.Run();
        world.Print();
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace cuminferry::testing

int main() {
  cuminferry::testing::CompareWays();
  return 0;
}
