#pragma once

#include <cstdint>
#include <string>

#include "claims/claim_fault.h"

namespace cuminferry::testing {

struct exploration_result {
  /** Number of distinct states reached. */
  std::uint64_t states = 0;
  std::uint64_t steps = 0;
  /** Description of the violation found; empty if there is none. */
  std::string violation;
};

/** Explores all interleavings, up to `depth` steps, of one request that two nodes send (the
    second with the first one's ticket). The model contains the senders' timers and lost
    connections, one home instance that restarts once, its backend server, and a network that
    delivers messages in any order, late, never or twice. */
exploration_result ExploreClaims(int depth, claim_fault fault);

}  // namespace cuminferry::testing
