#include "cuminferry_core/time/recent_maximum.h"

#include <algorithm>

namespace cuminferry {

void recent_maximum::Advance(instant now) {
  const duration age = now - newer_began_;
  if (age < kMemory) {
    return;
  }
  older_maximum_ = age < 2 * kMemory ? newer_maximum_ : value_;
  newer_maximum_ = value_;
  newer_began_ = now;
}

void recent_maximum::Set(std::size_t value, instant now) {
  Advance(now);
  value_ = value;
  newer_maximum_ = std::max(newer_maximum_, value);
}

void recent_maximum::Add(std::size_t value, instant now) {
  Advance(now);
  newer_maximum_ = std::max(newer_maximum_, value);
}

std::size_t recent_maximum::ValueAt(instant now) {
  Advance(now);
  return std::max(newer_maximum_, older_maximum_);
}

}  // namespace cuminferry
