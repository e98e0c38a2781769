#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What the target's node reported with an answer. */
struct target_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t limit = 1;
  duration service_time{};
  /** Moving average of the fraction of the target's answers that were successes, 0 to 1. */
  double success_ratio = 1.0;
  /** The target's node is about to stop and serves for a few more seconds. */
  bool stopping = false;
};

}  // namespace cuminferry
