#include "cuminferry_node/peers/outgoing_attempt.h"

#include <utility>

namespace cuminferry {

outgoing_attempt::event outgoing_attempt::Wait(instant until) {
  ranked_lock lock(mutex_);
  while (true) {
    if (reply_.has_value()) {
      return event::kReply;
    }
    if (query_reply_.has_value()) {
      return event::kQueryReply;
    }
    if (cancelled_) {
      return event::kCancelled;
    }
    if (std::exchange(not_listening_, false)) {
      return event::kNotListening;
    }
    if (std::exchange(connection_lost_, false)) {
      return event::kConnectionLost;
    }
    if (credit_ > 0) {
      return event::kCredit;
    }
    const duration remaining = until - boot_clock::Now();
    if (remaining <= duration::zero()) {
      return event::kTimeout;
    }
    mutex_.WaitFor(changed_, absl::FromChrono(remaining));
  }
}

reply_message outgoing_attempt::TakeReply() {
  ranked_lock lock(mutex_);
  return std::move(*std::exchange(reply_, std::nullopt));
}

query_reply_message outgoing_attempt::TakeQueryReply() {
  ranked_lock lock(mutex_);
  return std::move(*std::exchange(query_reply_, std::nullopt));
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

void outgoing_attempt::Deliver(query_reply_message reply) {
  ranked_lock lock(mutex_);
  query_reply_ = std::move(reply);
  changed_.SignalAll();
}

void outgoing_attempt::AddCredit(std::uint64_t bytes) {
  ranked_lock lock(mutex_);
  credit_ += bytes;
  changed_.SignalAll();
}

void outgoing_attempt::MarkConnectionLost(bool not_listening) {
  ranked_lock lock(mutex_);
  (not_listening ? not_listening_ : connection_lost_) = true;
  changed_.SignalAll();
}

void outgoing_attempt::Cancel() {
  ranked_lock lock(mutex_);
  cancelled_ = true;
  changed_.SignalAll();
}

}  // namespace cuminferry
