#include "cuminferry_node/peers/outgoing_attempt.h"

#include <utility>

namespace cuminferry {

outgoing_attempt::event outgoing_attempt::Wait(instant until) {
  ranked_lock lock(mutex_);
  while (true) {
    if (reply_.has_value()) {
      return event::kReply;
    }
    if (ask_reply_.has_value()) {
      return event::kAskReply;
    }
    if (cancelled_) {
      return event::kCancelled;
    }
    if (std::exchange(gone_, false)) {
      return event::kGone;
    }
    if (std::exchange(lost_, false)) {
      return event::kLost;
    }
    if (credit_ > 0) {
      return event::kCredit;
    }
    const duration left = until - boot_clock::Now();
    if (left <= duration::zero()) {
      return event::kTimeout;
    }
    mutex_.WaitFor(changed_, absl::FromChrono(left));
  }
}

reply_message outgoing_attempt::TakeReply() {
  ranked_lock lock(mutex_);
  return std::move(*std::exchange(reply_, std::nullopt));
}

ask_reply_message outgoing_attempt::TakeAskReply() {
  ranked_lock lock(mutex_);
  return std::move(*std::exchange(ask_reply_, std::nullopt));
}

std::uint64_t outgoing_attempt::TakeCredit() {
  ranked_lock lock(mutex_);
  return std::exchange(credit_, 0);
}

void outgoing_attempt::Deliver(reply_message reply) {
  ranked_lock lock(mutex_);
  reply_ = std::move(reply);
  changed_.SignalAll();
}

void outgoing_attempt::Deliver(ask_reply_message reply) {
  ranked_lock lock(mutex_);
  ask_reply_ = std::move(reply);
  changed_.SignalAll();
}

void outgoing_attempt::AddCredit(std::uint64_t bytes) {
  ranked_lock lock(mutex_);
  credit_ += bytes;
  changed_.SignalAll();
}

void outgoing_attempt::MarkLost(bool gone) {
  ranked_lock lock(mutex_);
  (gone ? gone_ : lost_) = true;
  changed_.SignalAll();
}

void outgoing_attempt::Cancel() {
  ranked_lock lock(mutex_);
  cancelled_ = true;
  changed_.SignalAll();
}

}  // namespace cuminferry
