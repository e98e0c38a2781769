#include <benchmark/benchmark.h>

#include <string>

#include "allocation_count.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::benchmarks {
namespace {

constexpr std::uint32_t kSlots = 160;
constexpr std::uint32_t kMaxQueuedCalls = 1024;
constexpr duration kCallInterval{100};
constexpr std::uint32_t kCallsPerTick = 50;

table_shard TableOf(std::int64_t rows) {
  table_shard shard;
  shard.rows.resize(static_cast<std::size_t>(rows));
  for (std::size_t index = 0; index < shard.rows.size(); ++index) {
    shard.rows[index].name = "row" + std::to_string(index);
  }
  return shard;
}

/** An admission controller with `row_count` rows, and the virtual time. */
struct fixture {
  explicit fixture(std::int64_t row_count)
      : rows(static_cast<std::uint32_t>(row_count)), admission({"full", kSlots, kMaxQueuedCalls}) {
    admission.UseTable(TableOf(row_count), now);
    actions.start.reserve(kSlots);
    actions.refuse.reserve(kMaxQueuedCalls);
  }

  offered_call NextCall() {
    now += kCallInterval;
    const std::uint64_t bits = random.Next();
    const call_rank rank(static_cast<std::uint16_t>(bits % 16), (bits & 16) != 0,
                         static_cast<std::uint16_t>(bits >> 16));
    return {++key, static_cast<std::uint32_t>((bits >> 32) % rows), rank,
            now + std::chrono::seconds(2)};
  }

  std::uint32_t rows;
  admission_controller admission;
  admission_actions actions;
  instant now = FromMicros(1'000'000);
  call_key key = 0;
  random_source random{1};
};

/** A call that is admitted immediately and completes. */
void OfferAndFinish(benchmark::State& state) {
  fixture with(state.range(0));
  const auto one_call = [&] {
    const offered_call call = with.NextCall();
    with.actions.Clear();
    with.admission.Offer(call, with.now, with.actions);
    with.admission.Finish(call.key, run_result::kAnswered, with.now + duration(50), with.actions);
    if (call.key % kCallsPerTick == 0) {
      with.admission.Tick(with.now, with.actions);
    }
  };
  for (int iteration = 0; iteration < 100'000; ++iteration) {
    one_call();
  }
  const allocation_meter meter(state);
  for (auto unused : state) {
    one_call();
  }
}
BENCHMARK(OfferAndFinish)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/** Twice as many calls arrive as complete: the queue is full and thresholds change. */
void OfferUnderOverload(benchmark::State& state) {
  fixture with(state.range(0));
  std::vector<call_key> running;
  std::size_t oldest = 0;
  running.reserve(kSlots);
  const auto one_call = [&](bool finish) {
    const offered_call call = with.NextCall();
    with.actions.Clear();
    with.admission.Offer(call, with.now, with.actions);
    if (finish && running.size() == kSlots) {
      oldest = (oldest + 1) % kSlots;
      with.admission.Finish(running[oldest], run_result::kAnswered, with.now, with.actions);
    }
    for (const call_key key : with.actions.start) {
      if (running.size() < kSlots) {
        running.push_back(key);
      } else {
        running[oldest] = key;
      }
    }
    if (call.key % kCallsPerTick == 0) {
      with.actions.Clear();
      with.admission.Tick(with.now, with.actions);
      for (const call_key key : with.actions.start) {
        with.admission.Finish(key, run_result::kCancelled, with.now, with.actions);
      }
    }
  };
  bool finish = false;
  for (auto unused : state) {
    finish = !finish;
    one_call(finish);
  }
}
BENCHMARK(OfferUnderOverload)->Arg(10)->Arg(1000)->Arg(10000);

void LearnThreshold(benchmark::State& state) {
  fixture with(state.range(0));
  const auto learn = [&] {
    const std::uint64_t bits = with.random.Next();
    with.now += kCallInterval;
    with.admission.LearnThreshold(static_cast<std::uint32_t>(bits % with.rows), "soil-moisture",
                                  (bits & (1U << 20)) != 0 ? "read" : "history",
                                  call_rank(static_cast<std::uint32_t>(bits >> 32)), with.now);
  };
  for (std::uint32_t iteration = 0; iteration < 20 * with.rows; ++iteration) {
    learn();
  }
  const allocation_meter meter(state);
  for (auto unused : state) {
    learn();
  }
}
BENCHMARK(LearnThreshold)->Arg(10)->Arg(1000)->Arg(10000);

void ThresholdOf(benchmark::State& state) {
  fixture with(state.range(0));
  for (std::uint32_t row = 0; row < with.rows; ++row) {
    with.admission.LearnThreshold(row, "soil-moisture", "read", call_rank(row), with.now);
  }
  std::uint32_t row = 0;
  for (auto unused : state) {
    row = (row + 1) % with.rows;
    benchmark::DoNotOptimize(with.admission.ThresholdOf(row, with.now));
  }
}
BENCHMARK(ThresholdOf)->Arg(10)->Arg(1000)->Arg(10000);

void Tick(benchmark::State& state) {
  fixture with(state.range(0));
  for (std::uint32_t row = 0; row < with.rows; ++row) {
    with.admission.Offer(with.NextCall(), with.now, with.actions);
  }
  for (auto unused : state) {
    with.now += std::chrono::milliseconds(5);
    with.actions.Clear();
    with.admission.Tick(with.now, with.actions);
  }
}
BENCHMARK(Tick)->Arg(10)->Arg(1000)->Arg(10000);

void UseTable(benchmark::State& state) {
  fixture with(state.range(0));
  const table_shard table = TableOf(state.range(0));
  for (auto unused : state) {
    with.admission.UseTable(table, with.now);
  }
}
BENCHMARK(UseTable)->Arg(10)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace cuminferry::benchmarks
