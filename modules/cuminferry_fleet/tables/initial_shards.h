#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/tables/version_directory.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Delays the first shard of each service until a peer has reported its versions and none
    newer is known.

    A stale platform gives a restarted node an older table than the one that was in force on
    it before, and an edit would be reverted. The first shard therefore waits for a digest of
    a peer. The wait is limited, as there may be no peer.
*/
class initial_shards {
 public:
  initial_shards();
  ~initial_shards();

  /** Registers a service that is followed from now on and has no shard in force. */
  void Follow(std::string_view service, instant now);
  /** Whether the service still has no shard in force. */
  bool Awaits(std::string_view service) const;

  /** Stores the shard of a service that has none in force; replaces one stored before. */
  void Hold(table_shard shard);
  /** Removes and returns the shards that may come into force now. */
  std::vector<table_shard> Release(const version_directory& directory, bool has_received_digest,
                                   instant now);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
