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

/** Calls out of the own backend server, and calls that this node relays for a
    caller whose ticket is bound to another node. */
class egress_side {
 public:
  /** What the egress works with; all outlive it. */
  struct parts {
    peer_links& links;
    serving_side& serving;
    request_records& records;
    table_store& tables;
    connection_watch& watch;
    node_metrics& metrics;
    event_log& events;
    /** The own incarnation, for tickets. */
    incarnation_id incarnation = 0;
    /** Begins to follow a service that is called for the first time. */
    std::function<void(std::string_view service)> follow;
  };

  egress_side(const node_settings& settings, parts chosen);
  ~egress_side();
  egress_side(const egress_side&) = delete;
  egress_side& operator=(const egress_side&) = delete;

  //============================================================================
  /** Serves one HTTP request of the own backend server: /<service>/<path>. */
  void Serve(const http_request& request, http_response& response);

  /** Sends a caller's request to the node that its ticket is bound to. */
  reply_message Relay(const http_request& request, incoming_call call);

  /** Asks the home of a ticket what became of it. */
  ask_reply_message AskHome(const ticket& claim, bool revoke, instant until);

  //============================================================================
  void UseTargets(std::string_view service, std::span<const target_info> targets);
  /** Another node was heard of by its hello. */
  void OnHello(const hello_message& hello);
  void MarkDraining(endpoint target, incarnation_id incarnation);
  /** This process did not run for a while. */
  void NoteProcessPause();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
