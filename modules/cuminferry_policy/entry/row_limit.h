#pragma once

#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Limit on the requests of a row: that of the service with the least room among those that the
    requests reach. The nodes that serve the row report it with each answer. */
struct row_limit {
  /** Share of the load on that service that may be admitted; 1 where it has room for all. */
  double share = 1.0;
  /** Slot time that one request of the row takes at that service, including all calls made for
      the request. */
  duration cost{};
  /** Name of the service; rows with the same service compete for its slots. */
  std::string service;

  bool operator==(const row_limit&) const = default;
};

}  // namespace cuminferry
