#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** One node: the process beside a backend server, as an object.

    @code
    auto made = node::builder().WithSettings(settings).Start();
    @endcode
*/
class node {
 public:
  /** Where a node listens, once ports chosen by the system are known. */
  struct addresses {
    endpoint front;
    endpoint egress;
    endpoint peer;
    endpoint admin;
  };

  class builder {
   public:
    builder& WithSettings(node_settings settings);
    /** Listens, begins to ask for tables, and serves. */
    absl::StatusOr<std::unique_ptr<node>> Start();

   private:
    node_settings settings_;
  };

  /** Stops at once; Drain() first to cut nothing off. */
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  //============================================================================
  /** Takes nothing new, tells all who are connected, and finishes what is in
      flight, however long it takes. Returns when nothing is left. */
  void Drain();

  /** Whether an operator asked for a drain at the admin address. */
  bool drain_requested() const;

  //============================================================================
  const addresses& at() const;

 private:
  class state;
  explicit node(std::unique_ptr<state> made);
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
