#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** One attempt of a call to another node, while its sender waits for the outcome.

    The sender's thread waits and the connections' thread delivers. Replies to queries about the
    attempt's ticket are delivered here as well, even if they arrive over other connections.
*/
class outgoing_attempt {
 public:
  /** What ended a Wait(). */
  enum class event : std::uint8_t {
    kReply,           ///< a reply was received: TakeReply() returns it
    kQueryReply,      ///< a query was answered: TakeQueryReply() returns the reply
    kCredit,          ///< the receiver accepts more of the body: see TakeCredit()
    kConnectionLost,  ///< a connection that the attempt waits on was lost or stopped answering
    kNotListening,    ///< nothing listens at the other node's address
    kCancelled,       ///< Cancel() was called
    kTimeout,         ///< the time passed without another event
  };

  outgoing_attempt(attempt_id id, connection_id connection) : id_(id), connection_(connection) {}

  attempt_id id() const { return id_; }
  /** The connection that the call itself was sent on. */
  connection_id connection() const { return connection_; }
  /** Whether queries were sent for this attempt. */
  bool has_queries() const { return has_queries_; }
  void MarkQueried() { has_queries_ = true; }

  //============================================================================
  /** Waits for the next event until `until`. A reply, a query reply or a cancellation takes
      precedence over a lost connection, which is returned only once per connection. */
  event Wait(instant until);
  reply_message TakeReply();
  query_reply_message TakeQueryReply();
  /** Returns the number of body bytes that may be sent now and resets it to 0. */
  std::uint64_t TakeCredit();

  //============================================================================
  void Deliver(reply_message reply);
  void Deliver(query_reply_message reply);
  void AddCredit(std::uint64_t bytes);
  /** Reports that a connection which the attempt waits on was lost.
      @param not_listening  the connection could not be opened, as nothing listens there */
  void MarkConnectionLost(bool not_listening);
  void Cancel();

 private:
  const attempt_id id_;
  const connection_id connection_;
  std::atomic<bool> has_queries_ = false;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  absl::CondVar changed_;
  std::optional<reply_message> reply_ ABSL_GUARDED_BY(mutex_);
  std::optional<query_reply_message> query_reply_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t credit_ ABSL_GUARDED_BY(mutex_) = 0;
  bool connection_lost_ ABSL_GUARDED_BY(mutex_) = false;
  bool not_listening_ ABSL_GUARDED_BY(mutex_) = false;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
