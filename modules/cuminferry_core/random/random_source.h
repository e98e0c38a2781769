#pragma once

#include <cstdint>

namespace cuminferry {

/** A seeded random number generator (SplitMix64). Functions that decide at random take it by
    reference, so that tests can repeat a run from its seed. Not suitable for secrets. */
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  /** Returns a generator with a seed from the operating system. */
  static random_source FromMachine();

  /** Returns 64 random bits. */
  std::uint64_t Next();

  /** Returns a number in [0, bound); 0 if the bound is 0. */
  std::uint64_t Below(std::uint64_t bound);

  /** Returns a number in [0, 1). */
  double Fraction();

 private:
  std::uint64_t state_;
};

}  // namespace cuminferry
