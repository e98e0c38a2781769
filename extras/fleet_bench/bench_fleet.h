#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::fleet_bench {

/** Size and layout of the fleet to start. */
struct fleet_shape {
  std::size_t nodes = 8;
  std::size_t services = 4;
  std::size_t domains = 4;
  std::size_t regions = 1;
  /** Number of services that each node calls. A node follows the shards of these services and
      that of its own service. */
  std::size_t called_services = 1;
  /** Rows of each service. */
  std::size_t rows = 5;
  /** Number of further services in the index that no node follows. */
  std::size_t index_only = 0;
};

/** Resource usage of the nodes between two readings. Averages over all nodes unless the name says
    otherwise. */
struct node_usage {
  /** Percent of one core. */
  double cpu_percent = 0.0;
  double bytes_per_second = 0.0;
  /** Reads from the platform per second, summed over all nodes. */
  double fleet_platform_reads_per_second = 0.0;
  double resident_kilobytes = 0.0;
  double private_kilobytes = 0.0;
  double peers = 0.0;
  double largest_private_kilobytes = 0.0;
  double largest_cpu_percent = 0.0;
};

/** A fleet of node processes on the loopback interface with a stand-in for the platform. */
class bench_fleet {
 public:
  explicit bench_fleet(fleet_shape shape);
  ~bench_fleet();

  /** Starts the platform and the nodes.
      @return  false if the platform can't be started or a node has not got its shards after
               `timeout` */
  bool Start(std::chrono::seconds timeout);

  /** Publishes a new version of one service's shard, or of all shards.
      @return  the new version */
  std::uint64_t Edit(std::optional<std::size_t> service);
  /** Waits until the last edit is in force on all nodes that follow its service.
      @return  the time from publishing until the last node has the edit in force, or nothing if
               that takes more than `timeout` */
  std::optional<duration> AwaitInForce(std::chrono::seconds timeout);

  /** Returns the usage since the previous call. */
  node_usage MeasureUsage();

  /** For each node and edit, the time from publishing until the edit is in force on the node. */
  const std::vector<duration>& propagation_times() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::fleet_bench
