#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "allocation_count.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::benchmarks {
namespace {

/** Chooses one of range(0) targets, sends a call and receives its answer. */
void ChooseAndEnd(benchmark::State& state) {
  std::vector<target_info> targets(static_cast<std::size_t>(state.range(0)));
  for (std::size_t index = 0; index < targets.size(); ++index) {
    targets[index].address = {0x7f000001, static_cast<std::uint16_t>(1000 + index)};
    targets[index].instance = "instance" + std::to_string(index);
    targets[index].failure_domain = index % 4 == 0 ? "halle-nord" : "pumpwerk";
    targets[index].region = "schwaben-nord";
  }
  target_chooser chooser({"halle-nord", "schwaben-nord", 16, 1});
  instant now = FromMicros(1'000'000);
  chooser.UseTargets("soil-moisture", targets, now);
  for (const target_info& target : targets) {
    chooser.MarkReachable(target.address, now);
  }
  random_source random(1);
  const auto one_call = [&] {
    now += duration(100);
    const std::optional<endpoint> chosen = chooser.Choose("soil-moisture", {}, now, random);
    if (chosen.has_value()) {
      chooser.OnSent(*chosen, now);
      chooser.OnEnded(*chosen, target_outcome::kAnswered, {1, 20}, now);
    }
  };
  for (int iteration = 0; iteration < 10'000; ++iteration) {
    one_call();
  }
  const allocation_meter meter(state);
  for (auto unused : state) {
    one_call();
  }
}
BENCHMARK(ChooseAndEnd)->Arg(10)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace cuminferry::benchmarks
