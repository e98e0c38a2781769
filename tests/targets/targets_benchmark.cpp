#include <benchmark/benchmark.h>

#include "chooser_harness.h"

namespace cuminferry {
namespace {

/** One choice and its bookkeeping, over a growing number of targets. */
void ChooseAmongTargets(benchmark::State& state) {
  testing::chooser_harness harness;
  std::vector<target_info> targets;
  for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(state.range(0)); ++number) {
    targets.push_back(testing::MakeTarget(number, number % 3 == 0 ? "east" : "west"));
  }
  harness.ApplyList(targets);
  for (auto step : state) {
    const auto chosen = harness.Choose();
    harness.chooser.OnSent(*chosen, harness.now);
    harness.chooser.OnEnded(*chosen, target_outcome::kAnswered, {10, 100}, harness.now);
  }
}
BENCHMARK(ChooseAmongTargets)->Arg(10)->Arg(100)->Arg(1000)->Arg(4000);

void ApplyInstanceList(benchmark::State& state) {
  testing::chooser_harness harness;
  std::vector<target_info> targets;
  for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(state.range(0)); ++number) {
    targets.push_back(testing::MakeTarget(number));
  }
  for (auto step : state) {
    harness.ApplyList(targets);
  }
}
BENCHMARK(ApplyInstanceList)->Arg(10)->Arg(1000);

/** Finds the row of a request, over a growing number of rows. */
void FindRowAmongRows(benchmark::State& state) {
  table_shard shard;
  for (std::int64_t row = 0; row < state.range(0); ++row) {
    shard.rows.push_back(
        {.method = "GET", .path_pattern = "/area-" + std::to_string(row) + "/{id}/part"});
  }
  shard.BuildIndex();
  const std::string path = "/area-" + std::to_string(state.range(0) - 1) + "/4711/part";
  for (auto step : state) {
    benchmark::DoNotOptimize(shard.FindRow("GET", path));
  }
}
BENCHMARK(FindRowAmongRows)->Arg(10)->Arg(100)->Arg(1000)->Arg(10'000);

}  // namespace
}  // namespace cuminferry
