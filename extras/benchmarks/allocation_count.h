#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

namespace cuminferry::benchmarks {

/** Calls of operator new by this program so far. */
std::uint64_t AllocationCount();

/** Adds the counter "allocations" to a benchmark: allocations per iteration
    between this object's making and its end. */
class allocation_meter {
 public:
  explicit allocation_meter(benchmark::State& state);
  ~allocation_meter();
  allocation_meter(const allocation_meter&) = delete;
  allocation_meter& operator=(const allocation_meter&) = delete;

 private:
  benchmark::State& state_;
  std::uint64_t before_;
};

}  // namespace cuminferry::benchmarks
