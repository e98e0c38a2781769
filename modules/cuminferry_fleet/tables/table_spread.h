#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/members/gossip_peers.h"
#include "cuminferry_fleet/tables/version_directory.h"

namespace cuminferry {

/** What one datagram tells: which versions its sender knows. */
struct spread_digest {
  endpoint from;
  incarnation_id incarnation = 0;
  std::uint64_t table_version = 0;
  std::uint32_t fleet_size = 0;
  /** The shards changed last, newest first; then some lists of instances. */
  std::vector<value_version> versions;
  /** Answer in any case, also where the sender knows as much. */
  bool wants_answer = false;
};

/** A digest and where it goes. */
struct outgoing_digest {
  endpoint to;
  spread_digest digest;
};

/** What a digest led to. */
struct digest_outcome {
  directory_changes changes;
  /** Goes back to the sender. */
  std::vector<outgoing_digest> answer;
};

/** How versions spread between nodes: an epidemic of datagrams.

    News is pushed to a few random peers at once and for some rounds more, mostly
    within the own failure domain. Without news each node sends one datagram a
    second; a receiver that knows more answers with it, so that what was lost on
    the way, or changed during a partition, is made up for within seconds. What
    a node sends does not grow with the fleet.
*/
class table_spread {
 public:
  struct options {
    endpoint self;
    incarnation_id incarnation = 0;
  };

  table_spread(options chosen, gossip_peers::options peers);
  ~table_spread();

  /** Lists of instances that this node follows are told of in turn. */
  void FollowList(std::string_view name);

  //============================================================================
  digest_outcome OnDigest(const spread_digest& digest, instant now);
  directory_changes OnIndex(const published_index& index, instant now);
  directory_changes OnValue(const value_version& version, instant now);
  /** The process did not run for a while: asks some peers what it missed. */
  void OnWakeUp(instant now);

  /** The digests that are due. */
  std::vector<outgoing_digest> OnTick(instant now, random_source& random);
  /** A digest that makes its receiver answer. */
  outgoing_digest Probe(endpoint to);

  //============================================================================
  gossip_peers& peers();
  const gossip_peers& peers() const;
  const version_directory& directory() const;
  std::uint32_t fleet_size() const;
  instant next_due() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
