#include <benchmark/benchmark.h>

// What one decision costs. Run with --benchmark_filter=NAME for one of them.
BENCHMARK_MAIN();
