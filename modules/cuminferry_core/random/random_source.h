#pragma once

#include <cstdint>

namespace cuminferry {

/** A small seeded generator (SplitMix64). Decisions take one by reference; a
    daemon seeds it from the machine, a test from its case. Not for secrets. */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /** A source seeded from the machine's own randomness. */
  static random_source FromMachine();

  /** 64 random bits. */
  std::uint64_t Next();

  /** A number in [0, bound); 0 where the bound is 0. */
  std::uint64_t Below(std::uint64_t bound);

  /** A number in [0, 1). */
  double Fraction();

 private:
  std::uint64_t state_;
};

}  // namespace cuminferry
