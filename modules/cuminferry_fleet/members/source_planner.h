#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/members/member_view.h"
#include "cuminferry_fleet/tables/content_fetch.h"

namespace cuminferry {

/** Whom a node asks for a value, and which nodes turn to the platform.

    All nodes put a service's instances in one order, which differs from value to
    value. The first one of each region reads the platform and the others ask it,
    so that an edit costs one read for each region and no node is asked by all.
    Those that call the service do alike among themselves: the first of them asks
    an instance of the service, the others ask that first one.
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

  /** The sources of a value, in the order to be asked.
      @param fellows the instances of the own service
      @param holders the instances of the service that the value is about */
  std::vector<content_source> SourcesOf(std::string_view name, std::uint64_t version,
                                        std::span<const member> fellows,
                                        std::span<const member> holders,
                                        random_source& random) const;

  /** Whether this node is one of the two of its service that watch its list; two,
      as one may be gone without the list saying so. */
  bool IsWatcher(std::span<const member> fellows) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
