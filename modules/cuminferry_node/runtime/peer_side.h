#pragma once

#include <memory>
#include <span>

#include "cuminferry_node/peers/peer_links.h"
#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {

/** Calls that come in from other nodes: hands them to the serving side, and their
    ends back to the connection that they came on. */
class peer_side {
 public:
  /** The links are set once they exist; nothing comes in before. */
  explicit peer_side(serving_side& serving);
  ~peer_side();
  void SetLinks(peer_links& links);

  //============================================================================
  void OnCall(connection_id connection, call_message message);
  void OnCancel(connection_id connection, attempt_id attempt);
  void OnChunk(connection_id connection, body_chunk_message chunk);
  /** The connection is gone: nobody waits for the answers of its calls. */
  void OnLost(connection_id connection);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
