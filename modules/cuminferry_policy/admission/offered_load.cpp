#include "cuminferry_policy/admission/offered_load.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

constexpr std::uint32_t kHashValues = 1U << 16;
constexpr std::uint32_t kHashesPerBucket = kHashValues / offered_load::kBuckets;
constexpr double kShortSeconds = std::chrono::duration<double>(offered_load::kShortMemory).count();
/** The short memory is noisy: only so many standard deviations beyond count as a surge. */
constexpr double kSurgeDeviations = 3.0;
constexpr double kLargestSurge = 20.0;
constexpr double kMemorySeconds = std::chrono::duration<double>(offered_load::kMemory).count();
/** How long the former rate of a level that is refused further up is remembered. */
constexpr double kRememberedSeconds = 5.0;
/** A level with less than this is forgotten. */
constexpr float kLeastRemembered = 0.01F;

std::uint32_t LevelNumber(call_rank rank) { return rank.packed() >> 16; }

call_rank RankAt(std::uint32_t level, double hash) {
  const double bounded = std::clamp(hash, 0.0, static_cast<double>(kHashValues - 1));
  return call_rank((level << 16) | static_cast<std::uint32_t>(bounded));
}

}  // namespace

offered_load::level& offered_load::LevelOf(std::uint32_t number) {
  auto place =
      std::lower_bound(levels_.begin(), levels_.end(), number,
                       [](const level& one, std::uint32_t wanted) { return one.number < wanted; });
  if (place != levels_.end() && place->number == number) {
    return *place;
  }
  if (levels_.size() >= kLevelBound) {
    return place == levels_.begin() ? *place : *std::prev(place);
  }
  level fresh;
  fresh.number = number;
  return *levels_.insert(place, fresh);
}

void offered_load::Record(call_rank rank) {
  if (levels_.capacity() == 0) {
    levels_.reserve(kLevelBound);
  }
  level& into = LevelOf(LevelNumber(rank));
  const float weight = static_cast<float>(1.0 / kMemorySeconds);
  into.counts[rank.hash() / kHashesPerBucket] += weight;
  into.total += weight;
  short_rate_ += 1.0 / kShortSeconds;
  into.remembered = std::max(into.remembered, into.total);
}

void offered_load::RecordStart(call_rank rank, instant now) {
  const std::uint32_t number = LevelNumber(rank);
  for (level& one : levels_) {
    if (one.number == number) {
      one.last_start = now;
    }
  }
}

std::optional<std::uint16_t> offered_load::StartedBelow(std::uint16_t weight, instant since) const {
  std::optional<std::uint16_t> highest;
  for (const level& one : levels_) {
    const auto of_level = static_cast<std::uint16_t>(one.number >> 1);
    if (of_level < weight && one.last_start >= since && one.last_start != instant()) {
      highest = of_level;
    }
  }
  return highest;
}

void offered_load::Decay(duration passed) {
  const double seconds = std::chrono::duration<double>(passed).count();
  const auto keep = static_cast<float>(std::exp(-seconds / kMemorySeconds));
  short_rate_ *= std::exp(-seconds / kShortSeconds);
  const auto remember = static_cast<float>(std::exp(-seconds / kRememberedSeconds));
  for (level& one : levels_) {
    one.total *= keep;
    one.remembered = std::max(one.remembered * remember, one.total);
    for (float& count : one.counts) {
      count *= keep;
    }
  }
  std::erase_if(levels_, [](const level& one) { return one.remembered < kLeastRemembered; });
}

void offered_load::Clear() {
  levels_.clear();
  short_rate_ = 0;
}

double offered_load::SurgeFactor() const {
  const double expected = rate() * kShortSeconds;
  const double seen = short_rate_ * kShortSeconds;
  if (seen < expected + kSurgeDeviations * std::sqrt(expected + 1.0)) {
    return 1.0;
  }
  return std::clamp(short_rate_ / std::max(rate(), 1.0), 1.0, kLargestSurge);
}

double offered_load::rate() const {
  double sum = 0;
  for (const level& one : levels_) {
    sum += one.total;
  }
  return sum;
}

double offered_load::AboveIn(const level& one, std::uint32_t hash) {
  const std::size_t cut = hash / kHashesPerBucket;
  const double inside = hash % kHashesPerBucket;
  double sum = one.counts[cut] * (1.0 - inside / kHashesPerBucket);
  for (std::size_t bucket = cut + 1; bucket < kBuckets; ++bucket) {
    sum += one.counts[bucket];
  }
  return sum;
}

double offered_load::RateAbove(call_rank threshold) const {
  double sum = 0;
  for (const level& one : levels_) {
    if (one.number > LevelNumber(threshold)) {
      sum += one.total;
    } else if (one.number == LevelNumber(threshold)) {
      sum += AboveIn(one, threshold.hash());
    }
  }
  return sum;
}

call_rank offered_load::ThresholdForRate(double rate) const {
  double left = rate;
  for (auto one = levels_.rbegin(); one != levels_.rend(); ++one) {
    if (one->total < left) {
      left -= one->total;
      continue;
    }
    for (std::size_t bucket = kBuckets; bucket-- > 0;) {
      const double count = one->counts[bucket];
      if (count < left) {
        left -= count;
        continue;
      }
      const double part = count > 0 ? std::max(left, 0.0) / count : 0.0;
      return RankAt(one->number, (static_cast<double>(bucket + 1) - part) * kHashesPerBucket);
    }
  }
  return {};
}

call_rank offered_load::Lower(call_rank from, double by_rate) const {
  double left = by_rate;
  double top = from.hash();
  for (auto one = levels_.rbegin(); one != levels_.rend(); ++one) {
    if (one->number > LevelNumber(from)) {
      continue;
    }
    double density = std::max(one->total, one->remembered) / kHashValues;
    if (one->number < LevelNumber(from)) {
      top = kHashValues;
    } else {
      const double seen_hashes = std::max(kHashValues - top, 1.0 * kHashesPerBucket);
      density = std::max(density, AboveIn(*one, from.hash()) / seen_hashes);
    }
    const double available = density * top;
    if (available >= left && density > 0) {
      return RankAt(one->number, top - left / density);
    }
    left -= available;
  }
  return {};
}

}  // namespace cuminferry
