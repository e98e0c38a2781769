#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The place of one node in the dissemination tree. Nodes are named by the addresses of their
    backend servers. @see dissemination_tree */
struct tree_position {
  /** Maximum number of nodes through which a change passes between the platform and this node;
      0 for a reader. */
  std::size_t depth = 0;
  /** Nodes that this node queries; for a reader, the other reader. */
  std::vector<endpoint> sources;
  /** Nodes that this node queries in this order if the sources bring nothing new. */
  std::vector<endpoint> substitutes;
  /** Position in the order in which nodes begin to watch the platform if the readers bring
      nothing new; nothing for a node that is not among them. */
  std::optional<std::size_t> standby_rank;
  /** The node belongs to the first pair of its failure domain. */
  bool is_domain_entry = false;
  /** The node belongs to the second pair of its failure domain. */
  bool is_domain_backup = false;

  /** Whether this node reads the platform for the fleet. */
  bool is_reader() const { return depth == 0; }
  /** Whether no other node is known. */
  bool is_alone() const { return sources.empty() && substitutes.empty(); }
};

}  // namespace cuminferry
