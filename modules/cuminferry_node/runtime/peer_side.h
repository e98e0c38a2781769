#pragma once

#include <memory>
#include <span>

#include "cuminferry_node/peers/peer_links.h"
#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {

/** Receives calls from other nodes, passes them to the serving side, and sends each reply
    on the connection on which its call was received. */
class peer_side {
 public:
  /** SetLinks() must be called before the first message is received. */
  explicit peer_side(serving_side& serving);
  ~peer_side();
  void SetLinks(peer_links& links);

  //============================================================================
  void OnCall(connection_id connection, call_message message);
  void OnCancel(connection_id connection, attempt_id attempt);
  void OnChunk(connection_id connection, body_chunk_message chunk);
  /** Cancels all calls of a connection that was lost. */
  void OnLost(connection_id connection);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
