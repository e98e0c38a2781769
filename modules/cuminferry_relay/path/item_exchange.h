#pragma once

#include <functional>
#include <memory>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Brings a node's copy of the published items up to date from other nodes.

    A few nodes of each failure domain watch the platform; the others ask them. A
    node that watches asks only while the platform does not answer it, or when an
    answer told that another node knows more: the platform may turn some nodes
    away while it serves others, or a watch may go silent.

    @see watch_duty
*/
class item_exchange {
 public:
  struct hooks {
    /** Another node gave news. */
    std::function<void(const item_update&)> on_update;
    /** Whether this node should watch the platform changed. */
    std::function<void(bool)> on_watching;
    /** How long missing entries may still be listed again. */
    std::function<duration()> unsettled;
  };

  /** Period at which a node that does not watch asks. An edit reaches it within
      one or two of them. */
  static constexpr duration kAskPeriod = std::chrono::milliseconds(250);
  /** A node that no watching node answered for so long watches itself. */
  static constexpr duration kAloneAfter = std::chrono::milliseconds(1'000);

  item_exchange(relay_board& board, hooks hooks);
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
