#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/rank/call_rank.h"

namespace cuminferry {

/** A call that waits for a slot. */
struct queued_call {
  std::uint64_t key = 0;
  std::uint64_t sequence = 0;
  call_rank rank;
  std::uint32_t row = 0;
  instant deadline;
  instant arrived;
};

/** The calls that wait for a slot, ordered by rank, then by arrival.

    A sorted vector with its storage reserved: the queue is short, so moving
    some kilobytes is quicker than a tree and allocates nothing.
*/
class rank_queue {
 public:
  /** Sets the most calls that may wait; storage for them is taken now. */
  void Reserve(std::size_t bound);

  //============================================================================
  void Insert(queued_call call);
  /** Takes out the call at a place of calls(). */
  queued_call TakeAt(std::size_t place);
  /** Takes out the call of a key, where it waits. */
  std::optional<queued_call> TakeKey(std::uint64_t key);

  //============================================================================
  /** Ascending: the call that goes first stands last. */
  std::vector<queued_call>& calls() { return calls_; }
  const std::vector<queued_call>& calls() const { return calls_; }
  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  /** How many calls would go before a new one of this rank. */
  std::size_t CountAhead(call_rank rank) const;

 private:
  std::vector<queued_call> calls_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace cuminferry
