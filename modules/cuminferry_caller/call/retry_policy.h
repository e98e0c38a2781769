#pragma once

#include <chrono>
#include <cstdint>

namespace cuminferry {

/** How a caller retries after a refusal or an unknown outcome. The defaults suit callers in
    production; the other values simulate impatient callers. */
struct retry_policy {
  /** Maximum number of attempts of one call, including the first. */
  std::uint32_t attempts = 3;
  /** Maximum pause before the second attempt. It doubles with each further attempt; the actual
     pause is drawn at random between half of it and all of it. */
  std::chrono::milliseconds initial_backoff{100};
  std::chrono::milliseconds max_backoff{2000};
  /** Waits at least as long as a refusal requests. */
  bool honors_retry_after = true;
  /** Retries after an answer of the backend server itself with status 502, 503 or 504. */
  bool retries_server_errors = false;
  /** Sends a non-idempotent request again although it may have run. This is never safe; it exists
     to measure the effect of such callers. */
  bool retries_unknown = false;
};

}  // namespace cuminferry
