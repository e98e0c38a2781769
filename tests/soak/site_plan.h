#pragma once

#include <string_view>
#include <vector>

#include "soak/soak_target.h"

namespace cuminferry::testing {

/** One fault of a site. */
struct site_event {
  enum class kind : std::uint8_t {
    kTargets,       ///< faults of backend servers
    kTargetCrash,   ///< a backend server ends; another uses its address after the span
    kNodeKill,      ///< SIGKILL; the process is restarted after the span
    kNodeStop,      ///< SIGTERM; the process is restarted when it has ended
    kNodeFreeze,    ///< SIGSTOP for the span
    kStoreRefuses,  ///< the store resets the connections of a machine
    kStoreSilent,   ///< the store says nothing to a machine
    kBurst,         ///< clients send more of the row that may run once
    kHotCustomer,   ///< one customer sends most of the requests
    kImpatience,    ///< clients leave early
  };

  kind what = kind::kTargets;
  /** Time since requests began. */
  duration start{};
  duration span{};
  /** Affected machines; all where it doesn't say. */
  std::vector<std::size_t> machines;
  target_fault fault;
  /** kBurst: factor on the load. kImpatience: share of the requests. */
  double factor = 1.0;

  bool Affects(std::size_t machine) const;
};

std::string_view ToText(site_event::kind what);

/** Draws the faults of a soak from its seed. Most overlap with others. */
std::vector<site_event> DrawSitePlan(std::uint64_t seed, std::size_t machines, duration length);

}  // namespace cuminferry::testing
