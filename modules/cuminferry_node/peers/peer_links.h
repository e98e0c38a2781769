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

    One connection is opened to each node that is called; calls that come in use
    the connections that others opened. A connection that answers no heartbeat
    while work is outstanding is given up: something between its two ends may
    have lost track of it, and nothing on it would ever say so.
*/
class peer_links {
 public:
  /** What the node is told; called on the connections' thread, must not block. */
  struct hooks {
    std::function<void(connection_id, call_message)> on_call;
    std::function<void(connection_id, attempt_id)> on_cancel;
    std::function<void(connection_id, body_chunk_message)> on_chunk;
    std::function<ask_reply_message(const ask_message&)> on_ask;
    /** A connection that calls came in on is gone. */
    std::function<void(connection_id)> on_lost;
    std::function<void(const hello_message&)> on_hello;
    /** @param incarnation the one that is leaving; 0: the one last heard of */
    std::function<void(endpoint, incarnation_id incarnation)> on_leaving;
    /** A connection to a node could not be opened, or went silent. */
    std::function<void(endpoint)> on_unreachable;
    /** Messages about tables and shares of limits. */
    std::function<void(endpoint, message_type, std::span<const char>)> on_fleet_message;
    /** What this node says of itself. */
    std::function<hello_message()> own_hello;
    std::function<load_advert()> own_load;
  };

  /** What is known of another node by its hello and its replies. */
  struct peer_facts {
    incarnation_id incarnation = 0;
    std::uint32_t window = 0;
  };

  peer_links(hooks chosen, event_log& events);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  //============================================================================
  /** Listens for other nodes; port 0 takes a free one. */
  absl::Status Listen(endpoint& at);

  /** Sends a call; the attempt's number is set here. nullptr where the
      connection could not take it: it was not sent at all. */
  std::shared_ptr<outgoing_attempt> StartCall(endpoint to, call_message& call);

  /** Asks about a ticket; opens a connection where there is none. */
  std::shared_ptr<outgoing_attempt> Ask(endpoint to, ask_message& question);
  /** As Ask(), but the answer is delivered to an attempt that exists. False: not sent. */
  bool AskFor(const std::shared_ptr<outgoing_attempt>& attempt, endpoint to, ask_message& question);

  /** Tells the other node that the answer is no longer wanted, and forgets the attempt. */
  void Abandon(const outgoing_attempt& attempt);
  /** Forgets an attempt that has ended, and the questions that were asked for it. */
  void Forget(const outgoing_attempt& attempt);

  /** The identity of the node at an endpoint; waits for its hello where the
      connection is new. nullopt where it doesn't come in time. */
  std::optional<peer_facts> FactsOf(endpoint peer, instant until);

  /** Sends on a connection that a call came in on, or to a node. False: not sent. */
  bool SendTo(endpoint peer, std::string frame);
  bool Send(connection_id connection, std::string frame);

  /** Tells all nodes that are connected that this one takes nothing new. */
  void AnnounceLeaving(const leaving_message& message);

  /** Sends heartbeats, gives up silent connections. To be called every few milliseconds.
      @param paused this process woke up late: its silence is not the peers' fault */
  void Tick(instant now, bool paused);

  /** Ends all attempts as lost; no hook runs after this. */
  void Stop();

  //============================================================================
  std::size_t connections() const;
  std::size_t attempts_outstanding() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
