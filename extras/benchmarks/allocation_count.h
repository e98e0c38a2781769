#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

namespace cuminferry::benchmarks {

/** Number of calls of operator new in this program so far. */
std::uint64_t AllocationCount();

/** Adds the counter "allocations" to a benchmark: allocations per iteration
    during the lifetime of this object. */
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
