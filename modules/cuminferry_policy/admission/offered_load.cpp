#include "cuminferry_policy/admission/offered_load.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

constexpr std::uint32_t kHashValues = 1U << 16;
constexpr std::uint32_t kHashesPerBucket = kHashValues / offered_load::kBuckets;
constexpr double kShortTimeConstantSeconds =
    std::chrono::duration<double>(offered_load::kShortTimeConstant).count();
/** The short-term rate is noisy. It counts as a surge only where it exceeds the expected rate by
    this many standard deviations. */
constexpr double kSurgeStandardDeviations = 3.0;
constexpr double kMaxSurgeFactor = 20.0;
constexpr double kTimeConstantSeconds =
    std::chrono::duration<double>(offered_load::kTimeConstant).count();
/** Time constant with which the peak rate of a band decays. The peak stands for the rate of a band
    whose calls are refused further up the call graph. */
constexpr double kPeakTimeConstantSeconds = 5.0;
/** A band whose peak rate falls below this number of calls per second is discarded. */
constexpr float kMinPeakRate = 0.01F;

std::uint32_t BandNumber(call_rank rank) { return rank.packed() >> 16; }

call_rank RankAt(std::uint32_t band, double hash) {
  const double bounded = std::clamp(hash, 0.0, static_cast<double>(kHashValues - 1));
  return call_rank((band << 16) | static_cast<std::uint32_t>(bounded));
}

}  // namespace

offered_load::band& offered_load::FindOrAddBand(std::uint32_t number) {
  auto position = std::lower_bound(
      bands_.begin(), bands_.end(), number,
      [](const band& entry, std::uint32_t wanted) { return entry.number < wanted; });
  if (position != bands_.end() && position->number == number) {
    return *position;
  }
  if (bands_.size() >= kMaxBands) {
    return position == bands_.begin() ? *position : *std::prev(position);
  }
  band new_band;
  new_band.number = number;
  return *bands_.insert(position, new_band);
}

void offered_load::Record(call_rank rank) {
  if (bands_.capacity() == 0) {
    bands_.reserve(kMaxBands);
  }
  band& band_of_rank = FindOrAddBand(BandNumber(rank));
  const float weight = static_cast<float>(1.0 / kTimeConstantSeconds);
  band_of_rank.counts[rank.hash() / kHashesPerBucket] += weight;
  band_of_rank.total += weight;
  short_rate_ += 1.0 / kShortTimeConstantSeconds;
  band_of_rank.decaying_peak = std::max(band_of_rank.decaying_peak, band_of_rank.total);
}

void offered_load::RecordStart(call_rank rank, instant now) {
  const std::uint32_t number = BandNumber(rank);
  for (band& entry : bands_) {
    if (entry.number == number) {
      entry.last_start = now;
    }
  }
}

std::optional<std::uint16_t> offered_load::HighestWeightStartedBelow(std::uint16_t weight,
                                                                     instant since) const {
  std::optional<std::uint16_t> highest;
  for (const band& entry : bands_) {
    const auto band_weight = static_cast<std::uint16_t>(entry.number >> 1);
    if (band_weight < weight && entry.last_start >= since && entry.last_start != instant()) {
      highest = band_weight;
    }
  }
  return highest;
}

void offered_load::Decay(duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto decay_factor = static_cast<float>(std::exp(-seconds / kTimeConstantSeconds));
  short_rate_ *= std::exp(-seconds / kShortTimeConstantSeconds);
  const auto peak_decay_factor = static_cast<float>(std::exp(-seconds / kPeakTimeConstantSeconds));
  for (band& entry : bands_) {
    entry.total *= decay_factor;
    entry.decaying_peak = std::max(entry.decaying_peak * peak_decay_factor, entry.total);
    for (float& count : entry.counts) {
      count *= decay_factor;
    }
  }
  std::erase_if(bands_, [](const band& entry) { return entry.decaying_peak < kMinPeakRate; });
}

void offered_load::Clear() {
  bands_.clear();
  short_rate_ = 0;
}

double offered_load::SurgeFactor() const {
  const double expected = rate() * kShortTimeConstantSeconds;
  const double seen = short_rate_ * kShortTimeConstantSeconds;
  if (seen < expected + kSurgeStandardDeviations * std::sqrt(expected + 1.0)) {
    return 1.0;
  }
  return std::clamp(short_rate_ / std::max(rate(), 1.0), 1.0, kMaxSurgeFactor);
}

double offered_load::rate() const {
  double sum = 0;
  for (const band& entry : bands_) {
    sum += entry.total;
  }
  return sum;
}

double offered_load::RateAboveInBand(const band& entry, std::uint32_t hash) {
  const std::size_t first_bucket = hash / kHashesPerBucket;
  const double offset_in_bucket = hash % kHashesPerBucket;
  double sum = entry.counts[first_bucket] * (1.0 - offset_in_bucket / kHashesPerBucket);
  for (std::size_t bucket = first_bucket + 1; bucket < kBuckets; ++bucket) {
    sum += entry.counts[bucket];
  }
  return sum;
}

double offered_load::RateAbove(call_rank threshold) const {
  double sum = 0;
  for (const band& entry : bands_) {
    if (entry.number > BandNumber(threshold)) {
      sum += entry.total;
    } else if (entry.number == BandNumber(threshold)) {
      sum += RateAboveInBand(entry, threshold.hash());
    }
  }
  return sum;
}

call_rank offered_load::ThresholdForRate(double rate) const {
  double remaining = rate;
  for (auto entry = bands_.rbegin(); entry != bands_.rend(); ++entry) {
    if (entry->total < remaining) {
      remaining -= entry->total;
      continue;
    }
    for (std::size_t bucket = kBuckets; bucket-- > 0;) {
      const double count = entry->counts[bucket];
      if (count < remaining) {
        remaining -= count;
        continue;
      }
      const double fraction = count > 0 ? std::max(remaining, 0.0) / count : 0.0;
      return RankAt(entry->number, (static_cast<double>(bucket + 1) - fraction) * kHashesPerBucket);
    }
  }
  return {};
}

call_rank offered_load::LowerThreshold(call_rank from, double by_rate) const {
  double remaining = by_rate;
  double top = from.hash();
  for (auto entry = bands_.rbegin(); entry != bands_.rend(); ++entry) {
    if (entry->number > BandNumber(from)) {
      continue;
    }
    double density = std::max(entry->total, entry->decaying_peak) / kHashValues;
    if (entry->number < BandNumber(from)) {
      top = kHashValues;
    } else {
      const double seen_hashes = std::max(kHashValues - top, 1.0 * kHashesPerBucket);
      density = std::max(density, RateAboveInBand(*entry, from.hash()) / seen_hashes);
    }
    const double available = density * top;
    if (available >= remaining && density > 0) {
      return RankAt(entry->number, top - remaining / density);
    }
    remaining -= available;
  }
  return {};
}

}  // namespace cuminferry
