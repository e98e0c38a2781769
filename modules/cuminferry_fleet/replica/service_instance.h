#pragma once

#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One run of a backend server process, as the platform publishes it. */
struct service_instance {
  /** Id of this run; a restarted process has another one. */
  std::string id;
  std::string service;
  endpoint backend;
  std::string failure_domain;
  /** Number of requests that the backend server runs concurrently. */
  std::uint32_t slots = 1;
  /** Whether the instance is draining: it gets no new requests and stops soon. */
  bool draining = false;
  /** Warm-up time after the entry was written, in which the instance runs slower than usual. */
  duration warm_up_time{};
  /** Revision at which the entry was first listed. @see item_revision */
  std::uint64_t created = 0;
  /** Revision of the entry's last change. @see item_revision */
  std::uint64_t revision = 0;

  bool operator==(const service_instance&) const = default;
};

}  // namespace cuminferry
