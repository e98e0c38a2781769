#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Selects the nodes that sum up a customer's requests: the coordinator and its substitute.

    The selection is a rendezvous hash of the customer over the nodes. Nodes that know the same
    list therefore agree without messages, each node coordinates the same number of customers, and
    the removal of a node moves only that node's customers. Nodes of failure domains that are cut
    off are left out, so each part of a divided fleet has its own coordinators.
*/
class coordinator_picker {
 public:
  /** A node, by the address of its backend server. */
  struct node {
    endpoint backend;
    std::string failure_domain;

    bool operator==(const node&) const = default;
  };
  /** Returns whether a failure domain is cut off from this node. */
  using cut_off_predicate = std::function<bool(std::string_view domain)>;

  /** For this long a node counts that is no longer listed and did not announce that it leaves:
     lists lose entries of nodes that run and admit requests by their parts. */
  static constexpr duration kMissingTime = std::chrono::seconds(60);

  /** Adds a node, or changes the failure domain of one. */
  void AddNode(const node& added);
  /** Removes a node that is no longer listed. */
  void RemoveNode(const endpoint& backend, instant now);
  /** The node has announced that it leaves; it no longer counts once it is removed. */
  void OnLeaving(const endpoint& backend) { missing_.erase(backend); }

  /** Returns at most two nodes, in two failure domains if there are two; the first one is queried
      first. */
  std::vector<endpoint> CoordinatorsOf(std::string_view customer,
                                       const cut_off_predicate& is_cut_off) const;
  /** Share of the nodes that are reachable; 1 where no node is known. Missing nodes of domains
      that are cut off count as unreachable; those of other domains have ended. */
  double ReachableShare(const cut_off_predicate& is_cut_off, instant now) const;
  /** Number of nodes, missing ones included. */
  std::size_t CountAt(instant now) const;
  /** Failure domain of a node; empty where the node isn't known. */
  std::string DomainOf(const endpoint& backend) const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct missing_node {
    std::string failure_domain;
    instant removed_at{};

    bool CountsAt(instant now) const { return now - removed_at <= kMissingTime; }
  };

  void Extract(const endpoint& backend);

  // Failure domains by address.
  std::map<endpoint, std::string> nodes_;
  std::map<std::string, std::size_t, std::less<>> nodes_by_domain_;
  // Removed nodes that did not announce that they leave.
  std::map<endpoint, missing_node> missing_;
};

}  // namespace cuminferry
