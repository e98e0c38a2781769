#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminferry {

/** What a published value is. */
enum class value_kind : std::uint8_t {
  kIndex,      ///< the index of all shards; its name is empty
  kShard,      ///< one service's part of the table; its name is the service's
  kInstances,  ///< the instances of a service; "instances/<service>"
};

/** The version of one published value, as nodes tell it each other. */
struct value_version {
  std::string name;
  std::uint64_t version = 0;
  /** Digest of the canonical JSON. */
  std::uint64_t digest = 0;

  friend bool operator==(const value_version&, const value_version&) = default;
};

/** The name of the index between nodes. */
inline constexpr char kIndexName[] = "";

/** The name of a service's list of instances between nodes. */
std::string InstancesName(std::string_view service);

value_kind KindOf(std::string_view name);

/** The service that a shard or a list of instances belongs to. */
std::string_view ServiceOf(std::string_view name);

/** The key under which the platform publishes a value. */
std::string PlatformKeyOf(std::string_view name);

}  // namespace cuminferry
