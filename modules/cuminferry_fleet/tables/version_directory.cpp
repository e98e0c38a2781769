#include "cuminferry_fleet/tables/version_directory.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace cuminferry {
namespace {

constexpr std::size_t kMaxRecentShards = 16;
constexpr std::size_t kMaxRecentLists = 8;

struct known_value {
  value_version version;
  // Digest of the last reported conflict, so that a lasting conflict is reported once.
  std::uint64_t conflicting_digest = 0;
};

}  // namespace

class version_directory::state {
 public:
  // Merges one version and records what it changed.
  void Merge(const value_version& offered, directory_changes& changes) {
    const auto found = known_.find(offered.name);
    if (found == known_.end()) {
      if (known_.size() < kMaxNames) {
        known_.emplace(offered.name, known_value{offered});
        RecordNewer(offered, changes);
      }
      return;
    }
    known_value& known = found->second;
    if (offered.version > known.version.version) {
      known = {offered};
      RecordNewer(offered, changes);
    } else if (offered.version == known.version.version && offered.digest != known.version.digest &&
               offered.digest != known.conflicting_digest) {
      known.conflicting_digest = offered.digest;
      changes.conflicts.push_back(offered);
    }
  }

  void RaiseTable(std::uint64_t version, directory_changes& changes) {
    if (version > table_version_) {
      table_version_ = version;
      changes.table_newer = true;
    }
  }

  const value_version* Find(std::string_view name) const {
    const auto found = known_.find(name);
    return found == known_.end() ? nullptr : &found->second.version;
  }

  void CollectNewer(std::uint64_t version, published_index& into) const {
    for (const auto& [name, known] : known_) {
      if (KindOf(name) == value_kind::kShard && known.version.version > version) {
        into.shards.push_back({name, known.version.version, known.version.digest});
      }
    }
  }

  std::uint64_t table_version() const { return table_version_; }
  std::span<const value_version> recent_shards() const { return recent_shards_; }
  std::span<const std::string> recent_lists() const { return recent_lists_; }
  std::size_t size() const { return known_.size(); }

 private:
  void RecordNewer(const value_version& newer, directory_changes& changes) {
    changes.newer.push_back(newer);
    if (KindOf(newer.name) == value_kind::kInstances) {
      RecordList(newer.name);
    } else {
      RecordShard(newer);
    }
  }

  // Versions never decrease, so a shard that is dropped from the end can't be among the
  // highest again without a new version. The list always holds exactly the highest ones.
  void RecordShard(const value_version& newer) {
    std::erase_if(recent_shards_, [&](const auto& one) { return one.name == newer.name; });
    const auto place = std::find_if(recent_shards_.begin(), recent_shards_.end(),
                                    [&](const auto& one) { return one.version < newer.version; });
    recent_shards_.insert(place, newer);
    if (recent_shards_.size() > kMaxRecentShards) {
      recent_shards_.pop_back();
    }
  }

  void RecordList(const std::string& name) {
    std::erase(recent_lists_, name);
    recent_lists_.insert(recent_lists_.begin(), name);
    if (recent_lists_.size() > kMaxRecentLists) {
      recent_lists_.pop_back();
    }
  }

  std::uint64_t table_version_ = 0;
  std::map<std::string, known_value, std::less<>> known_;
  std::vector<value_version> recent_shards_;
  std::vector<std::string> recent_lists_;
};

version_directory::version_directory() : state_(std::make_unique<state>()) {}

version_directory::~version_directory() = default;

directory_changes version_directory::MergeIndex(const published_index& index) {
  directory_changes changes;
  for (const published_shard& line : index.shards) {
    state_->Merge({line.service, line.version, line.digest}, changes);
  }
  state_->RaiseTable(index.version, changes);
  return changes;
}

directory_changes version_directory::MergeDigest(std::uint64_t table_version,
                                                 std::span<const value_version> versions) {
  directory_changes changes;
  bool reaches_back = false;
  for (const value_version& one : versions) {
    const bool is_shard = KindOf(one.name) == value_kind::kShard;
    reaches_back = reaches_back || (is_shard && one.version <= state_->table_version());
    state_->Merge(one, changes);
  }
  if (table_version > state_->table_version()) {
    changes.gap = !reaches_back;
    state_->RaiseTable(reaches_back ? table_version : 0, changes);
  }
  return changes;
}

directory_changes version_directory::MergeVersion(const value_version& version) {
  directory_changes changes;
  state_->Merge(version, changes);
  return changes;
}

std::uint64_t version_directory::table_version() const { return state_->table_version(); }

const value_version* version_directory::Find(std::string_view name) const {
  return state_->Find(name);
}

published_index version_directory::IndexSince(std::uint64_t version,
                                              std::uint32_t fleet_size) const {
  published_index index;
  index.version = state_->table_version();
  index.fleet_size = fleet_size;
  state_->CollectNewer(version, index);
  return index;
}

std::span<const value_version> version_directory::recent_shards() const {
  return state_->recent_shards();
}

std::span<const std::string> version_directory::recent_lists() const {
  return state_->recent_lists();
}

std::size_t version_directory::size() const { return state_->size(); }

}  // namespace cuminferry
