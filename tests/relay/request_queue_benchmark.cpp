#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

#include "cuminferry_policy/cuminferry_policy.h"

namespace {

std::size_t allocation_count = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocation_count;
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace cuminferry {
namespace {

// Waiting requests for each slot in use.
constexpr std::uint32_t kWaitingPerSlot = 6;
constexpr duration kServiceTime = std::chrono::milliseconds(20);

/** A gate with a constant number of waiting requests of four priorities, a third of them nested. */
struct loaded_gate {
  loaded_gate(queue_order order, std::uint32_t waiting) : gate(waiting / kWaitingPerSlot) {
    gate.SetOrder(order);
    while (gate.waiting() < waiting) {
      Offer();
    }
  }

  slot_verdict Offer() {
    // The gate's slots end kServiceTime after their start, one after the other.
    now += kServiceTime / gate.limit();
    const auto objective = std::chrono::milliseconds(500 + random.Below(5'000));
    return gate.Offer({.id = ++id,
                       .priority = static_cast<std::uint32_t>(random.Below(4)),
                       .nested = random.Below(3) == 0,
                       .deadline_left = 3 * objective,
                       .objective_left = objective,
                       .objective = objective},
                      now);
  }

  random_source random{1};
  slot_gate gate;
  std::uint64_t id = 0;
  instant now = FromMicros(1'000'000);
};

/** An arrival and the start of a waiting request: two decisions. */
void ArriveAndStart(benchmark::State& state, queue_order order) {
  loaded_gate loaded(order, static_cast<std::uint32_t>(state.range(0)));
  const auto step = [&] {
    loaded.Offer();
    while (loaded.gate.TakeDisplaced()) {
    }
    benchmark::DoNotOptimize(loaded.gate.next_expiry());
    loaded.gate.Finish(kServiceTime);
    benchmark::DoNotOptimize(loaded.gate.StartNext(loaded.now));
  };
  for (std::int64_t i = 0; i < 20 * state.range(0); ++i) {
    step();
  }
  const std::size_t before = allocation_count;
  for (auto each : state) {
    step();
  }
  const std::size_t allocations = allocation_count - before;
  state.counters["waiting"] = loaded.gate.waiting();
  state.counters["allocations"] = static_cast<double>(allocations);
}
BENCHMARK_CAPTURE(ArriveAndStart, Deadline, queue_order::kDeadline)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10'000);
BENCHMARK_CAPTURE(ArriveAndStart, Importance, queue_order::kImportance)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10'000);

/** Arrivals at a full queue: each displaces the least important request or is refused. */
void ArriveAtFullQueue(benchmark::State& state) {
  loaded_gate loaded(queue_order::kImportance, static_cast<std::uint32_t>(state.range(0)));
  const auto step = [&] {
    loaded.Offer();
    while (loaded.gate.TakeDisplaced()) {
    }
    loaded.now -= kServiceTime / loaded.gate.limit();
  };
  for (std::int64_t i = 0; i < 20 * state.range(0); ++i) {
    step();
  }
  const std::size_t before = allocation_count;
  for (auto each : state) {
    step();
  }
  const std::size_t allocations = allocation_count - before;
  state.counters["waiting"] = loaded.gate.waiting();
  state.counters["allocations"] = static_cast<double>(allocations);
}
BENCHMARK(ArriveAtFullQueue)->Arg(10'000);

}  // namespace
}  // namespace cuminferry
