#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Chooses the nodes to which a node announces an event that it has found or received first.

    If all of them were drawn at random, one node in twenty would be announced nothing: with
    kFanout peers each, a fraction of about e^-kFanout is never drawn. Two of the peers are
    therefore the node's neighbours in a ring of all nodes, ordered by a hash of their addresses:
    two others announce to each node, and it misses an event only if neither of them received it.
    The random peer makes an event cross a large fleet in a few round trips.

    Nodes that know different lists choose different neighbours, so an event may still miss a node,
    which must then learn of it in another way. A choice costs a pass over all peers.
*/
class announcement_ring {
 public:
  /** Number of peers that are chosen, if there are as many. */
  static constexpr std::size_t kFanout = 3;

  /** @param own  the node's own address, as the other nodes list it */
  explicit announcement_ring(const endpoint& own);

  /** Returns the peers to which the node announces, each once.
      @param peers  the other nodes, each once, without the node itself */
  std::vector<endpoint> ChoosePeers(std::span<const endpoint> peers, random_source& random) const;

 private:
  // Both neighbours in the ring; one where there is only one other node.
  std::vector<endpoint> NeighboursIn(std::span<const endpoint> peers) const;

  const std::uint64_t own_position_;
};

}  // namespace cuminferry
