#include "cuminferry_policy/customers/copy_age.h"

#include <algorithm>

namespace cuminferry {

void copy_age::OnCurrentAt(instant moment) { current_at_ = std::max(current_at_, moment); }

std::optional<duration> copy_age::At(instant now) const {
  if (current_at_ == instant{}) {
    return std::nullopt;
  }
  return now - current_at_;
}

duration copy_age::LeftFor(duration allowed, instant now) const {
  const std::optional<duration> age = At(now);
  if (!age) {
    return duration::zero();
  }
  const double usable = (1.0 - kReservedFraction) * static_cast<double>(allowed.count());
  return duration(static_cast<duration::rep>(usable)) - *age;
}

bool copy_age::IsSettled(instant now) const {
  const std::optional<duration> age = At(now);
  return age && *age <= kEditTime;
}

}  // namespace cuminferry
