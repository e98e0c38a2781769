#pragma once

#include <optional>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/relay_settings.h"

namespace cuminferry {

/** What an answer of a target's node means for the request that it answers. */
struct peer_answer {
  /** Why there is no answer of a backend server to pass on; nothing where there is one. */
  std::optional<relay_outcome> outcome;
  /** Whether the node has said what became of this request. If not, it may still hold or run it,
     and the connection must not be used again. */
  bool is_conclusive = true;
};

/** What the calling node did before the answer. */
struct asked_request {
  std::string_view request_id;
  /** The body is being sent, so the target's node may be running the request. */
  bool body_released = false;
};

/** Reads an answer of a target's node.

    Only a word of the node for this very request shows that the request has not run: an outcome
    that this node knows, in an answer that bears the request's id or, from a node of the previous
    release, none. An answer that the node's HTTP layer made, an outcome of a later release, or a
    status that promises more than its backend server said proves nothing once the body is released.
*/
peer_answer ReadPeerAnswer(const http_head& answer, const asked_request& asked,
                           const relay_header_names& names);

}  // namespace cuminferry
