#include "allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

void* CountedAllocation(std::size_t bytes) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(bytes);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

}  // namespace

void* operator new(std::size_t bytes) { return CountedAllocation(bytes); }
void* operator new[](std::size_t bytes) { return CountedAllocation(bytes); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*bytes*/) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t /*bytes*/) noexcept { std::free(memory); }

namespace cuminferry::benchmarks {

std::uint64_t AllocationCount() { return allocations.load(std::memory_order_relaxed); }

allocation_meter::allocation_meter(benchmark::State& state)
    : state_(state), before_(AllocationCount()) {}

allocation_meter::~allocation_meter() {
  const auto made = static_cast<double>(AllocationCount() - before_);
  state_.counters["allocations"] = benchmark::Counter(made, benchmark::Counter::kAvgIterations);
}

}  // namespace cuminferry::benchmarks
