#include "cuminferry_fleet/replica/watch_schedule.h"

#include <algorithm>

namespace cuminferry {

void watch_schedule::OnCompleteAt(instant moment) { complete_at_ = std::max(complete_at_, moment); }

duration watch_schedule::WaitAt(instant now) const {
  const duration left = complete_at_ + kMaxWait - now;
  return std::chrono::floor<std::chrono::milliseconds>(
      std::clamp(left, duration(kMinWait), duration(kMaxWait)));
}

duration watch_schedule::MaxAgeOfAnswer(bool has_changes, duration wait, duration elapsed) {
  const duration min_wait = wait - kWaitTolerance;
  return !has_changes && elapsed >= min_wait ? elapsed - min_wait : elapsed;
}

duration watch_schedule::PauseAfter(bool has_changes, duration elapsed) {
  return has_changes ? std::max(duration::zero(), kMinInterval - elapsed) : duration::zero();
}

}  // namespace cuminferry
