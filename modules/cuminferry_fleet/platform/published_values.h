#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One entry of the published index: the version of a service's shard. */
struct published_shard {
  std::string service;
  std::uint64_t version = 0;
  /** Digest of the shard's canonical JSON. */
  std::uint64_t digest = 0;
};

/** The published index, key "cuminferry/index". */
struct published_index {
  /** The version of the whole table, which never decreases. */
  std::uint64_t version = 0;
  /** Nodes in the fleet. The periods between platform reads are proportional to it. */
  std::uint32_t fleet_size = 0;
  std::vector<published_shard> shards;

  std::string ToJson() const;
  static absl::StatusOr<published_index> Parse(std::string_view json);
};

/** One instance in the list of a service. */
struct published_instance {
  std::string instance;
  std::string failure_domain;
  std::string region;
  endpoint peer;
  std::uint32_t target_slot = 0;
  /** Whether the platform is about to stop the instance, which gets no new work. */
  bool draining = false;
};

/** The instances of one service, key "cuminferry/instances/<service>". The list lags behind
    the actual state of the instances. */
struct published_instances {
  std::string service;
  std::uint64_t version = 0;
  std::vector<published_instance> instances;

  std::string ToJson() const;
  static absl::StatusOr<published_instances> Parse(std::string_view json);
};

/** Keys under which the platform publishes values. */
inline constexpr char kIndexKey[] = "cuminferry/index";
inline constexpr char kShardKeyPrefix[] = "cuminferry/shard/";
inline constexpr char kInstancesKeyPrefix[] = "cuminferry/instances/";

}  // namespace cuminferry
