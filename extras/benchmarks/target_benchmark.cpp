#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "allocation_count.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::benchmarks {
namespace {

/** A call sent to the chosen one of so many targets, and its reply. */
void ChooseAndEnd(benchmark::State& state) {
  std::vector<target_info> targets(static_cast<std::size_t>(state.range(0)));
  for (std::size_t place = 0; place < targets.size(); ++place) {
    targets[place].address = {0x7f000001, static_cast<std::uint16_t>(1000 + place)};
    targets[place].instance = "instance" + std::to_string(place);
    targets[place].failure_domain = place % 4 == 0 ? "halle-nord" : "pumpwerk";
    targets[place].region = "schwaben-nord";
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
  for (int warm = 0; warm < 10'000; ++warm) {
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
