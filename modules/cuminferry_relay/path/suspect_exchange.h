#pragma once

#include <memory>
#include <vector>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Propagates to all nodes which requests crash the backend servers that run them.

    A node announces a new event to a few other nodes, and each node that receives the event for
    the first time does the same. Events reach the whole fleet within a few round trips, and a node
    sends and receives a few messages for each crash, whatever the fleet's size. Nodes that were
    missed, unreachable or not yet started catch up: every kQueryPeriod each node queries one other
    node, which replies with all its events if the checksums of their registries differ.

    @see announcement_ring
*/
class suspect_exchange {
 public:
  static constexpr duration kQueryPeriod = std::chrono::seconds(1);

  explicit suspect_exchange(relay_board& board);
  ~suspect_exchange();
  suspect_exchange(const suspect_exchange&) = delete;
  suspect_exchange& operator=(const suspect_exchange&) = delete;

  /** Adds events that this node has found to its registry and announces them to other nodes. */
  void Announce(const std::vector<suspect_event>& found);
  /** Another node announces events (POST) or queries them (GET). */
  void OnRequest(const std::shared_ptr<server_exchange>& peer);
  /** Number of announcements sent to other nodes. */
  std::uint64_t announcements_sent() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
