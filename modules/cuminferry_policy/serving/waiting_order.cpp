#include "cuminferry_policy/serving/waiting_order.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cuminferry {
namespace {

constexpr double kNoSlackBound = std::numeric_limits<double>::infinity();
constexpr std::uint64_t kMaxId = std::numeric_limits<std::uint64_t>::max();
// Number of blocks that are scanned together before the scan stops at a hit.
constexpr std::size_t kScanLength = 16;

using entry = waiting_order::entry;

/** Returns the index of the first of `size` sorted entries that is not before the key. */
std::size_t LowerBound(const entry* entries, std::size_t size, const entry& key) {
  const entry* const found =
      std::lower_bound(entries, entries + size, key,
                       [](const entry& left, const entry& right) { return left.IsBefore(right); });
  return static_cast<std::size_t>(found - entries);
}

double MicrosOf(instant when) { return static_cast<double>(ToMicros(when)); }

/** Returns the first index that satisfies a condition, or `size`. The condition is evaluated for
    kScanLength indexes at a time without branches, so that the compiler vectorizes it. */
template <typename Condition>
std::size_t FirstIndex(std::size_t size, const Condition& condition) {
  std::size_t at = 0;
  while (at + kScanLength <= size) {
    unsigned hits = 0;
    for (std::size_t i = 0; i < kScanLength; ++i) {
      hits |= condition(at + i) ? 1U : 0U;
    }
    if (hits != 0) {
      break;
    }
    at += kScanLength;
  }
  while (at < size && !condition(at)) {
    ++at;
  }
  return at;
}

}  // namespace

waiting_order::entry::entry(std::uint32_t rank, instant last_useful_start, std::uint64_t id,
                            bool is_client)
    : id(id), is_client(is_client ? 1 : 0) {
  const auto micros = std::clamp<std::int64_t>(ToMicros(last_useful_start), 0, kMaxMicros);
  sort_key =
      std::uint64_t{std::min(rank, kMaxRank)} << kTimeBits | static_cast<std::uint64_t>(micros);
}

// Two neighbouring blocks together are always more than half full.
void waiting_order::Reserve(std::size_t entries) {
  reserved_ = entries;
  const std::size_t blocks = 4 * entries / kBlockSize + 2;
  const std::size_t previous = pool_.size() / kBlockSize;
  pool_.resize(blocks * kBlockSize);
  free_slots_.reserve(blocks);
  for (std::size_t slot = previous; slot < blocks; ++slot) {
    free_slots_.push_back(static_cast<std::uint32_t>(slot));
  }
  pool_slots_.reserve(blocks);
  counts_.reserve(blocks);
  client_counts_.reserve(blocks);
  first_entries_.reserve(blocks);
  positions_.reserve(blocks);
  earliest_starts_.reserve(blocks);
  slacks_.reserve(blocks);
}

void waiting_order::InsertBlock(std::size_t at) {
  const auto offset = static_cast<std::ptrdiff_t>(at);
  pool_slots_.insert(pool_slots_.begin() + offset, free_slots_.back());
  free_slots_.pop_back();
  counts_.insert(counts_.begin() + offset, 0);
  client_counts_.insert(client_counts_.begin() + offset, 0);
  first_entries_.insert(first_entries_.begin() + offset, entry());
  positions_.insert(positions_.begin() + offset, 0);
  earliest_starts_.insert(earliest_starts_.begin() + offset, 0);
  slacks_.insert(slacks_.begin() + offset, kNoSlackBound);
}

void waiting_order::EraseBlock(std::size_t at) {
  const auto offset = static_cast<std::ptrdiff_t>(at);
  free_slots_.push_back(pool_slots_[at]);
  pool_slots_.erase(pool_slots_.begin() + offset);
  counts_.erase(counts_.begin() + offset);
  client_counts_.erase(client_counts_.begin() + offset);
  first_entries_.erase(first_entries_.begin() + offset);
  positions_.erase(positions_.begin() + offset);
  earliest_starts_.erase(earliest_starts_.begin() + offset);
  slacks_.erase(slacks_.begin() + offset);
}

void waiting_order::UpdateSlack(std::size_t block) {
  const entry* entries = EntriesOf(block);
  double slack = kNoSlackBound;
  for (std::size_t i = 0; i < counts_[block]; ++i) {
    const double own =
        MicrosOf(entries[i].last_useful_start()) - static_cast<double>(i) * interval_micros_;
    slack = entries[i].is_checked_for_lateness ? std::min(slack, own) : slack;
  }
  slacks_[block] = slack;
}

void waiting_order::UpdateSlackBound() {
  slack_ = kNoSlackBound;
  for (std::size_t block = 0; block < slacks_.size(); ++block) {
    slack_ = std::min(slack_, slacks_[block] - positions_[block] * interval_micros_);
  }
}

