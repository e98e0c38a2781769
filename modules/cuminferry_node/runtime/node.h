#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** A node: the process that runs alongside a backend server and controls its load.

    @code
    auto made = node::builder().WithSettings(settings).Start();
    @endcode
*/
class node {
 public:
  /** The addresses on which a node listens, with the ports that the system assigned. */
  struct addresses {
    endpoint front;
    endpoint egress;
    endpoint peer;
    endpoint admin;
  };

  class builder {
   public:
    builder& WithSettings(node_settings settings);
    /** Starts the node: listens on all addresses, begins to request tables, and serves.
        @return an error where an address can't be listened on */
    absl::StatusOr<std::unique_ptr<node>> Start();

   private:
    node_settings settings_;
  };

  /** Stops at once and aborts what is in flight; call Drain() first to avoid that. */
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  //============================================================================
  /** Refuses new requests, announces the drain to all connected nodes, and completes the
      requests in flight without a time limit. Returns when none is left. */
  void Drain();

  /** Whether a drain was requested: by an operator at the admin address, by the backend
      server, or because the platform removes this instance. */
  bool is_drain_requested() const;

  //============================================================================
  const addresses& listen_addresses() const;

 private:
  class state;
  explicit node(std::unique_ptr<state> made);
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
