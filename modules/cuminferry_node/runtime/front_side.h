#pragma once

#include <memory>

#include "cuminferry_node/http/connection_watch.h"
#include "cuminferry_node/http/http_server.h"
#include "cuminferry_node/runtime/egress_side.h"
#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {

/** Serves the requests of callers, for which this node is the ingress. Also answers
    queries about tickets and revokes tickets. */
class front_side {
 public:
  front_side(const node_settings& settings, endpoint peer_address, incarnation_id incarnation,
             serving_side& serving, egress_side& egress, table_store& tables,
             connection_watch& watch);
  ~front_side();

  /** Serves one HTTP request of a caller. */
  void Serve(const http_request& request, http_response& response);

  /** Number of requests in progress, including those whose body is still being received. */
  std::uint32_t requests_in_progress() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
