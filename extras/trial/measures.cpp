#include "trial/measures.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace cuminferry::trial {
namespace {

using load::attempt_record;
using load::load_kind;
using load::load_outcome;
using load::load_plan;
using load::load_result;
using load::request_record;

constexpr char kBefore[] = "before";
constexpr char kSurge[] = "surge";
constexpr char kAfter[] = "after";
constexpr double kRecoveredShare = 0.95;
constexpr duration kRecoveryWindow = std::chrono::seconds(1);
constexpr duration kRecoveryStep = std::chrono::milliseconds(100);
constexpr duration kRefusalOrderInterval = std::chrono::milliseconds(250);
constexpr double kMicrosPerMilli = 1000.0;

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double Percentile(std::vector<duration>& sorted, double part) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto at = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[at].count()) / kMicrosPerMilli;
}

void CountOutcome(load_outcome outcome, row_measure& row) {
  switch (outcome) {
    case load_outcome::kSucceeded:
      ++row.well;
      break;
    case load_outcome::kFailed:
      ++row.failed;
      break;
    case load_outcome::kNotRun:
      ++row.not_run;
      break;
    case load_outcome::kUnknown:
      ++row.unknown;
      break;
    case load_outcome::kInvalidAnswer:
      ++row.foreign;
      break;
  }
}

std::size_t FindPhase(const load_plan& load, std::string_view name) {
  for (std::size_t at = 0; at < load.phases.size(); ++at) {
    if (load.phases[at].name == name) {
      return at;
    }
  }
  return load.phases.size();
}

row_measure MeasureRow(const load_plan& load, const load_result& result, std::size_t kind,
                       std::size_t phase) {
  row_measure row;
  row.row = load.kinds[kind].row;
  row.weight = load.kinds[kind].weight;
  row.phase = load.phases[phase].name;
  row.seconds = ToSeconds(load.phases[phase].length);
  std::vector<duration> latencies;
  for (const request_record& request : result.requests) {
    if (request.kind != kind || request.phase != phase) {
      continue;
    }
    ++row.offered;
    CountOutcome(request.outcome, row);
    if (request.outcome == load_outcome::kSucceeded) {
      row.in_time += request.latency() <= load.kinds[kind].deadline ? 1 : 0;
      latencies.push_back(request.latency());
    }
  }
  std::sort(latencies.begin(), latencies.end());
  row.p50_ms = Percentile(latencies, 0.5);
  row.p99_ms = Percentile(latencies, 0.99);
  return row;
}

void MeasureRows(const load_plan& load, const load_result& result, trial_measures& measures) {
  for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
    for (const char* phase : {kBefore, kSurge, kAfter}) {
      const std::size_t at = FindPhase(load, phase);
      if (at < load.phases.size()) {
        measures.rows.push_back(MeasureRow(load, result, kind, at));
      }
    }
  }
  std::stable_sort(
      measures.rows.begin(), measures.rows.end(),
      [](const row_measure& left, const row_measure& right) { return left.weight > right.weight; });
}

//==============================================================================
bool IsInTime(const load_plan& load, const request_record& request) {
  return request.outcome == load_outcome::kSucceeded &&
         request.latency() <= load.kinds[request.kind].deadline;
}

// Goodput in an interval. Requests are counted by the time of their answer, which is the rate that
// callers observe.
double GoodputWithin(const load_plan& load, const load_result& result,
                     const std::set<std::size_t>& kinds, duration from, duration to) {
  const auto well = std::count_if(result.requests.begin(), result.requests.end(),
                                  [&](const request_record& request) {
                                    return IsInTime(load, request) && request.ended >= from &&
                                           request.ended < to && kinds.count(request.kind) > 0;
                                  });
  return to > from ? static_cast<double>(well) / ToSeconds(to - from) : 0.0;
}

