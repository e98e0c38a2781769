#pragma once

#include <chrono>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What a node knows of the rate that a backend server declares. */
struct rate_belief {
  /** A declaration that is not confirmed for this long is forgotten: long enough for a backend
      server that is paused or that nobody calls for a while, short enough that one which can't be
      asked doesn't stay limited. */
  static constexpr duration kMaxAge = std::chrono::seconds(60);

  /** Requests a second that the backend server takes from all nodes together. */
  double rate = 0.0;
  /** Time since the backend server's answer that declared it. */
  duration age{};

  bool operator==(const rate_belief&) const = default;
};

}  // namespace cuminferry
