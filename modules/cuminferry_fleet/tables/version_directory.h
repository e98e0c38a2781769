#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/platform/published_values.h"
#include "cuminferry_fleet/tables/value_version.h"

namespace cuminferry {

/** What taking in versions changed. */
struct directory_changes {
  /** The version of the whole table rose. */
  bool table_newer = false;
  /** A higher table version exists, but the lines that came do not reach back to
      the own one: the index has to be fetched. */
  bool gap = false;
  std::vector<value_version> newer;
  /** Same version, other content; the first one seen was kept. */
  std::vector<value_version> conflicts;

  bool any() const { return table_newer || !newer.empty(); }
};

/** The highest version known of every published value. Versions only go up.

    A node that knows table version V knows every shard's version up to V, also
    of services that it does not follow; so it can pass on any edit. Bounded by
    kLargest names; further names are not taken in.
*/
class version_directory {
 public:
  static constexpr std::size_t kLargest = 4096;

  version_directory();
  ~version_directory();

  //============================================================================
  /** Takes in the published index, or the newer part of it that a peer gave in
      answer to this node's own table version. */
  directory_changes MergeIndex(const published_index& index);

  /** Takes in what a peer's digest lists. Its shards are the sender's most
      recent ones; where the lowest of them is not above the own table version,
      nothing is missing in between and the own table version rises. */
  directory_changes MergeDigest(std::uint64_t table_version,
                                std::span<const value_version> versions);

  /** Takes in one version that a content carried. */
  directory_changes Learn(const value_version& version);

  //============================================================================
  /** Highest version of the whole table whose lines are all known here. */
  std::uint64_t table_version() const;
  /** nullptr where nothing is known. */
  const value_version* Find(std::string_view name) const;
  /** The index with the lines above a version. */
  published_index NewerThan(std::uint64_t version, std::uint32_t fleet_size) const;
  /** The shards changed last, newest first. */
  std::span<const value_version> recent_shards() const;
  /** Names of the lists of instances learned last, newest first. */
  std::span<const std::string> recent_lists() const;
  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