void waiting_order::UpdateBlock(std::size_t block) {
  const entry* entries = EntriesOf(block);
  std::uint32_t clients = 0;
  std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
  for (std::size_t i = 0; i < counts_[block]; ++i) {
    clients += static_cast<std::uint32_t>(entries[i].is_client);
    earliest = std::min(earliest, ToMicros(entries[i].last_useful_start()));
  }
  first_entries_[block] = entries[0];
  client_counts_[block] = clients;
  earliest_starts_[block] = earliest;
  UpdateSlack(block);
}

// Four independent minima, as a single one would wait for its own result at each element.
void waiting_order::UpdateEarliest() {
  std::array<std::int64_t, 4> minima;
  minima.fill(std::numeric_limits<std::int64_t>::max());
  const std::size_t size = earliest_starts_.size();
  std::size_t at = 0;
  for (; at + minima.size() <= size; at += minima.size()) {
    for (std::size_t lane = 0; lane < minima.size(); ++lane) {
      minima[lane] = std::min(minima[lane], earliest_starts_[at + lane]);
    }
  }
  for (; at < size; ++at) {
    minima[0] = std::min(minima[0], earliest_starts_[at]);
  }
  earliest_start_ = *std::ranges::min_element(minima);
}

void waiting_order::ShiftPositions(std::size_t first, std::int32_t by) {
  for (std::size_t block = first; block < positions_.size(); ++block) {
    positions_[block] += static_cast<std::uint32_t>(by);
  }
}

// Returns the last block whose first entry is not after the key, or the first block.
std::size_t waiting_order::BlockFor(const entry& key) const {
  const std::size_t not_before = LowerBound(first_entries_.data(), first_entries_.size(), key);
  const bool is_equal =
      not_before < first_entries_.size() && !key.IsBefore(first_entries_[not_before]);
  return is_equal || not_before == 0 ? not_before : not_before - 1;
}

waiting_order::entry* waiting_order::Find(const entry& key, std::size_t& block) {
  if (empty()) {
    return nullptr;
  }
  block = BlockFor(key);
  entry* const begin = EntriesOf(block);
  const std::size_t at = LowerBound(begin, counts_[block], key);
  return at < counts_[block] && begin[at].id == key.id ? begin + at : nullptr;
}

void waiting_order::SplitBlock(std::size_t at) {
  InsertBlock(at + 1);
  const std::uint32_t kept = counts_[at] / 2;
  const entry* const from = EntriesOf(at);
  std::copy(from + kept, from + counts_[at], EntriesOf(at + 1));
  counts_[at + 1] = counts_[at] - kept;
  counts_[at] = kept;
  positions_[at + 1] = positions_[at] + kept;
  UpdateBlock(at);
  UpdateBlock(at + 1);
}

void waiting_order::Insert(const entry& inserted) {
  if (size_ == reserved_) {
    Reserve(2 * reserved_);
  }
  if (pool_slots_.empty()) {
    InsertBlock(0);
    earliest_starts_[0] = std::numeric_limits<std::int64_t>::max();
    earliest_start_ = earliest_starts_[0];
    slack_ = kNoSlackBound;
  }
  std::size_t block = BlockFor(inserted);
  if (counts_[block] == kBlockSize) {
    SplitBlock(block);
    block += inserted.IsBefore(first_entries_[block + 1]) ? 0 : 1;
  }
  entry* const begin = EntriesOf(block);
  entry* const end = begin + counts_[block];
  entry* const at = begin + LowerBound(begin, counts_[block], inserted);
  std::copy_backward(at, end, end + 1);
  *at = inserted;
  first_entries_[block] = *begin;
  ++counts_[block];
  client_counts_[block] += inserted.is_client ? 1 : 0;
  const std::int64_t start = ToMicros(inserted.last_useful_start());
  earliest_starts_[block] = std::min(earliest_starts_[block], start);
  earliest_start_ = std::min(earliest_start_, start);
  // Entries behind the new one start one interval later.
  const double own =
      MicrosOf(inserted.last_useful_start()) - static_cast<double>(at - begin) * interval_micros_;
  const double new_slack = inserted.is_checked_for_lateness ? own : kNoSlackBound;
  slacks_[block] = std::min(slacks_[block] - interval_micros_, new_slack);
  slack_ = std::min(slack_ - interval_micros_, new_slack - positions_[block] * interval_micros_);
  ShiftPositions(block + 1, 1);
  ++size_;
}

// Bounds the number of blocks by the number of entries. @see Reserve
void waiting_order::MergeIfSparse(std::size_t at) {
  if (at + 1 >= counts_.size() || counts_[at] + counts_[at + 1] > kBlockSize / 2) {
    return;
  }
  const entry* const next = EntriesOf(at + 1);
  std::copy(next, next + counts_[at + 1], EntriesOf(at) + counts_[at]);
  slacks_[at] =
      std::min(slacks_[at], slacks_[at + 1] - static_cast<double>(counts_[at]) * interval_micros_);
  earliest_starts_[at] = std::min(earliest_starts_[at], earliest_starts_[at + 1]);
  client_counts_[at] += client_counts_[at + 1];
  counts_[at] += counts_[at + 1];
  EraseBlock(at + 1);
}

