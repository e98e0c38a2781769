#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Updates a node's replica of the published items from other nodes.

    Two nodes of the fleet, the readers, watch the platform. Every other node queries its sources,
    the nodes above it in the dissemination tree. Each reply states the age of the sender's
    replica, so that a node knows the age of its own replica whichever path the updates took:

    - Replica older than kStaleAfter: the sources get no updates, or late ones. The node also
      queries other nodes, one after the other, until one has a newer replica.
    - Replica older than kWatchAfter at a reader or a node of a first pair, or older than
      kSecondPairWatchAfter at a node of a second pair: the node watches the platform itself until
      its sources get updates again. Nodes that query it get updates through it. Nodes further
      down do not watch as long as any node replies to them, as an outage of the platform would
      otherwise cause calls to it from the whole fleet.
    - No reply from any source, where the sources are the readers: the node watches the platform
      at once. A failure domain that is cut off from the readers would otherwise not learn which
      instances are drained until its replica is too old.
    - No reply from any node: the node watches the platform itself.

    If an answer to a request shows that another node has a later revision, that node is queried:
    the platform may refuse some nodes while it serves others, or a watch may stop delivering.

    @see dissemination_tree
*/
class item_exchange {
 public:
  struct hooks {
    /** Another node has sent a newer update. */
    std::function<void(const item_update&)> on_update;
    /** Called with whether this node should watch the platform, on each change; initially it
        should not. */
    std::function<void(bool)> on_watching_change;
    /** Returns for how long entries that the platform's list lacks may still be listed again. */
    std::function<duration()> unsettled_time;
  };

  /** Period at which a node queries its sources. An update takes half of it for each level of
      the tree, on average. */
  static constexpr duration kQueryPeriod = std::chrono::milliseconds(250);
  /** Age above which a replica counts as stale. A reader's replica is confirmed within half a
      second, and each level of the tree adds one period, so that an older replica usually
      indicates a fault. */
  static constexpr duration kStaleAfter = std::chrono::milliseconds(750);
  /** Age of the replica above which a reader or a node of a first pair watches the platform
      itself. Drains must take effect within two seconds after the platform publishes them. */
  static constexpr duration kWatchAfter = std::chrono::milliseconds(1'000);
  /** The same for nodes of a second pair, so that the first pairs begin to watch before them. */
  static constexpr duration kSecondPairWatchAfter = std::chrono::milliseconds(1'500);
  /** Time in which a node that has just started waits for a replica from its seeds: where all
      nodes start at once, the seeds have none at first. */
  static constexpr duration kFirstReplicaWait = std::chrono::milliseconds(600);
  /** Time to wait where the seeds reply but have no replica: the platform refuses them, but
      perhaps not this node. */
  static constexpr duration kEmptySeedsWait = std::chrono::milliseconds(2'000);

  item_exchange(relay_board& board, hooks hooks);
  ~item_exchange();
  item_exchange(const item_exchange&) = delete;
  item_exchange& operator=(const item_exchange&) = delete;

  /** Sets whether the platform answers this node. */
  void SetPlatformAnswers(bool answers);
  /** Replies to another node with the items that are newer than its replica. */
  void OnRequest(server_exchange& peer);
  /** Maximum possible age of this node's replica; nothing before the first update. */
  std::optional<duration> ReplicaAge() const;
  /** Whether this node watches the platform. */
  bool is_watching() const;
  /** Number of queries of other nodes that this node has answered. */
  std::uint64_t queries_answered() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
