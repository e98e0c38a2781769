#pragma once

#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One start of a backend server, as the platform publishes it. */
struct service_instance {
  /** Of this start; a restart has another. */
  std::string id;
  std::string service;
  endpoint backend;
  std::string failure_domain;
  /** Requests that it runs at the same time. */
  std::uint32_t slots = 1;
  /** It gets no new requests and ends soon. */
  bool leaving = false;
  /** It runs slower than usual for so long after the entry was written. */
  duration cold_for{};
  /** When the entry was first listed. @see item_revision */
  std::uint64_t created = 0;
  /** Of the entry's last change. @see item_revision */
  std::uint64_t revision = 0;

  bool operator==(const service_instance&) const = default;
};

}  // namespace cuminferry
