#include <benchmark/benchmark.h>

// Benchmarks of single decisions. --benchmark_filter=NAME selects one of them.
BENCHMARK_MAIN();
