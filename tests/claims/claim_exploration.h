#pragma once

#include <cstdint>
#include <string>

#include "claims/claim_fault.h"

namespace cuminferry::testing {

struct exploration_result {
  /** Distinct states reached. */
  std::uint64_t states = 0;
  std::uint64_t steps = 0;
  /** Empty: nothing found. */
  std::string violation;
};

/** Tries all interleavings, up to `depth` steps, of one request that two nodes
    send (the second one with the first one's ticket), their timers and lost
    connections, one home that restarts once, its backend server, and a network
    that delivers in any order, late, never, or twice. */
exploration_result ExploreClaims(int depth, claim_fault fault);

}  // namespace cuminferry::testing
