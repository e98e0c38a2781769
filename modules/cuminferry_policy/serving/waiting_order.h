#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Waiting requests in the order of their starts, with the positions in that order.

    A queue that answers thousands of requests a second looks up, at each arrival, how many requests
    are ahead of it and which requests behind it become late. With 10,000 waiting requests, counting
    in a std::set takes a hundred microseconds. Entries therefore are in sorted blocks of bounded
    size, and each block has its position, its number of client requests, its earliest last useful
    start and a bound on its slack. The slack of an entry is its last useful start less the starts
    ahead of it, each of which takes the start interval. The bounds of all blocks are scanned, and
    entries only in the block concerned.

    Memory grows with the largest number of entries and is never returned.
*/
class waiting_order {
 public:
  /** Three whole words: a copy of smaller members waits for the stores of each. */
  struct entry {
    entry() = default;
    /** @param rank  0 starts first; ranks above kMaxRank are equal */
    entry(std::uint32_t rank, instant last_useful_start, std::uint64_t id, bool is_client);

    std::uint32_t rank() const { return static_cast<std::uint32_t>(sort_key >> kTimeBits); }
    instant last_useful_start() const {
      return FromMicros(static_cast<std::int64_t>(sort_key & kMaxMicros));
    }
    /** Whether the entry starts before another one. */
    bool IsBefore(const entry& other) const {
      return sort_key != other.sort_key ? sort_key < other.sort_key : id < other.id;
    }

    /** The rank in the upper bits, the last useful start in microseconds in the lower ones. */
    std::uint64_t sort_key = 0;
    std::uint64_t id = 0;
    /** Whether FirstLate() may return the entry. */
    std::uint64_t is_checked_for_lateness : 1 = 1;
    std::uint64_t is_client : 1 = 1;
  };

  /** Nine years since boot. */
  static constexpr int kTimeBits = 48;
  static constexpr std::uint64_t kMaxMicros = (std::uint64_t{1} << kTimeBits) - 1;
  static constexpr std::uint32_t kMaxRank = 0xffff;

  waiting_order() { Reserve(kMinReserved); }

  //============================================================================
  void Insert(const entry& inserted);
  /** Removes the entry with the key of `removed`; returns whether there was one. */
  bool Erase(const entry& removed);
  /** Sets whether FirstLate() may return the entry with the key of `changed`. */
  void SetCheckedForLateness(const entry& changed, bool is_checked_for_lateness);
  void Clear();
  /** Sets the time between two starts. Recomputes all bounds if it differs by more than
      kMaxIntervalError from the one in use. */
  void SetInterval(double micros);

  //============================================================================
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  const entry& front() const { return EntriesOf(0)[0]; }
  const entry& back() const;
  /** Returns the last client request; nullptr where there is none. */
  const entry* LastClient() const;
  /** Returns the number of entries that start before a request that arrives now. Equal entries are
      ahead of it. */
  std::size_t CountAhead(std::uint32_t rank, instant last_useful_start) const;
  /** Returns the first checked entry that can't start in time if the first entry starts at
      `first_start`; nullptr where all can. */
  const entry* FirstLate(instant first_start);
  /** Returns the first entry whose last useful start is before `now`; nullptr where there is none.
   */
  const entry* FirstExpired(instant now) const;
  /** Returns the earliest of all last useful starts; nothing where no request waits. */
  std::optional<instant> earliest_last_useful_start() const {
    return empty() ? std::nullopt : std::optional(FromMicros(earliest_start_));
  }

  /** Relative error of the start interval by which FirstLate() judges. The mean service time of a
      hundred runs varies by a few hundredths by chance alone, and each recomputation takes as long
      as a hundred decisions. */
  static constexpr double kMaxIntervalError = 0.1;

 private:
  // Of 64, 128 and 256, the fastest in request_queue_benchmark with 10,000 entries by importance.
  static constexpr std::size_t kBlockSize = 128;
  static constexpr std::size_t kMinReserved = 64;

  void Reserve(std::size_t entries);
  entry* EntriesOf(std::size_t block) { return &pool_[pool_slots_[block] * kBlockSize]; }
  const entry* EntriesOf(std::size_t block) const {
    return &pool_[pool_slots_[block] * kBlockSize];
  }
  std::size_t BlockFor(const entry& key) const;
  entry* Find(const entry& key, std::size_t& block);
  void InsertBlock(std::size_t at);
  void EraseBlock(std::size_t at);
  void SplitBlock(std::size_t at);
  void MergeIfSparse(std::size_t at);
  void UpdateBlock(std::size_t block);
  void UpdateSlack(std::size_t block);
  void UpdateSlackBound();
  void UpdateEarliest();
  void ShiftPositions(std::size_t first, std::int32_t by);

  double interval_micros_ = 1.0;
  std::size_t size_ = 0;
  std::size_t reserved_ = 0;
  std::vector<entry> pool_;
  std::vector<std::uint32_t> free_slots_;
  // One element for each block, in order. Separate arrays, so that scans are vectorized.
  std::vector<std::uint32_t> pool_slots_;
  std::vector<std::uint32_t> counts_;
  std::vector<std::uint32_t> client_counts_;
  std::vector<entry> first_entries_;
  std::vector<std::uint32_t> positions_;
  std::vector<std::int64_t> earliest_starts_;
  // Lower bound on the slack of the checked entries relative to the block's first position, in
  // microseconds since boot. It is exact after UpdateSlack(); removals only increase the slack.
  std::vector<double> slacks_;
  // Lower bound on the slack of all checked entries.
  double slack_ = 0.0;
  std::int64_t earliest_start_ = 0;
};

}  // namespace cuminferry