std::set<std::size_t> KindsUsingBottleneck(const deployment_plan& plan, const load_plan& load) {
  std::set<std::size_t> kinds;
  for (std::size_t at = 0; at < load.kinds.size(); ++at) {
    if (plan.VisitsOf(load.kinds[at], plan.bottleneck) > 0.0) {
      kinds.insert(at);
    }
  }
  return kinds;
}

std::set<std::size_t> AllKinds(const load_plan& load) {
  std::set<std::size_t> kinds;
  for (std::size_t at = 0; at < load.kinds.size(); ++at) {
    kinds.insert(at);
  }
  return kinds;
}

void MeasureGoodput(const deployment_plan& plan, const load_plan& load, const load_result& result,
                    trial_measures& measures) {
  measures.capacity = plan.Capacity();
  const std::size_t before = FindPhase(load, kBefore);
  const std::size_t surge = FindPhase(load, kSurge);
  const std::vector<duration>& starts = result.phase_starts;
  if (before < load.phases.size()) {
    measures.before_goodput =
        GoodputWithin(load, result, AllKinds(load), starts[before], starts[before + 1]);
  }
  if (surge < load.phases.size()) {
    measures.surge_goodput =
        GoodputWithin(load, result, AllKinds(load), starts[surge], starts[surge + 1]);
    measures.surge_bottleneck_goodput = GoodputWithin(
        load, result, KindsUsingBottleneck(plan, load), starts[surge], starts[surge + 1]);
  }
}

//==============================================================================
struct share_count {
  std::uint64_t arrived = 0;
  std::uint64_t well = 0;
  double share() const { return arrived > 0 ? Ratio(well, arrived) : 1.0; }
};

// The maximum latency of a prompt answer, by kind: twice the p99 before the surge.
using prompt_latencies = std::vector<duration>;

prompt_latencies PromptLatencies(const load_plan& load, const load_result& result,
                                 std::size_t phase) {
  prompt_latencies max_prompt_latency;
  for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
    const double p99_ms = MeasureRow(load, result, kind, phase).p99_ms;
    max_prompt_latency.push_back(
        p99_ms > 0.0 ? duration(static_cast<std::int64_t>(2 * p99_ms * kMicrosPerMilli))
                     : duration(load.kinds[kind].deadline));
  }
  return max_prompt_latency;
}

share_count CountArrivals(const load_result& result, const prompt_latencies& max_prompt_latency,
                          duration from, duration to) {
  share_count count;
  for (const request_record& request : result.requests) {
    if (request.arrived >= from && request.arrived < to) {
      ++count.arrived;
      const bool prompt = request.latency() <= max_prompt_latency[request.kind];
      count.well += request.outcome == load_outcome::kSucceeded && prompt ? 1 : 0;
    }
  }
  return count;
}

double MeasureRecovery(const load_plan& load, const load_result& result) {
  const std::size_t before = FindPhase(load, kBefore);
  const std::size_t after = FindPhase(load, kAfter);
  if (before == load.phases.size() || after == load.phases.size()) {
    return -1.0;
  }
  const std::vector<duration>& starts = result.phase_starts;
  const prompt_latencies max_prompt_latency = PromptLatencies(load, result, before);
  const double required_share =
      kRecoveredShare *
      CountArrivals(result, max_prompt_latency, starts[before], starts[before + 1]).share();
  const duration phase_end = starts[after + 1];
  for (duration at = starts[after]; at + kRecoveryWindow <= phase_end; at += kRecoveryStep) {
    if (CountArrivals(result, max_prompt_latency, at, at + kRecoveryWindow).share() >=
            required_share &&
        CountArrivals(result, max_prompt_latency, at, phase_end).share() >= required_share) {
      return ToSeconds(at - starts[after]);
    }
  }
  return -1.0;
}

