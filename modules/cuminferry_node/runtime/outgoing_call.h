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

namespace cuminferry {

/** One call out, over all its attempts, to its one end.

    Used by one thread, which waits; Cancel() may come from any other. Either
    Run() with a whole body, or OpenStream(), SendPart() and FinishStream() with a
    long one.
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
    /** Baseline for measurements: each call is tried three times more, whatever came back. */
    bool blind_retries = false;
    /** A reply told the rank below which the callee refuses the row. */
    std::function<void(call_rank threshold)> on_threshold;
  };

  outgoing_call(target_call about, parts chosen);
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

  //============================================================================
  /** The ticket of the last attempt; empty for idempotent rows. */
  const ticket& claim() const { return claim_; }

 private:
  enum class step : std::uint8_t { kEnded, kTryAgain, kStreaming };

  step Attempt(const std::string& body, bool streams);
  bool StartAttempt(const std::string& body, bool streams);
  step AwaitEnd(bool streams);
  step OnReply(reply_message reply);
  step OnLost();
  step OnRefused(const reply_message& reply);
  step ResolveClaim();
  step OnClaimReport(const ask_reply_message& report, bool& settled);
  step EndWith(reply_message reply);
  step EndUnknown(result_code code);
  step RetryElsewhere(reply_message otherwise);
  bool MayRetry();
  bool MintTicket();
  bool IsWhole(const reply_message& reply) const;
  std::uint8_t LendRetries();
  void TakeBackRetries(std::uint8_t returned);
  void EndAttempt(target_outcome outcome, const load_advert& load);
  bool cancelled();
  std::shared_ptr<outgoing_attempt> current();
  reply_message TakeEnd();

  const target_call about_;
  parts parts_;
  ticket claim_;
  endpoint target_;
  std::vector<endpoint> avoid_;
  std::uint32_t attempts_ = 0;
  std::uint8_t lent_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t credit_ = 0;
  std::optional<reply_message> end_;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  std::shared_ptr<outgoing_attempt> current_ ABSL_GUARDED_BY(mutex_);
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
