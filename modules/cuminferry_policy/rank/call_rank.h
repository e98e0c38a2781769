#pragma once

#include <compare>
#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The priority of a call: the higher its rank, the later it is refused.

    The weight of the row by which the whole request entered the fleet is compared first. At equal
    weight a call of a request that is under way ranks above a new request, as work was already done
    for it. Last comes a hash that is drawn once for the whole request. All nodes on its way
    therefore refuse the same requests; if each node refused different ones, every request would
    fail after part of its work was done.

    A rank fits 32 bits. A threshold is a rank as well: calls below it are refused.
*/
class call_rank {
 public:
  constexpr call_rank() = default;
  constexpr explicit call_rank(std::uint32_t packed) : packed_(packed) {}
  constexpr call_rank(std::uint16_t weight, bool under_way, std::uint16_t hash)
      : packed_((std::uint32_t{weight} << 17) | (std::uint32_t{under_way} << 16) | hash) {}

  constexpr std::uint16_t weight() const { return static_cast<std::uint16_t>(packed_ >> 17); }
  constexpr bool under_way() const { return (packed_ & 0x10000U) != 0; }
  constexpr std::uint16_t hash() const { return static_cast<std::uint16_t>(packed_); }
  constexpr std::uint32_t packed() const { return packed_; }

  /** Returns the rank of a call that the same request makes further down its call tree. */
  constexpr call_rank ToUnderWay() const { return call_rank(packed_ | 0x10000U); }

  /** Converts a threshold for calls that a request makes into one for the new request itself:
      `rank.ToUnderWay() < threshold` equals `rank < threshold.ForNewRequests()` for a rank that is
      not under way. */
  constexpr call_rank ForNewRequests() const {
    return under_way() ? call_rank(packed_ & ~0x10000U) : call_rank(packed_ & ~0xFFFFU);
  }

  constexpr auto operator<=>(const call_rank&) const = default;

 private:
  std::uint32_t packed_ = 0;
};

}  // namespace cuminferry
