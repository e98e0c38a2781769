#pragma once

#include <cstdint>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** One attempt of a call to another node, while its sender waits for the end.

    The sender's thread waits; the connection's thread delivers. An attempt ends
    once: by a reply, by the loss of its connection, or by its sender giving up.
*/
class outgoing_attempt {
 public:
  /** What a wait came back with. */
  enum class event : std::uint8_t {
    kReply,      ///< TakeReply() has it
    kAskReply,   ///< TakeAskReply() has it
    kCredit,     ///< the receiver takes more of the body
    kLost,       ///< the connection was lost or went silent
    kCancelled,  ///< Cancel() was called
    kTimeout,    ///< the time ran out first
  };

  outgoing_attempt(attempt_id id, connection_id connection) : id_(id), connection_(connection) {}

  attempt_id id() const { return id_; }
  connection_id connection() const { return connection_; }

  //============================================================================
  /** Waits for the next event. */
  event Wait(instant until);
  reply_message TakeReply();
  ask_reply_message TakeAskReply();
  /** Bytes of body that may be sent now; taken by the call. */
  std::uint64_t TakeCredit();

  //============================================================================
  void Deliver(reply_message reply);
  void Deliver(ask_reply_message reply);
  void AddCredit(std::uint64_t bytes);
  void MarkLost();
  void Cancel();

 private:
  const attempt_id id_;
  const connection_id connection_;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  absl::CondVar changed_;
  std::optional<reply_message> reply_ ABSL_GUARDED_BY(mutex_);
  std::optional<ask_reply_message> ask_reply_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t credit_ ABSL_GUARDED_BY(mutex_) = 0;
  bool lost_ ABSL_GUARDED_BY(mutex_) = false;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
