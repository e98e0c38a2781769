#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Refers nodes that have just started to other nodes for their first replica.

    A seed is known to every node, and after an outage all nodes start at once. If a seed sent a
    copy of all items to each of thousands of nodes, it would take minutes. A node that has a copy
    therefore sends it to a few nodes in each second and refers the others to these. One that has
    none yet lets a few nodes wait for it and refers each later one to nodes that asked before, so
    that the copy spreads along a tree with kDirect branches at each node.

    Where the platform lists no instance yet, as before the first start of a fleet, all nodes have
    a copy and none has a place in the dissemination tree. They wait for the list in the same way.
*/
class start_referrals {
 public:
  /** Nodes to which one node sends a copy in kPeriod, and nodes that wait for one node. */
  static constexpr std::size_t kDirect = 8;
  static constexpr duration kPeriod = std::chrono::seconds(1);
  /** Nodes to which one node is referred, so that the loss of one does no harm. */
  static constexpr std::size_t kReferrals = 2;
  /** Time after which a node that asked, or got a copy, is forgotten. */
  static constexpr duration kMemory = std::chrono::seconds(10);

  /** Records that a node without a replica, or without a place in the dissemination tree, asks for
      items, and returns the nodes to which it is referred; none if it is answered here.
      @param has_wanted_items  whether this node has the items and sends them where none is
                               returned */
  std::vector<endpoint> ReferralsFor(const endpoint& peer, bool has_wanted_items, instant now);

 private:
  struct waiting_node {
    std::size_t number = 0;
    std::size_t queries = 0;
  };
  using timed_nodes = std::deque<std::pair<instant, endpoint>>;

  void Forget(instant now);
  std::vector<endpoint> ReferToServed(const endpoint& peer, instant now);
  std::vector<endpoint> ReferToWaiting(const endpoint& peer, instant now);

  // Nodes that got a copy, in the order of time.
  timed_nodes served_;
  std::size_t next_served_ = 0;
  // Nodes that asked while there was no copy, in the order of their first query.
  timed_nodes order_;
  std::map<endpoint, waiting_node> waiting_;
  // Number of the first node in `order_`.
  std::size_t first_number_ = 0;
};

}  // namespace cuminferry
