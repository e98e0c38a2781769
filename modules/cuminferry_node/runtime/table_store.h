#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** The shards in force at this node. */
class table_store {
 public:
  /** Puts a shard in force. */
  void Put(const table_shard& shard);

  /** The shard of a service; nullptr where none is known. */
  std::shared_ptr<const table_shard> Find(std::string_view service);

  /** As Find(), but waits for the first version to come. */
  std::shared_ptr<const table_shard> WaitFor(std::string_view service, instant until);

  //============================================================================
  /** The instances of a service are known. */
  void NoteTargets(std::string_view service);

  /** Waits until the instances of a service are known. A node that starts to
      follow a service gets its rows before its list of instances; a call made in
      between would be refused as if there were no instance at all. */
  void WaitForTargets(std::string_view service, instant until);

 private:
  ranked_mutex mutex_{lock_rank::kTable};
  absl::CondVar changed_;
  std::map<std::string, std::shared_ptr<const table_shard>, std::less<>> shards_
      ABSL_GUARDED_BY(mutex_);
  std::set<std::string, std::less<>> with_targets_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cuminferry
