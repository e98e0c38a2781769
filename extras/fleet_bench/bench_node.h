#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cuminferry_node/fleet/fleet_runtime.h"

namespace cuminferry::fleet_bench {

/** Settings of one node process of the benchmark. */
struct bench_node_settings {
  node_settings node;
  std::vector<std::string> followed_services;
};

/** A node reduced to a fleet_runtime and the TCP connections that it needs. The node writes a line
    to standard output for each shard that comes into force, and its resource usage for each line
    that it reads from standard input. The node exits at the end of standard input. */
class bench_node {
 public:
  explicit bench_node(bench_node_settings settings);
  ~bench_node();

  /** Serves until the end of standard input.
      @return  an error if the node can't be started */
  absl::Status Run();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::fleet_bench
