#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/store_stand_in.h"
#include "soak/loopback_proxy.h"
#include "soak/soak_ledger.h"
#include "soak/soak_plan.h"
#include "soak/soak_target.h"

namespace cuminferry::testing {

/** Parameters of one soak. */
struct soak_options {
  /** Path of the node program. */
  std::string program;
  /** Path of the program of every second node, such as that of an earlier release; empty:
   * `program`. */
  std::string other_program;
  /** Folder for settings and logs; created if absent. */
  std::string folder;
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  int rounds = 1;
  /** Requests a second that clients send to each node. */
  double rate = 15.0;
  /** Concurrent soaks need different blocks. @see soak_addresses */
  std::uint32_t block = 0;
};

/** Result of one soak. */
struct soak_result {
  std::vector<std::string> violations;
  std::string summary;
};

/** Starts real nodes as processes on loopback, with stand-ins of the store, the
    backend servers and the clients in this process. Injects the faults of the seed's
    plan, and checks the guarantees against what clients and backend servers observed.
    Ends every process that it started, by process id. */
soak_result RunSoak(const soak_options& options);

}  // namespace cuminferry::testing