void CountPerSecond(const load_plan& load, const load_result& result, trial_measures& measures) {
  for (const request_record& request : result.requests) {
    const auto second = static_cast<std::size_t>(ToSeconds(request.arrived));
    if (second >= measures.arrived_each_second.size()) {
      measures.arrived_each_second.resize(second + 1);
      measures.well_each_second.resize(second + 1);
    }
    ++measures.arrived_each_second[second];
    measures.well_each_second[second] += IsInTime(load, request) ? 1 : 0;
  }
}

//==============================================================================
std::string_view OutcomeName(load_outcome outcome) {
  constexpr std::string_view kNames[] = {"well", "failed", "not_run", "unknown", "foreign"};
  return kNames[static_cast<std::size_t>(outcome)];
}

void MeasureCodes(const load_result& result, trial_measures& measures) {
  std::map<std::pair<load_outcome, result_code>, std::uint64_t> counts;
  for (const request_record& request : result.requests) {
    for (const attempt_record& attempt : request.attempts) {
      if (attempt.outcome != load_outcome::kSucceeded) {
        ++counts[{attempt.outcome, attempt.code}];
      }
    }
  }
  for (const auto& [key, count] : counts) {
    measures.codes.push_back({std::string(OutcomeName(key.first)), key.second, count});
  }
  std::sort(measures.codes.begin(), measures.codes.end(),
            [](const code_count& left, const code_count& right) {
              return left.attempts > right.attempts;
            });
}

bool IsRefusalForLoad(const attempt_record& attempt) {
  return attempt.outcome == load_outcome::kNotRun &&
         (attempt.code == result_code::kRefusedOverload ||
          attempt.code == result_code::kRefusedInstanceOnly ||
          attempt.code == result_code::kFleetLimitReached);
}

// Counts, in intervals of kRefusalOrderInterval, the refusals of a row because of load while a row
// of lower weight that needs the same bottleneck was admitted and completed.
void MeasureRefusalOrder(const deployment_plan& plan, const load_plan& load,
                         const load_result& result, trial_measures& measures) {
  const std::set<std::size_t> bottleneck_kinds = KindsUsingBottleneck(plan, load);
  std::map<std::int64_t, std::uint16_t> lowest_admitted;
  std::uint16_t lowest = UINT16_MAX;
  for (const std::size_t kind : bottleneck_kinds) {
    lowest = std::min(lowest, load.kinds[kind].weight);
  }
  const auto for_each = [&](const auto& use) {
    for (const request_record& request : result.requests) {
      if (bottleneck_kinds.count(request.kind) == 0) {
        continue;
      }
      for (const attempt_record& attempt : request.attempts) {
        use(load.kinds[request.kind].weight, attempt, attempt.sent / kRefusalOrderInterval);
      }
    }
  };
  for_each([&](std::uint16_t weight, const attempt_record& attempt, std::int64_t bin) {
    if (attempt.outcome == load_outcome::kSucceeded) {
      const auto [at, made] = lowest_admitted.try_emplace(bin, weight);
      at->second = std::min(at->second, weight);
    }
  });
  for_each([&](std::uint16_t weight, const attempt_record& attempt, std::int64_t bin) {
    if (weight == lowest || !IsRefusalForLoad(attempt)) {
      return;
    }
    ++measures.refusals_above_lowest;
    const auto admitted = lowest_admitted.find(bin);
    measures.out_of_order += admitted != lowest_admitted.end() && admitted->second < weight ? 1 : 0;
  });
}

//==============================================================================
// Work of all backend servers for one attempt of a whole request.
struct attempt_work {
  std::map<std::string, std::uint32_t> runs;
  duration busy{0};
};

struct request_work {
  std::map<std::uint32_t, attempt_work> attempts;
  std::map<std::string, std::uint32_t> effects;
};

using work_by_request = std::unordered_map<std::string, request_work>;

