#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/replica/service_instance.h"

namespace cuminferry {

/** The tree along which changes of published items reach all nodes, so that few nodes read the
    platform itself.

    The platform counts each call, and its capacity grows with neither the fleet nor the number
    of failure domains. Two nodes of the fleet therefore read it. The first pair of nodes in
    each failure domain queries these readers, and each further pair queries a pair above it
    in its own failure domain. The number of queries to one node does not grow with the fleet,
    and a change crosses to a failure domain twice, not once for each of its nodes.

    Nodes are ordered by a hash of the addresses of all listed instances. Nodes that know
    different lists may compute different trees; a surplus reader does no harm.
    @see item_exchange for the handling of nodes above that don't answer
*/
class dissemination_tree {
 public:
  /** Readers in the fleet. They are in two failure domains where there are two, as one domain
      may fail at any time. */
  static constexpr std::size_t kReaders = 2;
  /** Pairs that query each pair. One node then answers about 64 queries per second, whatever
      the size of the fleet. 600 nodes of a failure domain form four levels. */
  static constexpr std::size_t kPairsPerParent = 16;

  /** Computes the tree for a new list of instances.
      @param own          the address of this node's backend server
      @param own_domain   this node's failure domain */
  void Update(const std::vector<service_instance>& listed, const endpoint& own,
              std::string_view own_domain);

  /** Whether no other node is known. */
  bool empty() const { return sources_.empty() && substitutes_.empty(); }
  /** Whether this node reads the platform for the fleet. */
  bool is_reader() const { return depth_ == 0; }
  /** Whether this node belongs to the second pair of its failure domain, which replaces the
      first pair where that one receives nothing. */
  bool is_backup() const { return backs_up_; }
  /** Number of nodes through which a change passes between the platform and this node. */
  std::size_t depth() const { return depth_; }
  /** Backend server addresses of the nodes that this node queries; for a reader, of the other
      reader. */
  const std::vector<endpoint>& sources() const { return sources_; }
  /** Backend server addresses of other nodes near the root of the tree, which are queried where
      no source answers. */
  const std::vector<endpoint>& substitutes() const { return substitutes_; }

 private:
  std::size_t depth_ = 0;
  bool backs_up_ = false;
  std::vector<endpoint> sources_;
  std::vector<endpoint> substitutes_;
};

}  // namespace cuminferry
