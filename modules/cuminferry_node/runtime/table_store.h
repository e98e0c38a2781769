#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** The table shards in force at this node, by service. Thread-safe. */
class table_store {
 public:
  /** Replaces the shard of a service. */
  void Put(const table_shard& shard);

  /** The shard of a service; nullptr where none is known. */
  std::shared_ptr<const table_shard> Find(std::string_view service);

  /** As Find(), but waits until the first version is received or `until` has passed. */
  std::shared_ptr<const table_shard> WaitFor(std::string_view service, instant until);

  //============================================================================
  /** Records that the instances of a service are known. */
  void MarkTargetsKnown(std::string_view service);

  /** Waits until the instances of a service are known or `until` has passed. A node that
      starts to follow a service receives the rows before the list of instances; without
      the wait, a call made in between would be refused for lack of a target. */
  void WaitForTargets(std::string_view service, instant until);

 private:
  ranked_mutex mutex_{lock_rank::kTable};
  absl::CondVar changed_;
  std::map<std::string, std::shared_ptr<const table_shard>, std::less<>> shards_
      ABSL_GUARDED_BY(mutex_);
  std::set<std::string, std::less<>> services_with_targets_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cuminferry
