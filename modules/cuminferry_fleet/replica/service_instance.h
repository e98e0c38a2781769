#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One run of a backend server process, as the platform publishes it. */
struct service_instance {
  /** Id of the instance. A restarted process mostly has another one. */
  std::string id;
  /** When this run of the process started, in milliseconds since 1970; 0 where it is not published.
      Runs with the same id share nothing else. */
  std::int64_t started_millis = 0;
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

/** A change of the published list: an instance that was added or changed, or the id of one that is
    no longer listed. */
struct instance_change {
  std::string id;
  std::optional<service_instance> listed;
  /** Whether the item itself no longer exists. False where it still does, but another writer
      overwrote it or the table doesn't declare its service. */
  bool is_item_gone = false;
};

/** The instance that counts as the one at an address from now on; nothing where there is none. */
struct address_change {
  endpoint backend;
  std::optional<service_instance> instance;
};

}  // namespace cuminferry
