#include "cuminferry_core/random/random_source.h"

#include <random>

namespace cuminferry {

random_source random_source::FromMachine() {
  std::random_device device;
  const std::uint64_t high = device();
  return random_source((high << 32) | device());
}

std::uint64_t random_source::Next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t random_source::Below(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return static_cast<std::uint64_t>((static_cast<unsigned __int128>(Next()) * bound) >> 64);
}

double random_source::Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

}  // namespace cuminferry
