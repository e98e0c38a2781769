#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** The slots of a backend server and the bounded first-come queue before them. */
class slot_queue {
 public:
  enum class outcome : std::uint8_t { kEntered, kQueueFull, kGivenUp };

  slot_queue(std::uint32_t slots, std::uint32_t waiting_bound);

  /** Waits for a slot. `give_up` is asked every few milliseconds. */
  outcome Enter(const std::function<bool()>& give_up);
  void Leave();

  std::uint32_t running() const;
  std::uint32_t waiting() const;

 private:
  const std::uint32_t slots_;
  const std::uint32_t waiting_bound_;
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  std::uint32_t running_ = 0;
  std::uint64_t next_number_ = 0;
  std::deque<std::uint64_t> waiting_;
};

}  // namespace cuminferry::stand_ins
