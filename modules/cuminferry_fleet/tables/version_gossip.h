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

/** Content of one datagram: the versions that its sender knows. */
struct gossip_digest {
  endpoint from;
  incarnation_id incarnation = 0;
  std::uint64_t table_version = 0;
  std::uint32_t fleet_size = 0;
  /** The most recently changed shards, newest first; then some instance lists. */
  std::vector<value_version> versions;
  /** Whether the receiver answers also where it knows nothing newer. */
  bool wants_answer = false;
};

/** A digest and its receiver. */
struct outgoing_digest {
  endpoint to;
  gossip_digest digest;
};

/** What a received digest changed, and the answer to it. */
struct digest_outcome {
  directory_changes changes;
  /** The digest to send back, where the sender lacks versions or wants an answer. */
  std::vector<outgoing_digest> answer;
};

/** Gossip protocol that propagates versions between nodes by datagrams.

    A new version is pushed to a few random peers immediately and for some further rounds,
    mostly within the node's own failure domain. Otherwise each node sends one datagram per
    second, and a receiver that knows newer versions answers with them. Datagrams that were
    lost and changes during a partition are therefore repaired within seconds. The traffic
    of a node does not grow with the fleet.
*/
class version_gossip {
 public:
  struct options {
    endpoint self;
    incarnation_id incarnation = 0;
  };

  version_gossip(options chosen, gossip_peers::options peers);
  ~version_gossip();

  /** Adds an instance list that this node follows. Digests include these lists in turn. */
  void FollowList(std::string_view name);

  //============================================================================
  digest_outcome OnDigest(const gossip_digest& digest, instant now);
  directory_changes OnIndex(const published_index& index, instant now);
  directory_changes OnValue(const value_version& version, instant now);
  /** Queries some peers for missed versions after the process did not run for a while. */
  void OnProcessResumed(instant now);

  /** Returns the digests that are due. */
  std::vector<outgoing_digest> OnTick(instant now, random_source& random);
  /** Returns a digest that its receiver always answers. */
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
