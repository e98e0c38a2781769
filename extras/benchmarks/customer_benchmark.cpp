#include <benchmark/benchmark.h>

#include <array>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::benchmarks {
namespace {

constexpr std::int64_t kKeysPerCustomer = 10;

std::string KeyOf(std::int64_t customer, std::int64_t key) {
  return "2thhkmgjqnirth5m" + std::to_string(customer) + "-" + std::to_string(key);
}

std::vector<customer> Customers(std::int64_t count) {
  std::vector<customer> customers;
  for (std::int64_t i = 0; i < count; ++i) {
    customer next{.name = "customer-" + std::to_string(i), .rate = 100.0, .burst = 100.0};
    for (std::int64_t key = 0; key < kKeysPerCustomer; ++key) {
      next.keys.push_back(key_digest::Of(KeyOf(i, key)));
    }
    customers.push_back(std::move(next));
  }
  return customers;
}

/** Identifies the customer of a request by its Authorization header. */
void CheckTheKey(benchmark::State& state) {
  const auto registry = *customer_registry::Make(Customers(state.range(0)));
  std::vector<std::string> fields;
  for (std::int64_t i = 0; i < 1'000; ++i) {
    fields.push_back("Bearer " + KeyOf(i % state.range(0), i % kKeysPerCustomer));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    const std::array<std::string_view, 1> field{fields[next++ % fields.size()]};
    benchmark::DoNotOptimize(CheckKey(field, registry.get()));
  }
}
BENCHMARK(CheckTheKey)->Arg(77)->Arg(10'000);

/** Builds the customer registry, as each edit of the table does. */
void MakeTheBook(benchmark::State& state) {
  const std::vector<customer> customers = Customers(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(customer_registry::Make(customers));
  }
  state.counters["keys"] = static_cast<double>(state.range(0) * kKeysPerCustomer);
}
BENCHMARK(MakeTheBook)->Arg(77)->Arg(10'000)->Unit(benchmark::kMillisecond);

/** Checks requests of range(0) customers in turn against their customers' limits. */
void OfferWithinTheLimit(benchmark::State& state) {
  const std::vector<customer> customers = Customers(state.range(0));
  customer_limits limits({.allowance = 1e9}, 0.5);
  random_source random(1);
  instant now = FromMicros(1'000'000);
  std::size_t next = 0;
  for (auto _ : state) {
    now += duration(100);
    benchmark::DoNotOptimize(
        limits.DecideOn(customers[next++ % customers.size()], random.Fraction(), now));
  }
}
BENCHMARK(OfferWithinTheLimit)->Arg(77)->Arg(10'000);

}  // namespace
}  // namespace cuminferry::benchmarks
