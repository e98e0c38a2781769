#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Updates a node's replica of the published items from other nodes, and answers their queries.
    What it queries and when is decided by refresh_planner.

    If an answer to a request shows that another node has a later revision, that node is queried:
    the platform may refuse some nodes while it serves others, or a watch may stop delivering.

    @see refresh_planner, paged_update, start_referrals
*/
class item_exchange {
 public:
  struct hooks {
    /** Another node has sent a newer update. */
    std::function<void(const item_update&)> on_update;
    /** Reduces an item of another node to what this one keeps; returns whether it is kept. */
    paged_update::filter reduce_item;
    /** This node, which had none, has got published items from the node at this address; called
        after `on_update`. */
    std::function<void(const endpoint& peer)> on_copied;
    /** Called with whether this node should watch the platform, on each change; initially it
        should not. */
    std::function<void(bool)> on_watching_change;
    /** Returns for how long entries that the platform's list lacks may still be listed again. */
    std::function<duration()> unsettled_time;
  };

  item_exchange(relay_board& board, hooks hooks);
  ~item_exchange();
  item_exchange(const item_exchange&) = delete;
  item_exchange& operator=(const item_exchange&) = delete;

  /** Sets whether the platform answers this node. */
  void SetPlatformAnswers(bool answers);
  /** Records that this node's own watch confirmed the replica as of this moment. */
  void OnWatchConfirmed(instant complete_at);
  /** The listed instances have changed. */
  void OnInstancesChanged();
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
