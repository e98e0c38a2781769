#include "cuminferry_policy/admission/rank_queue.h"

#include <algorithm>

namespace cuminferry {
namespace {

/** Returns whether `left` starts after `right`: its rank is lower, or equal and it arrived later.
 */
bool GoesAfter(const queued_call& left, const queued_call& right) {
  if (left.rank != right.rank) {
    return left.rank < right.rank;
  }
  return left.sequence > right.sequence;
}

}  // namespace

void rank_queue::Reserve(std::size_t bound) { calls_.reserve(bound + 1); }

void rank_queue::Insert(queued_call call) {
  call.sequence = next_sequence_++;
  const auto index = std::lower_bound(calls_.begin(), calls_.end(), call, GoesAfter);
  calls_.insert(index, call);
}

queued_call rank_queue::TakeAt(std::size_t index) {
  const queued_call taken = calls_[index];
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
  return taken;
}

std::optional<queued_call> rank_queue::TakeKey(std::uint64_t key) {
  const auto found = std::find_if(calls_.begin(), calls_.end(),
                                  [&](const queued_call& call) { return call.key == key; });
  if (found == calls_.end()) {
    return std::nullopt;
  }
  return TakeAt(static_cast<std::size_t>(found - calls_.begin()));
}

std::size_t rank_queue::CountAhead(call_rank rank) const {
  const auto first_ahead = std::lower_bound(
      calls_.begin(), calls_.end(), rank,
      [](const queued_call& call, call_rank wanted) { return call.rank < wanted; });
  return static_cast<std::size_t>(calls_.end() - first_ahead);
}

}  // namespace cuminferry
