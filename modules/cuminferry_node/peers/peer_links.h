#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "cuminferry_node/peers/outgoing_attempt.h"

namespace cuminferry {

/** The node's connections to other nodes, and the attempts that wait on them.

    The node opens one connection to each node that it calls; it receives calls on the connections
    that other nodes opened. A connection that answers no heartbeat while work is outstanding is
    closed: a device between its two ends may have dropped the connection's state, and neither end
    would ever see an error.
*/
class peer_links {
 public:
  /** Callbacks to the node. They run on the connections' thread and must not block. */
  struct hooks {
    std::function<void(connection_id, call_message)> on_call;
    std::function<void(connection_id, attempt_id)> on_cancel;
    std::function<void(connection_id, body_chunk_message)> on_chunk;
    std::function<query_reply_message(const query_message&)> on_query;
    /** A connection was closed or lost, so calls received on it can't be answered on it. */
    std::function<void(connection_id)> on_connection_lost;
    std::function<void(const hello_message&)> on_hello;
    /** A node reported that it is draining.
        @param incarnation  the draining incarnation; 0 for the one last received from */
    std::function<void(endpoint, incarnation_id incarnation)> on_draining;
    /** A connection that this node opened could not be established, or was closed or lost. */
    std::function<void(endpoint)> on_unreachable;
    /** Messages about tables and shares of limits. */
    std::function<void(endpoint, message_type, std::span<const char>)> on_fleet_message;
    /** The hello and the load figures that this node sends. */
    std::function<hello_message()> own_hello;
    std::function<load_report()> own_load;
  };

  /** What another node reported of itself in its hello and its replies. */
  struct peer_info {
    incarnation_id incarnation = 0;
    std::uint32_t window = 0;
  };

  peer_links(hooks node_hooks, event_log& events);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  //============================================================================
  /** Listens for other nodes. Port 0 selects a free port, which is stored in `address`. */
  absl::Status Listen(endpoint& address);

  /** Sends a call and sets its attempt id. Returns nullptr if the connection did not accept the
      message, in which case nothing was sent. */
  std::shared_ptr<outgoing_attempt> StartCall(endpoint to, call_message& call);

  /** Sends a query about a ticket, opening a connection if there is none. Returns nullptr if
      nothing was sent. */
  std::shared_ptr<outgoing_attempt> Query(endpoint to, query_message& query);
  /** Like Query(), but delivers the reply to an existing attempt. Returns false if nothing was
      sent. */
  bool QueryFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to,
                query_message& query);

  /** Cancels the attempt at the other node and removes it. */
  void Abandon(const outgoing_attempt& attempt);
  /** Removes a finished attempt and the queries that were sent for it. */
  void Forget(const outgoing_attempt& attempt);

  /** Returns the identity of the node at an endpoint. If the connection is new, waits for the
      node's hello; returns nullopt if none is received by `until`. */
  std::optional<peer_info> AwaitPeerInfo(endpoint peer, instant until);

  /** Sends a frame to a node or on a connection. Both return false if nothing was sent. */
  bool SendTo(endpoint peer, std::string frame);
  bool Send(connection_id connection, std::string frame);

  /** Announces to all connected nodes that this node accepts no new work. */
  void AnnounceDraining(const draining_message& message);

  /** Sends heartbeats and closes silent connections. The owner calls this every few milliseconds.
      @param paused  whether this process did not run for a while, so that unread messages must
                     not count as silence of the peers */
  void Tick(instant now, bool paused);

  /** Ends all attempts with the event of a lost connection. No hook runs after this. */
  void Stop();

  //============================================================================
  std::size_t connections() const;
  std::size_t attempts_outstanding() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