work_by_request GroupWorkByRequest(const journal_contents& journal) {
  work_by_request work;
  for (const journal_entry& entry : journal.entries) {
    request_work& request = work[entry.request];
    if (entry.is_effect) {
      ++request.effects[entry.service];
    } else {
      attempt_work& attempt = request.attempts[entry.attempt];
      ++attempt.runs[entry.service];
      attempt.busy += entry.busy;
    }
  }
  return work;
}

load_outcome OutcomeOfAttempt(const request_record& request, std::uint32_t attempt) {
  return attempt < request.attempts.size() ? request.attempts[attempt].outcome
                                           : load_outcome::kUnknown;
}

struct work_sums {
  duration busy{0};
  duration wasted{0};
  std::uint64_t runs = 0;
  double expected_runs = 0.0;
};

void AddWork(const deployment_plan& plan, const load_kind& kind, const request_record& request,
             const request_work& work, work_sums& sums) {
  for (const auto& [number, attempt] : work.attempts) {
    sums.busy += attempt.busy;
    if (OutcomeOfAttempt(request, number) != load_outcome::kSucceeded) {
      sums.wasted += attempt.busy;
    }
    for (const auto& [service, runs] : attempt.runs) {
      sums.runs += runs;
      sums.expected_runs += plan.VisitsOf(kind, service);
    }
  }
}

// Counts non-idempotent requests that took effect twice, and attempts that were reported as not
// run but ran in the service to which the caller sent them.
void CountGuaranteeViolations(const load_kind& kind, const request_record& request,
                              const request_work& work, trial_measures& measures) {
  const auto effects = work.effects.find(kind.service);
  if (!kind.idempotent && effects != work.effects.end() && effects->second > 1) {
    ++measures.doubles;
  }
  for (const auto& [number, attempt] : work.attempts) {
    if (OutcomeOfAttempt(request, number) == load_outcome::kNotRun &&
        attempt.runs.count(kind.service) > 0) {
      ++measures.false_not_run;
    }
  }
}

void MeasureWork(const deployment_plan& plan, const load_plan& load, const load_result& result,
                 const journal_contents& journal, trial_measures& measures) {
  const work_by_request work = GroupWorkByRequest(journal);
  work_sums sums;
  for (const request_record& request : result.requests) {
    const load_kind& kind = load.kinds[request.kind];
    if (!kind.idempotent) {
      ++measures.filings;
      measures.unknown_filings += request.outcome == load_outcome::kUnknown ? 1 : 0;
    }
    measures.foreign += request.outcome == load_outcome::kInvalidAnswer ? 1 : 0;
    const auto found = work.find(request.name());
    if (found != work.end()) {
      AddWork(plan, kind, request, found->second, sums);
      CountGuaranteeViolations(kind, request, found->second, measures);
    }
  }
  measures.wasted_share =
      sums.busy.count() > 0 ? ToSeconds(sums.wasted) / ToSeconds(sums.busy) : 0.0;
  measures.run_amplification =
      sums.expected_runs > 0 ? static_cast<double>(sums.runs) / sums.expected_runs : 0.0;
  measures.unreadable_lines = journal.unreadable_line_count;
}

}  // namespace

trial_measures Measure(const deployment_plan& plan, const load_plan& load,
                       const load_result& result, const journal_contents& journal,
                       const node_counters& counters) {
  trial_measures measures;
  measures.seed = load.seed;
  measures.not_sent = result.not_sent;
  measures.worst_lag_ms = static_cast<double>(result.max_start_delay.count()) / kMicrosPerMilli;
  MeasureRows(load, result, measures);
  MeasureGoodput(plan, load, result, measures);
  MeasureRefusalOrder(plan, load, result, measures);
  MeasureWork(plan, load, result, journal, measures);
  CountPerSecond(load, result, measures);
  MeasureCodes(result, measures);
  measures.call_amplification = counters.called > 0 ? counters.attempts / counters.called : 0.0;
  measures.recovery_seconds = MeasureRecovery(load, result);
  return measures;
}

}  // namespace cuminferry::trial
