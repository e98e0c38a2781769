#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Reads keys of the platform's configuration service over HTTP.

    Used from one thread, but for Interrupt(). Keeps one connection and goes on
    to the next address where one does not answer.
*/
class platform_client {
 public:
  explicit platform_client(std::span<const endpoint> addresses);
  ~platform_client();

  /** The value of a key now. kPlatformUnreachable where nobody answers,
      kReadBudgetSpent where the platform refuses for its rate, kPlatformBadValue
      where the key does not exist.
      @param longest bounds the whole read */
  absl::StatusOr<std::string> Read(std::string_view key, std::chrono::milliseconds longest);

  /** As Read(), but waits until the value is newer than that of the last watch
      of this client, or the time is over. For one key only. */
  absl::StatusOr<std::string> Watch(std::string_view key, std::chrono::seconds longest);

  /** Ends a read or watch that is under way, from another thread. */
  void Interrupt();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
