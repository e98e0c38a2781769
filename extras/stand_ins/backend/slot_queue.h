#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** The slots of a backend server and the bounded first-in, first-out queue for them. */
class slot_queue {
 public:
  enum class outcome : std::uint8_t { kEntered, kQueueFull, kAbandoned };

  slot_queue(std::uint32_t slots, std::uint32_t max_waiting);

  /** Waits for a slot. `must_give_up` is called every 10 ms while waiting. */
  outcome Enter(const std::function<bool()>& must_give_up);
  void Leave();

  std::uint32_t running() const;
  std::uint32_t waiting() const;

 private:
  const std::uint32_t slots_;
  const std::uint32_t max_waiting_;
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  std::uint32_t running_ = 0;
  std::uint64_t next_number_ = 0;
  std::deque<std::uint64_t> waiting_;
};

}  // namespace cuminferry::stand_ins
