#pragma once

#include <cstdint>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One backend server that may run a service's requests, as published by its node. */
struct published_target {
  /** Id of the backend server; a restarted one mostly has another id. */
  std::string id;
  /** When this run of the backend server started, in milliseconds since 1970; 0 where unknown. */
  std::int64_t started_millis = 0;
  endpoint backend;
  std::string failure_domain;
  std::uint32_t slots = 1;
  /** The backend server is slower than usual until this time. */
  instant warmed_up_at{};

  bool operator==(const published_target&) const = default;
};

}  // namespace cuminferry
