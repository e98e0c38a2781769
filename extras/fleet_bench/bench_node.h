#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cuminferry_node/fleet/fleet_runtime.h"

namespace cuminferry::fleet_bench {

/** What one node process of the bench is told. */
struct bench_node_settings {
  node_settings node;
  std::vector<std::string> follows;
};

/** The fleet's part of a node and nothing else: a fleet_runtime with the TCP
    connections that it needs. Writes a line for each shard that comes into force
    and, when asked on standard input, what it has used. Ends with standard input. */
class bench_node {
 public:
  explicit bench_node(bench_node_settings settings);
  ~bench_node();

  /** Serves until standard input ends. */
  absl::Status Run();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::fleet_bench
