#pragma once

#include <functional>
#include <memory>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Brings a node's copy of the published items up to date from other nodes.

    The platform may turn some nodes away while it serves others, or a watch may
    go silent. A node that does not hear the platform, or hears from an answer
    that another node knows more, asks another node for what it lacks. Nodes
    that hear the platform cost the others nothing.
*/
class item_exchange {
 public:
  using update_hook = std::function<void(const item_update&)>;

  /** Period at which a node without the platform asks. An edit reaches it within
      one or two of them. */
  static constexpr duration kAskPeriod = std::chrono::milliseconds(200);

  item_exchange(relay_board& board, update_hook on_update);
  ~item_exchange();
  item_exchange(const item_exchange&) = delete;
  item_exchange& operator=(const item_exchange&) = delete;

  /** Whether the platform answers this node. */
  void SetPlatformHeard(bool heard);
  /** Another node asks for what it lacks. */
  void OnRequest(server_exchange& peer) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
