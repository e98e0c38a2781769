#include "cuminferry_policy/entry/running_work.h"

#include <algorithm>

namespace cuminferry {

void running_work::OnStart(instant entered, double repeated) {
  ++runs_;
  entered_micros_ += ToMicros(entered);
  repeated_ += repeated;
}

void running_work::OnEnd(instant entered, double repeated) {
  --runs_;
  entered_micros_ -= ToMicros(entered);
  repeated_ = runs_ > 0 ? repeated_ - repeated : 0.0;
}

duration running_work::MeanAge(instant now) const {
  if (runs_ <= 0) {
    return duration::zero();
  }
  return std::max(duration::zero(), duration(ToMicros(now) - entered_micros_ / runs_));
}

double running_work::repeated_share() const {
  return runs_ > 0 ? std::clamp(repeated_ / static_cast<double>(runs_), 0.0, 1.0) : 0.0;
}

}  // namespace cuminferry
