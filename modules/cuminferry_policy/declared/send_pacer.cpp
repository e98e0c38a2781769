#include "cuminferry_policy/declared/send_pacer.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Allows for the rounding of the time to whole microseconds.
constexpr double kOneToken = 1.0 - 1e-6;

}  // namespace

double send_pacer::Capacity() const { return std::max(1.0, *rate_ * ToSeconds(kBurstTime)); }

double send_pacer::TokensAt(instant now) const {
  return std::min(Capacity(), tokens_ + *rate_ * ToSeconds(now - counted_at_));
}

void send_pacer::SetRate(const std::optional<double>& rate, instant now) {
  if (rate && rate_ == std::max(*rate, kMinRate)) {
    return;
  }
  const double left = rate_ ? TokensAt(now) : 0.0;
  rate_.reset();
  if (rate) {
    rate_ = std::max(*rate, kMinRate);
    tokens_ = std::min(left, Capacity());
    counted_at_ = now;
  }
}

bool send_pacer::TryTake(instant now) {
  if (!rate_) {
    return true;
  }
  const double tokens = TokensAt(now);
  if (tokens < kOneToken) {
    return false;
  }
  tokens_ = tokens - 1.0;
  counted_at_ = now;
  return true;
}

duration send_pacer::WaitFor(std::size_t requests, instant now) const {
  if (!rate_) {
    return duration::zero();
  }
  const double missing = static_cast<double>(requests) - TokensAt(now);
  return std::chrono::ceil<duration>(
      std::chrono::duration<double>(std::max(0.0, missing) / *rate_));
}

}  // namespace cuminferry
