#include "cuminferry_policy/serving/request_queue.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cuminferry {
namespace {

// Weight of one start in the share of starts out of order.
constexpr double kStartWeight = 1.0 / request_queue::kMeanRequests;
// Bounds the factor by which starts out of order lengthen the expected wait.
constexpr double kMaxOutOfOrderShare = 0.9;
// The hash map is reserved for several times the number of requests, as erased elements take space
// until it is rehashed in place.
constexpr std::size_t kMapReserveFactor = 4;
constexpr std::size_t kMinReserved = 64;

}  // namespace

waiting_order::entry request_queue::EntryFor(const request& from) const {
  return {is_by_importance() ? from.priority : 0, from.last_useful_start, from.id, !from.nested};
}

double request_queue::GuaranteedShare() const {
  return std::max(kMinNestedShare, kNestedShare * nested_arrival_share_);
}

void request_queue::SetOrder(queue_order order) {
  if (order == order_) {
    return;
  }
  std::vector<request> waiting;
  waiting.reserve(requests_.size());
  for (const auto& [id, each] : requests_) {
    waiting.push_back(each);
  }
  all_.Clear();
  nested_.Clear();
  requests_.clear();
  nested_count_ = 0;
  order_ = order;
  for (const request& each : waiting) {
    Add(each);
  }
}

void request_queue::OnArrival(bool nested) {
  arrivals_ = std::min(kMeanRequests, arrivals_ + 1.0);
  nested_arrival_share_ += ((nested ? 1.0 : 0.0) - nested_arrival_share_) / arrivals_;
}

void request_queue::Add(const request& added) {
  if (requests_.size() >= reserved_) {
    reserved_ = std::max(kMinReserved, 2 * reserved_);
    requests_.reserve(kMapReserveFactor * reserved_);
  }
  requests_.emplace(added.id, added);
  waiting_order::entry entry = EntryFor(added);
  all_.Insert(entry);
  nested_count_ += added.nested ? 1 : 0;
  if (added.nested && is_by_importance()) {
    entry.is_checked_for_lateness = 0;
    nested_.Insert(entry);
  }
}

std::size_t request_queue::StartsAhead(const request& arriving) const {
  const std::uint32_t rank = is_by_importance() ? arriving.priority : 0;
  const std::size_t ahead = all_.CountAhead(rank, arriving.last_useful_start);
  if (!is_by_importance()) {
    return ahead;
  }
  const double in_order = static_cast<double>(ahead) / (1.0 - out_of_order_share_);
  if (!arriving.nested) {
    return static_cast<std::size_t>(std::ceil(in_order));
  }
  const std::size_t nested_ahead = nested_.CountAhead(rank, arriving.last_useful_start);
  const double by_share = static_cast<double>(nested_ahead + 1) / GuaranteedShare() - 1.0;
  return static_cast<std::size_t>(std::ceil(std::min(in_order, by_share)));
}

std::optional<request_queue::request> request_queue::TakeEntry(const waiting_order::entry* entry) {
  return entry == nullptr ? std::nullopt : Take(entry->id);
}

std::optional<request_queue::request> request_queue::Take(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return std::nullopt;
  }
  const request taken = found->second;
  const waiting_order::entry entry = EntryFor(taken);
  requests_.erase(found);
  all_.Erase(entry);
  if (taken.nested) {
    --nested_count_;
    nested_.Erase(entry);
  }
  return taken;
}

std::vector<std::uint64_t> request_queue::IdsInOrder() const {
  std::vector<waiting_order::entry> entries;
  entries.reserve(requests_.size());
  for (const auto& [id, waiting] : requests_) {
    entries.push_back(EntryFor(waiting));
  }
  std::ranges::sort(entries,
                    [](const auto& left, const auto& right) { return left.IsBefore(right); });
  std::vector<std::uint64_t> ids;
  ids.reserve(entries.size());
  for (const waiting_order::entry& entry : entries) {
    ids.push_back(entry.id);
  }
  return ids;
}

std::optional<request_queue::request> request_queue::TakeNext() {
  if (empty()) {
    return std::nullopt;
  }
  const std::uint64_t first = all_.front().id;
  if (!is_by_importance()) {
    return Take(first);
  }
  owed_nested_starts_ = std::min(kMaxOwedStarts, owed_nested_starts_ + GuaranteedShare());
  const bool is_owed = owed_nested_starts_ >= 1.0 && !nested_.empty();
  const std::uint64_t next = is_owed ? nested_.front().id : first;
  out_of_order_share_ += kStartWeight * ((next != first ? 1.0 : 0.0) - out_of_order_share_);
  out_of_order_share_ = std::min(kMaxOutOfOrderShare, out_of_order_share_);
  const std::optional<request> taken = Take(next);
  if (taken->nested) {
    owed_nested_starts_ = std::max(-kMaxOwedStarts, owed_nested_starts_ - 1.0);
  }
  return taken;
}

std::optional<request_queue::request> request_queue::TakeExpired(instant now) {
  return TakeEntry(all_.FirstExpired(now));
}

std::optional<request_queue::request> request_queue::TakeLate(const start_times& starts,
                                                              instant now) {
  if (!is_by_importance() || empty()) {
    return std::nullopt;
  }
  const double share = GuaranteedShare();
  const duration first_by_share(
      static_cast<duration::rep>(static_cast<double>(starts.first.count()) / share));
  all_.SetInterval(starts.interval_micros / (1.0 - out_of_order_share_));
  nested_.SetInterval(starts.interval_micros / share);
  // A nested call that is late in one order may be in time in the other.
  while (const waiting_order::entry* late = nested_.FirstLate(now + first_by_share)) {
    const waiting_order::entry entry = *late;
    nested_.SetCheckedForLateness(entry, false);
    all_.SetCheckedForLateness(entry, true);
  }
  while (const waiting_order::entry* late = all_.FirstLate(now + starts.first)) {
    const waiting_order::entry entry = *late;
    if (entry.is_client != 0) {
      return Take(entry.id);
    }
    nested_.SetCheckedForLateness(entry, true);
    if (const waiting_order::entry* late_by_share = nested_.FirstLate(now + first_by_share)) {
      return Take(late_by_share->id);
    }
    all_.SetCheckedForLateness(entry, false);
  }
  return std::nullopt;
}

std::optional<request_queue::request> request_queue::TakeLeastImportant() {
  if (empty()) {
    return std::nullopt;
  }
  const double kept = GuaranteedShare() * static_cast<double>(size());
  const bool keeps_nested = static_cast<double>(nested_.size()) <= std::ceil(kept);
  const waiting_order::entry* const last_client = keeps_nested ? all_.LastClient() : nullptr;
  return TakeEntry(last_client != nullptr ? last_client : &all_.back());
}

instant request_queue::earliest_arrival() const {
  return std::min_element(requests_.begin(), requests_.end(),
                          [](const auto& left, const auto& right) {
                            return left.second.arrived_at < right.second.arrived_at;
                          })
      ->second.arrived_at;
}

}  // namespace cuminferry
