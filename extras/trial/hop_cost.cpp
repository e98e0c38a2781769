#include "trial/hop_cost.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <vector>

#include "load/load_runner.h"
#include "trial/deployment.h"
#include "trial/journal_reader.h"

namespace cuminferry::trial {
namespace {

constexpr int kExitStart = 4;
constexpr int kExitPlan = 3;
constexpr std::chrono::seconds kWarmUp{2};
constexpr std::chrono::seconds kMeasuredLength{8};
constexpr double kMicrosPerMilli = 1000.0;

struct latency {
  double p50_ms = 0.0;
  double p99_ms = 0.0;
  std::size_t count = 0;
};

latency LatencyOf(std::vector<duration> times) {
  std::sort(times.begin(), times.end());
  const auto at = [&](double part) {
    return static_cast<double>(
               times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))]
                   .count()) /
           kMicrosPerMilli;
  };
  return times.empty() ? latency{} : latency{at(0.5), at(0.99), times.size()};
}

load::load_plan MakeLoad(const load::load_kind& kind, double rate) {
  load::load_plan load;
  load.kinds = {kind};
  load.phases = {{"warm-up", kWarmUp, rate}, {"measured", kMeasuredLength, rate}};
  return load;
}

// Finds a kind of request whose first service makes exactly one call, and that to the bottleneck.
const load::load_kind* FindKindCallingBottleneck(const deployment_plan& plan) {
  for (const load::load_kind& kind : plan.kinds) {
    const service_plan* entry = plan.FindService(kind.service);
    for (const stand_ins::request_kind& work : entry->kinds) {
      request_row row;
      row.method = work.method;
      row.path_pattern = work.path;
      if (row.Matches(kind.method, kind.path) && work.calls.size() == 1 &&
          work.calls.front().service == plan.bottleneck) {
        return &kind;
      }
    }
  }
  return nullptr;
}

// Latency of the outgoing calls of completed requests that arrived after the warm-up.
latency OutgoingCallLatency(deployment& running, const load::load_kind& kind,
                            const load::load_result& result) {
  std::set<std::string> measured;
  for (const load::request_record& request : result.requests) {
    if (request.phase == 1 && request.outcome == load::load_outcome::kSucceeded) {
      measured.insert(request.name());
    }
  }
  std::vector<duration> times;
  for (const running_target* target : running.TargetsOf(kind.service)) {
    journal_contents journal;
    ReadJournal(running.JournalFileOf(*target), target->service, journal);
    for (const journal_entry& entry : journal.entries) {
      if (!entry.is_effect && measured.count(entry.request) > 0) {
        times.push_back(entry.waited);
      }
    }
  }
  return LatencyOf(std::move(times));
}

latency WholeRequestLatency(const load::load_result& result) {
  std::vector<duration> times;
  for (const load::request_record& request : result.requests) {
    if (request.phase == 1 && request.outcome == load::load_outcome::kSucceeded) {
      times.push_back(request.latency());
    }
  }
  return LatencyOf(std::move(times));
}

load::load_result RunDirectCalls(deployment& running, const deployment_plan& plan, double rate) {
  load::load_kind direct;
  direct.service = plan.bottleneck;
  const stand_ins::request_kind& work = plan.FindService(plan.bottleneck)->kinds.front();
  direct.method = work.method;
  direct.path = work.path.substr(0, work.path.find('{')) + "{n}";
  load::load_runner runner([&](std::string_view service) {
    std::vector<endpoint> backends;
    for (const running_target* target : running.TargetsOf(service)) {
      backends.push_back(target->backend);
    }
    return backends;
  });
  return runner.Run(MakeLoad(direct, rate));
}

void PrintLatency(const char* what, const latency& measured) {
  std::printf("%-34s %7zu calls, p50 %6.2f ms, p99 %6.2f ms\n", what, measured.count,
              measured.p50_ms, measured.p99_ms);
}

}  // namespace

int RunHopCost(const deployment_plan& plan, const std::string& program_folder, double rate) {
  const load::load_kind* kind = FindKindCallingBottleneck(plan);
  if (kind == nullptr) {
    std::printf("no kind of request calls %s directly\n", plan.bottleneck.c_str());
    return kExitPlan;
  }
  auto started = deployment::Start(plan, {.program_folder = program_folder});
  if (!started.ok()) {
    std::printf("%s\n", std::string(started.status().message()).c_str());
    return kExitStart;
  }
  deployment& running = **started;
  for (const service_plan& service : plan.services) {
    running.SetSlowdown(service.name, 0.0);
  }
  const latency direct = WholeRequestLatency(RunDirectCalls(running, plan, rate));
  load::load_runner runner([&](std::string_view service) { return running.FrontsOf(service); });
  const latency hops = OutgoingCallLatency(running, *kind, runner.Run(MakeLoad(*kind, rate)));
  std::printf("%s, %s calling %s, %.0f calls/s, backend servers work for no time\n",
              plan.name.c_str(), kind->service.c_str(), plan.bottleneck.c_str(), rate);
  PrintLatency("direct call of the backend server", direct);
  PrintLatency("call through two nodes", hops);
  std::printf("added by two nodes: p50 %.2f ms, p99 %.2f ms\n", hops.p50_ms - direct.p50_ms,
              hops.p99_ms - direct.p99_ms);
  return 0;
}

}  // namespace cuminferry::trial
