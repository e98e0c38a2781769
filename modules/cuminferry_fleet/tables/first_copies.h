#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/tables/version_directory.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Holds back the first copy of each service's shard until it is certain that no
    peer in reach has a newer one.

    A platform that is stale gives a restarted node an older table than the one
    that was in force there before: an edit would seem to revert. So the first copy
    waits for word of a peer, though not for ever, as there may be none.
*/
class first_copies {
 public:
  first_copies();
  ~first_copies();

  /** The service is followed from now on and has no shard in force. */
  void Follow(std::string_view service, instant now);
  /** Whether the service still has no shard in force. */
  bool Awaits(std::string_view service) const;

  /** Keeps the shard of a service that awaits its first; replaces an older one. */
  void Hold(table_shard shard);
  /** The shards that may come into force now; they are held no longer. */
  std::vector<table_shard> Release(const version_directory& directory, bool heard_a_peer,
                                   instant now);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
