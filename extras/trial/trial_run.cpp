#include "trial/trial_run.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "load/load_runner.h"

namespace cuminferry::trial {
namespace {

constexpr std::chrono::milliseconds kWarmUp{2000};
constexpr std::size_t kSurgePhase = 2;

load::load_plan LoadFor(const deployment_plan& plan, const run_options& options) {
  load::load_plan load;
  load.kinds = plan.kinds;
  load.phases = {{"warm-up", kWarmUp, plan.rate},
                 {"before", options.before, plan.rate},
                 {"surge", options.surge_length, plan.rate * options.surge},
                 {"after", options.after, plan.rate}};
  load.manners = options.polite ? load::PoliteManners() : load::HardManners();
  // Without control nobody tells a caller what became of a filing that got no
  // answer, and people file again.
  load.manners.repeats_unknown = options.deployment.control != "full";
  load.seed = options.deployment.seed;
  return load;
}

journal_text ReadJournals(deployment& running) {
  journal_text journal;
  for (const running_target& target : running.targets()) {
    ReadJournal(running.JournalFileOf(target), target.service, journal);
  }
  return journal;
}

// Sums one counter of the text that /metrics answers, over its labels.
double SumOf(const std::string& metrics, const std::string& counter) {
  std::istringstream lines(metrics);
  std::string line;
  double sum = 0.0;
  while (std::getline(lines, line)) {
    const std::size_t value = line.rfind(' ');
    if (line.rfind(counter, 0) == 0 && value != std::string::npos) {
      sum += std::strtod(line.c_str() + value, nullptr);
    }
  }
  return sum;
}

node_counters ReadCounters(deployment& running) {
  node_counters counters;
  for (const running_target& target : running.targets()) {
    const std::string metrics = deployment::Ask(target.admin, "GET", "/metrics");
    counters.called += SumOf(metrics, "cuminferry_called_total");
    counters.attempts += SumOf(metrics, "cuminferry_attempts_total");
  }
  return counters;
}

}  // namespace

absl::StatusOr<trial_measures> RunTrial(const deployment_plan& plan, const run_options& options) {
  deployment::options chosen = options.deployment;
  chosen.heeds_deadlines = chosen.control == "full" || options.heeding_baselines;
  chosen.link_faults = chosen.link_faults || !options.faults.empty();
  auto started = deployment::Start(plan, chosen);
  if (!started.ok()) {
    return started.status();
  }
  deployment& running = **started;
  const load::load_plan load = LoadFor(plan, options);
  load::load_result result;
  {
    fault_player faults(running, plan);
    load::load_runner runner([&](std::string_view service) { return running.FrontsOf(service); });
    runner.OnPhase([&](std::size_t phase) {
      if (phase == kSurgePhase) {
        faults.Begin(options.faults, options.surge_length);
      }
    });
    result = runner.Run(load);
  }
  trial_measures measures =
      Measure(plan, load, result, ReadJournals(running), ReadCounters(running));
  measures.control = options.deployment.control;
  if (std::count(options.faults.begin(), options.faults.end(), fault_kind::kSlowDeep) > 0) {
    measures.capacity /= kSlowFactor;
  }
  return measures;
}

}  // namespace cuminferry::trial
