#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Reads keys of the platform's configuration service over HTTP.

    All functions but Interrupt() must be called from one thread. The client keeps one connection
    open and switches to the next address if the current one fails.
*/
class platform_client {
 public:
  /** @param on_invalid_answer  called with what is wrong with bytes that came in the place of an
                                answer */
  explicit platform_client(std::span<const endpoint> addresses,
                           std::function<void(std::string_view problem)> on_invalid_answer = {});
  ~platform_client();

  /** Returns the current value of a key, kPlatformUnreachable if the platform does not answer,
      kReadBudgetSpent if it refuses because of its rate limit, or kPlatformBadValue if the key does
      not exist.
      @param timeout  limits the whole read */
  absl::StatusOr<std::string> Read(std::string_view key, std::chrono::milliseconds timeout);

  /** Like Read(), but waits until the value is newer than the one this client read last, or until
      `timeout` has passed. A client can watch one key only. */
  absl::StatusOr<std::string> Watch(std::string_view key, std::chrono::seconds timeout);

  /** Aborts a running read or watch. May be called from any thread. */
  void Interrupt();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
