#include "cuminferry_policy/customers/replica_age.h"

#include <algorithm>

namespace cuminferry {

void replica_age::OnCurrentAt(instant moment) { current_at_ = std::max(current_at_, moment); }

std::optional<duration> replica_age::AgeAt(instant now) const {
  if (current_at_ == instant{}) {
    return std::nullopt;
  }
  return now - current_at_;
}

duration replica_age::RemainingTrustTime(duration allowed, instant now) const {
  const std::optional<duration> age = AgeAt(now);
  if (!age) {
    return duration::zero();
  }
  const double usable = (1.0 - kReservedFraction) * static_cast<double>(allowed.count());
  return duration(static_cast<duration::rep>(usable)) - *age;
}

bool replica_age::IsUpToDate(instant now) const {
  const std::optional<duration> age = AgeAt(now);
  return age && *age <= kEditTime;
}

}  // namespace cuminferry
