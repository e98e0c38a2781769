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

/** What one soak is to do. */
struct soak_options {
  /** The program beside each backend server. */
  std::string program;
  /** Folder for settings and logs; made if absent. */
  std::string folder;
  std::uint64_t seed = 1;
  std::size_t nodes = 6;
  int rounds = 1;
  /** Requests a second that clients send to each node. */
  double rate = 15.0;
  /** Which block of loopback addresses it uses: runs beside each other need
      different ones. */
  std::uint32_t block = 0;
  static constexpr std::uint32_t kBlocks = 180;
};

/** What came of it. */
struct soak_result {
  std::vector<std::string> violations;
  std::string summary;
};

/** Runs real nodes as processes on loopback, with stand-ins of the store, the
    backend servers and the clients in this process, does to them what the seed's
    plan says, and checks the promises from what clients and backend servers saw.
    Ends all that it started, by their ids. */
soak_result RunSoak(const soak_options& options);

}  // namespace cuminferry::testing
