#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_node/peers/peer_links.h"
#include "cuminferry_node/runtime/call_router.h"
#include "cuminferry_node/runtime/node_metrics.h"
#include "cuminferry_node/runtime/running_request.h"
#include "cuminferry_policy/retries/retry_rule.h"

namespace cuminferry {

/** One call out, over all its attempts, to its one end.

    Used by one thread, which waits; Cancel() may come from any other. Either
    Run() with a whole body, or OpenStream(), SendPart() and FinishStream() with a
    long one.

    @see idempotent_call, claimed_call
*/
class outgoing_call {
 public:
  /** What is called, and for whom. */
  struct target_call {
    request_id request;
    std::string service;
    std::string method;
    /** Path and query. */
    std::string target;
    std::vector<header_field> headers;
    call_rank rank;
    instant deadline;
    std::shared_ptr<const table_shard> shard;
    const request_row* row = nullptr;
    /** The request that makes the call; null for a caller's call that is relayed. */
    std::shared_ptr<running_request> parent;
    /** A ticket that exists already: the call goes to its home and nowhere else. */
    ticket bound;
  };

  /** What a call works with; all outlive it. */
  struct parts {
    peer_links& links;
    call_router& router;
    node_metrics& metrics;
    event_log& events;
    /** The own incarnation, for tickets. */
    incarnation_id incarnation = 0;
    /** Baseline for measurements: each call is tried three times more, whatever came back. */
    bool blind_retries = false;
    /** A reply told the rank below which the callee refuses the row. */
    std::function<void(call_rank threshold)> on_threshold;
  };

  /** Makes the kind of call that the row asks for. */
  static std::unique_ptr<outgoing_call> Make(target_call about, parts chosen);

  virtual ~outgoing_call() = default;
  outgoing_call(const outgoing_call&) = delete;
  outgoing_call& operator=(const outgoing_call&) = delete;

  //============================================================================
  /** Makes the call with its whole body; returns its end. */
  reply_message Run(std::string body);

  /** Begins a call with the first part of a long body. False where it ended already. */
  bool OpenStream(std::string first_part);
  /** Sends a further part against the receiver's credit. False where it ended already. */
  bool SendPart(std::string_view part);
  /** Ends the body and returns the call's end.
      @param whole false where the body broke off */
  reply_message FinishStream(bool whole);

  /** The caller has gone. From any thread. */
  void Cancel();

 protected:
  /** Whether a call has ended or its receiver waits for more of the body. */
  enum class progress : std::uint8_t { kEnded, kStreaming };

  outgoing_call(target_call about, parts chosen);

  /** Makes attempts until the call ends, or the receiver wants more of the body. */
  virtual progress Begin(const std::string& body, bool streams) = 0;
  /** Goes on until the call ends, or the receiver wants more of the body. */
  virtual progress Continue() = 0;

  //============================================================================
  const target_call& about() const { return about_; }
  parts& with() { return parts_; }
  std::shared_ptr<outgoing_attempt> current();
  bool cancelled();
  bool streams() const { return streams_; }
  bool ended() const { return end_.has_value(); }

  /** Sends one attempt to a target. False: no byte of it was sent. */
  bool Send(endpoint target, const ticket& claim, const std::string& body);
  /** Takes the credit that came with an attempt's event. */
  void AddCredit(std::uint64_t bytes) { credit_ += bytes; }
  /** Notes what a reply says besides its answer. */
  void NoteReply(endpoint target, const reply_message& reply);
  /** Notes that an attempt ended without a reply. */
  void NoteNoReply(endpoint target, target_outcome outcome);
  /** Takes one retry from the tree and from the path; false where either is spent. */
  bool TakeRetry();
  bool IsWhole(const reply_message& reply) const;

  progress EndWith(reply_message reply);
  progress EndNotRun(result_code code);
  progress EndUnknown(result_code code);

 private:
  std::uint8_t LendRetries();
  void TakeBackRetries(std::uint8_t returned);
  void SendChunk(std::string bytes, bool last);
  reply_message TakeEnd();

  const target_call about_;
  parts parts_;
  std::uint32_t attempts_ = 0;
  instant sent_at_;
  std::uint8_t lent_ = 0;
  bool streams_ = false;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t credit_ = 0;
  std::optional<reply_message> end_;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  // Never null: before the first sending it waits for nothing but Cancel().
  std::shared_ptr<outgoing_attempt> current_ ABSL_GUARDED_BY(mutex_) =
      std::make_shared<outgoing_attempt>(0, 0);
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
