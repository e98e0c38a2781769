#pragma once

#include <cstdint>
#include <string>

#include "soak/soak_ledger.h"
#include "soak/soak_target.h"

namespace cuminferry::testing {

/** Parameters of one soak of a whole site. */
struct site_options {
  /** Path of the node program. */
  std::string program;
  /** Path of the program of every second node; empty: `program`. */
  std::string other_program;
  /** Folder for settings and logs; created if absent. */
  std::string folder;
  std::uint64_t seed = 1;
  std::size_t machines = 64;
  /** Factor on the usual load. */
  double load = 1.0;
  /** Time with requests. */
  duration length = std::chrono::seconds(30);
  /** Threads that stand for clients and backend servers. */
  std::size_t threads = 4;
  /** Threads that only take processor time. */
  std::size_t busy_threads = 0;
  /** Beside the plan, all backend servers have this fault all the time. */
  target_fault fault;
  /** Nothing but `fault` happens. */
  bool without_plan = false;
  /** @see soak_addresses */
  std::uint32_t block = 0;
};

struct site_result {
  at_most_once_breaches breaches;
  /** What else was recorded while the soak ran. */
  std::vector<std::string> violations;
  std::string summary;
  /** Processor time of all nodes, and the largest memory of one in MB. */
  duration processor_time{};
  double largest_memory_mb = 0.0;
};

/** Runs a site of the shape of site_shape: a real node for each machine, its backend server and
    clients, customers with keys and limits, and the store. Faults of many kinds overlap, as the
    seed says. It counts breaches of the promises "runs at most once" and "has not run"; the other
    guarantees are for RunSoak(). Ends every process that it started, by process id. */
site_result RunSiteSoak(const site_options& options);

}  // namespace cuminferry::testing
