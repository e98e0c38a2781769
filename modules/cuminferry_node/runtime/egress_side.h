#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cuminferry_node/http/connection_watch.h"
#include "cuminferry_node/http/http_server.h"
#include "cuminferry_node/peers/peer_links.h"
#include "cuminferry_node/runtime/node_metrics.h"
#include "cuminferry_node/runtime/running_request.h"
#include "cuminferry_node/runtime/serving_side.h"
#include "cuminferry_node/runtime/table_store.h"

namespace cuminferry {

/** Serves the outgoing calls of this node's backend server, and relays the requests of
    callers whose ticket is bound to another node. */
class egress_side {
 public:
  /** The objects that the egress uses; all of them must outlive it. */
  struct dependencies {
    peer_links& links;
    serving_side& serving;
    running_request_registry& records;
    table_store& tables;
    connection_watch& watch;
    node_metrics& metrics;
    event_log& events;
    /** The incarnation of this node, for tickets. */
    incarnation_id incarnation = 0;
    /** Subscribes to the table and the targets of a service that is called for the first time. */
    std::function<void(std::string_view service)> follow;
  };

  egress_side(const node_settings& settings, dependencies chosen);
  ~egress_side();
  egress_side(const egress_side&) = delete;
  egress_side& operator=(const egress_side&) = delete;

  //============================================================================
  /** Serves one HTTP request of this node's backend server, with the target
      /<service>/<path>. */
  void Serve(const http_request& request, http_response& response);

  /** Sends a caller's request to the node that its ticket is bound to. */
  reply_message Relay(const http_request& request, incoming_call call);

  /** Queries the state of a ticket at the ticket's home, or revokes the ticket there.
      @return code kTicketHomeUnreachable where no reply was received by `until` */
  query_reply_message QueryHome(const ticket& claim, bool revoke, instant until);

  //============================================================================
  void UseTargets(std::string_view service, std::span<const target_info> targets);
  /** Adds the node that sent this hello to the targets, if its service is called from here. */
  void OnHello(const hello_message& hello);
  void MarkDraining(endpoint target, incarnation_id incarnation);
  /** Reports that this process was paused: calls lost meanwhile don't count against targets. */
  void NoteProcessPause();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
