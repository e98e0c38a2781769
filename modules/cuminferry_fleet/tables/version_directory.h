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

/** What a merge of versions changed in the directory. */
struct directory_changes {
  /** The version of the whole table rose. */
  bool table_newer = false;
  /** A higher table version exists, but the received versions do not reach back to this
      node's table version, so the index has to be fetched. */
  bool gap = false;
  std::vector<value_version> newer;
  /** Values received with a known version but another digest; the first digest is retained. */
  std::vector<value_version> conflicts;

  bool any() const { return table_newer || !newer.empty(); }
};

/** The highest known version of every published value. Versions never decrease.

    A node that knows table version V knows the version of every shard up to V, also of
    services that it does not follow, and can therefore propagate any edit. The directory is
    limited to kMaxNames names; further names are ignored.
*/
class version_directory {
 public:
  static constexpr std::size_t kMaxNames = 4096;

  version_directory();
  ~version_directory();

  //============================================================================
  /** Merges the published index, or the part of it that a peer sent as newer than this
      node's table version. */
  directory_changes MergeIndex(const published_index& index);

  /** Merges the versions in a peer's digest. Its shards are the most recent ones of the
      sender. Where the lowest of them is not above this node's table version, none is
      missing in between, and this node's table version is raised. */
  directory_changes MergeDigest(std::uint64_t table_version,
                                std::span<const value_version> versions);

  /** Merges one version, taken from a received content. */
  directory_changes MergeVersion(const value_version& version);

  //============================================================================
  /** Highest version of the whole table of which all shard versions are known here. */
  std::uint64_t table_version() const;
  /** Returns the known version of a value; nullptr where none is known. */
  const value_version* Find(std::string_view name) const;
  /** Returns the index with only the shards above a version. */
  published_index IndexSince(std::uint64_t version, std::uint32_t fleet_size) const;
  /** The most recently changed shards, newest first. */
  std::span<const value_version> recent_shards() const;
  /** Names of the most recently changed instance lists, newest first. */
  std::span<const std::string> recent_lists() const;
  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
