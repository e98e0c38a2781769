#pragma once

#include <cstddef>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Paces what is sent to a backend server that declares a rate, over all calling nodes.

    A token bucket that holds the requests of kBurstTime at most, so that a quiet second isn't made
    up for by twice the rate in the next one. Some requests are sent at any rate, even at zero, as
    only an answer can show that the declaration is over.
*/
class send_pacer {
 public:
  static constexpr duration kBurstTime = std::chrono::milliseconds(250);
  /** Maximum time between two requests. */
  static constexpr duration kMaxInterval = std::chrono::milliseconds(1'050);
  static constexpr double kMinRate = 1.0 / ToSeconds(kMaxInterval);

  /** @param rate  requests a second; nothing where none is declared */
  void SetRate(const std::optional<double>& rate, instant now);
  bool is_limited() const { return rate_.has_value(); }
  /** Requests a second that are sent; is_limited() holds. */
  double rate() const { return *rate_; }

  /** Takes the turn of one request; returns false where none is due. */
  bool TryTake(instant now);
  /** Time until as many requests may be sent. */
  duration WaitFor(std::size_t requests, instant now) const;

 private:
  double Capacity() const;
  double TokensAt(instant now) const;

  std::optional<double> rate_;
  double tokens_ = 0.0;
  instant counted_at_{};
};

}  // namespace cuminferry
