#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Returns a number that is the same on all nodes and unrelated to the order of addresses. */
inline std::uint64_t AddressHashOf(const endpoint& node) {
  return random_source((std::uint64_t{node.address} << 16) ^ node.port).Next();
}

}  // namespace cuminferry
