#include "trial/trial_run.h"

#include <algorithm>
#include <utility>

#include "load/load_runner.h"
#include "trial/process_cost.h"

namespace cuminferry::trial {
namespace {

constexpr std::chrono::milliseconds kWarmUp{2000};
constexpr std::size_t kSurgePhase = 2;

load::load_plan MakeLoad(const deployment_plan& plan, const run_options& options) {
  load::load_plan load;
  load.kinds = plan.kinds;
  load.phases = {{"warm-up", kWarmUp, plan.rate},
                 {"before", options.before_length, plan.rate},
                 {"surge", options.surge_length, plan.rate * options.surge_factor},
                 {"after", options.after_length, plan.rate}};
  load.retries = options.polite ? load::CooperativeRetryPolicy() : load::AggressiveRetryPolicy();
  // Without full control a caller can't query the outcome of a request that got no answer, and
  // users submit the request again.
  load.retries.retries_unknown = options.deployment.control != "full";
  load.seed = options.deployment.seed;
  return load;
}

journal_contents ReadJournals(deployment& running) {
  journal_contents journal;
  for (const running_target& target : running.targets()) {
    ReadJournal(running.JournalFileOf(target), target.service, journal);
  }
  return journal;
}

node_counters ReadCounters(deployment& running) {
  node_counters counters;
  for (const running_target& target : running.targets()) {
    const std::string metrics = deployment::SendRequest(target.admin, "GET", "/metrics");
    counters.called += SumOfCounter(metrics, "cuminferry_called_total");
    counters.attempts += SumOfCounter(metrics, "cuminferry_attempts_total");
  }
  return counters;
}

}  // namespace

absl::StatusOr<trial_measures> RunTrial(const deployment_plan& plan, const run_options& options) {
  deployment::options start_options = options.deployment;
  start_options.honors_deadlines = start_options.control == "full" || options.heeding_baselines;
  start_options.link_faults = start_options.link_faults || !options.faults.empty();
  auto started = deployment::Start(plan, start_options);
  if (!started.ok()) {
    return started.status();
  }
  deployment& running = **started;
  const load::load_plan load = MakeLoad(plan, options);
  load::load_result result;
  std::vector<nodes_usage> usage;
  {
    fault_injector faults(running, plan);
    load::load_runner runner([&](std::string_view service) { return running.FrontsOf(service); });
    runner.OnPhase([&](std::size_t phase) {
      usage.push_back(ReadUsage(running));
      if (phase == kSurgePhase) {
        faults.Begin(options.faults, options.surge_length);
      }
    });
    result = runner.Run(load);
  }
  usage.push_back(ReadUsage(running));
  trial_measures measures =
      Measure(plan, load, result, ReadJournals(running), ReadCounters(running));
  measures.control = options.deployment.control;
  // The costs of the warm-up, phase 0, are not reported.
  for (std::size_t phase = 1; phase + 1 < usage.size(); ++phase) {
    measures.costs.push_back(CostBetween(load.phases[phase].name, usage[phase], usage[phase + 1]));
  }
  if (std::count(options.faults.begin(), options.faults.end(), fault_kind::kSlowDeep) > 0) {
    measures.capacity /= kSlowFactor;
  }
  return measures;
}

}  // namespace cuminferry::trial
