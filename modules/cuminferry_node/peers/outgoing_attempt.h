#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** One attempt of a call to another node, while its sender waits for the end.

    The sender's thread waits; the connection's thread delivers. Questions about
    the attempt's ticket, perhaps over other connections, are answered here too.
*/
class outgoing_attempt {
 public:
  /** What a wait came back with. */
  enum class event : std::uint8_t {
    kReply,      ///< TakeReply() has it
    kAskReply,   ///< TakeAskReply() has it
    kCredit,     ///< the receiver takes more of the body
    kLost,       ///< a connection that it waits on was lost or went silent
    kGone,       ///< nothing listens at the other node's address any more
    kCancelled,  ///< Cancel() was called
    kTimeout,    ///< the time ran out first
  };

  outgoing_attempt(attempt_id id, connection_id connection) : id_(id), connection_(connection) {}

  attempt_id id() const { return id_; }
  /** The connection that the call itself was sent on. */
  connection_id connection() const { return connection_; }
  /** Whether questions were asked for it besides. */
  bool asked() const { return asked_; }
  void MarkAsked() { asked_ = true; }

  //============================================================================
  /** Waits for the next event. kLost and kGone are told once for each connection,
      what else came before them. */
  event Wait(instant until);
  reply_message TakeReply();
  ask_reply_message TakeAskReply();
  /** Bytes of body that may be sent now; taken by the call. */
  std::uint64_t TakeCredit();

  //============================================================================
  void Deliver(reply_message reply);
  void Deliver(ask_reply_message reply);
  void AddCredit(std::uint64_t bytes);
  /** @param gone the connection could not be opened, as nothing listens there */
  void MarkLost(bool gone);
  void Cancel();

 private:
  const attempt_id id_;
  const connection_id connection_;
  std::atomic<bool> asked_ = false;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  absl::CondVar changed_;
  std::optional<reply_message> reply_ ABSL_GUARDED_BY(mutex_);
  std::optional<ask_reply_message> ask_reply_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t credit_ ABSL_GUARDED_BY(mutex_) = 0;
  bool lost_ ABSL_GUARDED_BY(mutex_) = false;
  bool gone_ ABSL_GUARDED_BY(mutex_) = false;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
