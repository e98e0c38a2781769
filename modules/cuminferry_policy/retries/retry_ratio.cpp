#include "cuminferry_policy/retries/retry_ratio.h"

#include <algorithm>

namespace cuminferry {

void retry_ratio::OnFirstAttempt(instant now) {
  Grant(now);
  balance_ = std::min(kMaxBalance, balance_ + kEarnedPerCall);
}

bool retry_ratio::TakeOne(instant now) {
  Grant(now);
  if (balance_ < 1.0) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

void retry_ratio::Grant(instant now) {
  const double due =
      kMaxBalance * std::clamp(ToSeconds(now - started_) / ToSeconds(kGrantTime), 0.0, 1.0);
  if (due > granted_) {
    balance_ = std::min(kMaxBalance, balance_ + due - granted_);
    granted_ = due;
  }
}

}  // namespace cuminferry
