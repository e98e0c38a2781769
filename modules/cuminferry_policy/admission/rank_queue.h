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

    A sorted vector with reserved storage: the queue is short, so moving a few kilobytes is faster
    than updating a tree, and it allocates no memory.
*/
class rank_queue {
 public:
  /** Sets the maximum number of queued calls and allocates storage for them. */
  void Reserve(std::size_t bound);

  //============================================================================
  void Insert(queued_call call);
  /** Removes and returns the call at an index of calls(). */
  queued_call TakeAt(std::size_t index);
  /** Removes and returns the call with a key; nothing if it is not queued. */
  std::optional<queued_call> TakeKey(std::uint64_t key);

  //============================================================================
  /** Returns the calls in ascending order: the last one starts first. */
  std::vector<queued_call>& calls() { return calls_; }
  const std::vector<queued_call>& calls() const { return calls_; }
  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  /** Returns the number of calls that would start before a new one of this rank. */
  std::size_t CountAhead(call_rank rank) const;

 private:
  std::vector<queued_call> calls_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace cuminferry