bool waiting_order::Erase(const entry& removed) {
  std::size_t block = 0;
  entry* const found = Find(removed, block);
  if (found == nullptr) {
    return false;
  }
  const entry erased = *found;
  entry* const begin = EntriesOf(block);
  std::copy(found + 1, begin + counts_[block], found);
  --counts_[block];
  --size_;
  client_counts_[block] -= erased.is_client ? 1 : 0;
  ShiftPositions(block + 1, -1);
  const bool was_earliest = ToMicros(erased.last_useful_start()) == earliest_start_;
  if (counts_[block] == 0) {
    EraseBlock(block);
  } else {
    first_entries_[block] = *begin;
    if (ToMicros(erased.last_useful_start()) == earliest_starts_[block]) {
      const entry* const earliest = std::min_element(
          begin, begin + counts_[block], [](const entry& left, const entry& right) {
            return left.last_useful_start() < right.last_useful_start();
          });
      earliest_starts_[block] = ToMicros(earliest->last_useful_start());
    }
    MergeIfSparse(block);
  }
  if (block > 0) {
    MergeIfSparse(block - 1);
  }
  if (was_earliest) {
    UpdateEarliest();
  }
  return true;
}

void waiting_order::SetCheckedForLateness(const entry& changed, bool is_checked_for_lateness) {
  std::size_t block = 0;
  entry* const found = Find(changed, block);
  if (found != nullptr) {
    found->is_checked_for_lateness = is_checked_for_lateness ? 1 : 0;
    UpdateSlack(block);
    slack_ = std::min(slack_, slacks_[block] - positions_[block] * interval_micros_);
  }
}

void waiting_order::Clear() {
  while (!pool_slots_.empty()) {
    EraseBlock(pool_slots_.size() - 1);
  }
  size_ = 0;
}

void waiting_order::SetInterval(double micros) {
  if (std::abs(micros - interval_micros_) <= kMaxIntervalError * interval_micros_) {
    return;
  }
  interval_micros_ = micros;
  for (std::size_t block = 0; block < counts_.size(); ++block) {
    UpdateSlack(block);
  }
  UpdateSlackBound();
}

const waiting_order::entry& waiting_order::back() const {
  const std::size_t block = counts_.size() - 1;
  return EntriesOf(block)[counts_[block] - 1];
}

const waiting_order::entry* waiting_order::LastClient() const {
  for (std::size_t block = counts_.size(); block > 0; --block) {
    if (client_counts_[block - 1] > 0) {
      const entry* found = EntriesOf(block - 1) + counts_[block - 1] - 1;
      while (!found->is_client) {
        --found;
      }
      return found;
    }
  }
  return nullptr;
}

std::size_t waiting_order::CountAhead(std::uint32_t rank, instant last_useful_start) const {
  if (empty()) {
    return 0;
  }
  const entry key(rank, last_useful_start, kMaxId, false);
  const std::size_t block = BlockFor(key);
  return positions_[block] + LowerBound(EntriesOf(block), counts_[block], key);
}

const waiting_order::entry* waiting_order::FirstLate(instant first_start) {
  const double start = MicrosOf(first_start);
  if (empty() || slack_ >= start) {
    return nullptr;
  }
  const auto may_be_late = [&](std::size_t block) {
    return slacks_[block] - positions_[block] * interval_micros_ < start;
  };
  while (true) {
    const std::size_t block = FirstIndex(counts_.size(), may_be_late);
    if (block == counts_.size()) {
      UpdateSlackBound();
      return nullptr;
    }
    UpdateSlack(block);
    if (!may_be_late(block)) {
      continue;
    }
    const entry* const entries = EntriesOf(block);
    for (std::size_t i = 0; i < counts_[block]; ++i) {
      const double position = positions_[block] + static_cast<double>(i);
      if (entries[i].is_checked_for_lateness &&
          MicrosOf(entries[i].last_useful_start()) - position * interval_micros_ < start) {
        return entries + i;
      }
    }
    // Only rounding differs between the two comparisons.
    slacks_[block] = std::nextafter(start + positions_[block] * interval_micros_, kNoSlackBound);
  }
}

const waiting_order::entry* waiting_order::FirstExpired(instant now) const {
  const std::int64_t micros = ToMicros(now);
  const std::size_t block =
      FirstIndex(counts_.size(), [&](std::size_t at) { return earliest_starts_[at] < micros; });
  if (block == counts_.size()) {
    return nullptr;
  }
  const entry* const begin = EntriesOf(block);
  return std::find_if(begin, begin + counts_[block],
                      [&](const entry& each) { return each.last_useful_start() < now; });
}

}  // namespace cuminferry
