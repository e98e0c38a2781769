#pragma once

#include <compare>
#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** How much a call matters against others; the higher, the later it is refused.

    The weight of the row by which the whole request entered decides first. At
    equal weight a call of a tree that is under way goes before a new tree, as
    work was already done for it. Then a hash decides that was drawn once for
    the whole request: all nodes on its way refuse the same requests, instead of
    each refusing others and all trees dying half done.

    Fits 32 bits, and a threshold is a rank as well: calls below it are refused.
*/
class call_rank {
 public:
  static constexpr std::uint16_t kLargestWeight = 10'000;

  constexpr call_rank() = default;
  constexpr explicit call_rank(std::uint32_t packed) : packed_(packed) {}
  constexpr call_rank(std::uint16_t weight, bool under_way, std::uint16_t hash)
      : packed_((std::uint32_t{weight} << 17) | (std::uint32_t{under_way} << 16) | hash) {}

  constexpr std::uint16_t weight() const { return static_cast<std::uint16_t>(packed_ >> 17); }
  constexpr bool under_way() const { return (packed_ & 0x10000U) != 0; }
  constexpr std::uint16_t hash() const { return static_cast<std::uint16_t>(packed_); }
  constexpr std::uint32_t packed() const { return packed_; }

  /** The same request's rank for a call further down its tree. */
  constexpr call_rank UnderWay() const { return call_rank(packed_ | 0x10000U); }

  /** This rank as a threshold for new requests, where it is one for the calls
      that they will make: `rank.UnderWay() < threshold` is the same as
      `rank < threshold.ForNewRequests()` for a rank that is not under way. */
  constexpr call_rank ForNewRequests() const {
    return under_way() ? call_rank(packed_ & ~0x10000U) : call_rank(packed_ & ~0xFFFFU);
  }

  constexpr auto operator<=>(const call_rank&) const = default;

 private:
  std::uint32_t packed_ = 0;
};

}  // namespace cuminferry
