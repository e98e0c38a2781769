#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::fleet_bench {

/** How large a fleet is started and how it is laid out. */
struct fleet_shape {
  std::size_t nodes = 8;
  std::size_t services = 4;
  std::size_t domains = 4;
  std::size_t regions = 1;
  /** Services that each node calls. */
  std::size_t follows = 1;
  std::size_t rows = 5;
  /** Services that the index lists besides and that nobody follows. */
  std::size_t index_only = 0;
};

/** What the nodes have used between two looks, for one node and second. */
struct node_use {
  double cpu_percent = 0.0;
  double bytes_per_second = 0.0;
  double platform_reads_of_fleet = 0.0;
  double resident_kilobytes = 0.0;
  double private_kilobytes = 0.0;
  double peers = 0.0;
  double largest_private_kilobytes = 0.0;
  double largest_cpu_percent = 0.0;
};

/** A fleet of node processes on the loopback interface and a platform for them. */
class bench_fleet {
 public:
  explicit bench_fleet(fleet_shape shape);
  ~bench_fleet();

  /** Starts platform and nodes; false where not all have their tables in time. */
  bool Start(std::chrono::seconds longest);

  /** Publishes a new version of one service's shard, or of all. */
  std::uint64_t Edit(std::optional<std::size_t> service);
  /** Waits until the last edit is in force on all nodes that follow it; the time
      since it was published, or nothing. */
  std::optional<duration> AwaitInForce(std::chrono::seconds longest);

  /** What was used since the last call. */
  node_use Use();

  /** For each node and edit: time from publishing to being in force. */
  const std::vector<duration>& times() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::fleet_bench
