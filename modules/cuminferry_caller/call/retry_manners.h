#pragma once

#include <chrono>
#include <cstdint>

namespace cuminferry {

/** How a caller goes on after a refusal or a doubtful end. The defaults are
    those of a well-behaved caller; the rest exist to play impatient ones. */
struct retry_manners {
  /** Attempts of one call, the first included. */
  std::uint32_t attempts = 3;
  /** Pause before the second attempt; doubles with each further one and is
      drawn between a half and the whole of it. */
  std::chrono::milliseconds first_pause{100};
  std::chrono::milliseconds longest_pause{2000};
  /** Waits as long as the refusal asks for. */
  bool heeds_retry_after = true;
  /** Asks again after an answer 502, 503 or 504 of the backend server itself. */
  bool repeats_failures = false;
  /** Sends a non-idempotent request again although it may have run. Never safe:
      for measurements of what that does. */
  bool repeats_unknown = false;
};

}  // namespace cuminferry
