#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminferry_fleet/replica/tree_position.h"

namespace cuminferry {

/** The tree along which changes of published items reach all nodes, so that few nodes read the
    platform itself.

    The platform counts each call, and its capacity grows with neither the fleet nor the number
    of failure domains. Two nodes of the fleet therefore read it. The first pair of nodes in
    each failure domain queries these readers, and each further pair queries a pair above it
    in its own failure domain. The number of queries to one node does not grow with the fleet,
    and a change crosses to a failure domain twice, not once for each of its nodes.

    Nodes are ordered by a hash of their addresses. Nodes that know different lists may compute
    different trees; a surplus reader does no harm. Adding or removing one node moves the entries
    behind it in its failure domain and recomputes nothing else.
    @see refresh_planner for the handling of nodes above that don't answer
*/
class dissemination_tree {
 public:
  /** Readers in the fleet. They are in two failure domains where there are two, as one domain
      may fail at any time. */
  static constexpr std::size_t kReaders = 2;
  /** Pairs that query each pair. One node then answers about 64 queries per second, whatever
      the size of the fleet. 600 nodes of a failure domain form four levels. */
  static constexpr std::size_t kPairsPerParent = 16;
  /** Nodes that replace the readers, one pair after the other. */
  static constexpr std::size_t kMaxStandbys = 24;
  /** Substitutes of a node whose sources are in its own failure domain. */
  static constexpr std::size_t kMaxNeighbours = 4;

  /** Adds a node, by the address of its backend server; one that is known already changes
      nothing. */
  void Add(const endpoint& backend, std::string_view failure_domain);
  /** Removes a node, where it is known in this failure domain. */
  void Remove(const endpoint& backend, std::string_view failure_domain);

  /** Returns the place of a node. One that is not in the tree yet takes the position after the
      last of its failure domain. */
  tree_position PositionOf(const endpoint& own, std::string_view own_domain) const;

 private:
  /** The nodes of one failure domain with their hashes, ordered by hash. */
  using domain_nodes = std::vector<std::pair<std::uint64_t, endpoint>>;
  using domain_map = std::map<std::string, domain_nodes, std::less<>>;

  std::vector<endpoint> RootOrder(std::size_t count) const;
  std::vector<endpoint> Neighbours(domain_map::const_iterator own_domain,
                                   std::size_t parent_pair) const;

  domain_map domains_;
};

}  // namespace cuminferry
