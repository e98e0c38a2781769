#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminferry {

/** The kind of a published value. */
enum class value_kind : std::uint8_t {
  kIndex,      ///< the index of all shards; its name is empty
  kShard,      ///< one service's part of the table; named as the service
  kInstances,  ///< the instances of a service; named "instances/<service>"
};

/** The version of one published value, as nodes announce it to each other. */
struct value_version {
  std::string name;
  std::uint64_t version = 0;
  /** Digest of the canonical JSON. */
  std::uint64_t digest = 0;

  friend bool operator==(const value_version&, const value_version&) = default;
};

/** The name of the index in messages between nodes. */
inline constexpr char kIndexName[] = "";

/** Returns the name of a service's instance list in messages between nodes. */
std::string InstancesName(std::string_view service);

value_kind KindOf(std::string_view name);

/** Returns the service that a shard or an instance list belongs to. */
std::string_view ServiceOf(std::string_view name);

/** Returns the key under which the platform publishes a value. */
std::string PlatformKeyOf(std::string_view name);

}  // namespace cuminferry
