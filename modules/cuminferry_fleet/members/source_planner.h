#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/members/member_view.h"
#include "cuminferry_fleet/tables/content_fetcher.h"

namespace cuminferry {

/** Selects the sources that a node queries for a value, and the nodes that read the platform.

    All nodes compute the same order of a service's instances, which differs for each value.
    The first instance of each region reads the platform and the others query that instance,
    so that an edit costs one platform read per region and no node is queried by all others.
    The instances of a calling service proceed likewise: the first of them queries an
    instance of the called service, and the others query that first one.
*/
class source_planner {
 public:
  struct options {
    endpoint self;
    std::string service;
    std::string region;
    std::vector<endpoint> seeds;
  };

  explicit source_planner(options chosen);
  ~source_planner();

  /** Returns the sources of a value, in the order in which they are queried.
      @param own_members   the instances of this node's own service
      @param value_members the instances of the service that the value belongs to */
  std::vector<content_source> SourcesOf(std::string_view name, std::uint64_t version,
                                        std::span<const member> own_members,
                                        std::span<const member> value_members,
                                        random_source& random) const;

  /** Whether this node is one of the two nodes of its service that watch the service's list.
      There are two, as one may have crashed while the list still contains it. */
  bool IsWatcher(std::span<const member> own_members) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
