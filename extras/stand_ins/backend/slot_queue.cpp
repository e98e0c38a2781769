#include "stand_ins/backend/slot_queue.h"

#include <algorithm>
#include <chrono>

namespace cuminferry::stand_ins {
namespace {

constexpr std::chrono::milliseconds kGiveUpCheckPeriod{10};

}  // namespace

slot_queue::slot_queue(std::uint32_t slots, std::uint32_t max_waiting)
    : slots_(slots), max_waiting_(max_waiting) {}

slot_queue::outcome slot_queue::Enter(const std::function<bool()>& must_give_up) {
  std::unique_lock lock(mutex_);
  if (running_ < slots_ && waiting_.empty()) {
    ++running_;
    return outcome::kEntered;
  }
  if (waiting_.size() >= max_waiting_) {
    return outcome::kQueueFull;
  }
  const std::uint64_t number = next_number_++;
  waiting_.push_back(number);
  while (running_ >= slots_ || waiting_.front() != number) {
    freed_.wait_for(lock, kGiveUpCheckPeriod);
    if (must_give_up()) {
      waiting_.erase(std::find(waiting_.begin(), waiting_.end(), number));
      freed_.notify_all();
      return outcome::kAbandoned;
    }
  }
  waiting_.pop_front();
  ++running_;
  freed_.notify_all();
  return outcome::kEntered;
}

void slot_queue::Leave() {
  const std::lock_guard lock(mutex_);
  --running_;
  freed_.notify_all();
}

std::uint32_t slot_queue::running() const {
  const std::lock_guard lock(mutex_);
  return running_;
}

std::uint32_t slot_queue::waiting() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint32_t>(waiting_.size());
}

}  // namespace cuminferry::stand_ins
