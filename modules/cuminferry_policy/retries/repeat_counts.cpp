#include "cuminferry_policy/retries/repeat_counts.h"

#include <algorithm>

namespace cuminferry {

repeat_counts::repeat_counts(duration window)
    : slice_length_(std::max(duration(1), window / static_cast<duration::rep>(kSlicesPerWindow))) {}

void repeat_counts::Advance(instant now) {
  const std::int64_t current = NumberOf(now);
  const std::int64_t first =
      std::max(newest_ + 1, current - static_cast<std::int64_t>(kSlices) + 1);
  for (std::int64_t number = first; number <= current; ++number) {
    slices_[static_cast<std::size_t>(number) % kSlices] = {};
  }
  newest_ = std::max(newest_, current);
  newest_elapsed_fraction_ = static_cast<double>((now.time_since_epoch() % slice_length_).count()) /
                             static_cast<double>(slice_length_.count());
}

repeat_counts::slice& repeat_counts::At(instant when) {
  const std::int64_t oldest =
      std::max<std::int64_t>(0, newest_ - static_cast<std::int64_t>(kSlices) + 1);
  const std::int64_t number = std::clamp(NumberOf(when), oldest, newest_);
  return slices_[static_cast<std::size_t>(number) % kSlices];
}

const repeat_counts::slice& repeat_counts::Aged(std::size_t age) const {
  static constexpr slice kNone;
  return age < kSlices ? slices_[(static_cast<std::size_t>(newest_) + kSlices - age) % kSlices]
                       : kNone;
}

double repeat_counts::Sum(double slice::*counter, std::size_t age, std::size_t count) const {
  double sum = 0.0;
  for (std::size_t i = age; i < age + count; ++i) {
    sum += Aged(i).*counter;
  }
  return sum;
}

}  // namespace cuminferry
