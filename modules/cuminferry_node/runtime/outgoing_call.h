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

/** An outgoing call with all its attempts, which finishes with exactly one reply.

    One thread uses a call and blocks in its functions; only Cancel() may be called from
    other threads. Run() makes a call with a complete body; OpenStream(), SendPart() and
    FinishStream() make one with a long body.

    @see idempotent_call, claimed_call
*/
class outgoing_call {
 public:
  /** The call's target, content and deadline, and the request that makes it. */
  struct call_description {
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
    /** The request that makes the call; null where a caller's request is relayed. */
    std::shared_ptr<running_request> parent;
    /** A ticket that the caller has already; the call is sent only to the ticket's home. */
    ticket existing_ticket;
  };

  /** The objects that a call uses; all of them must outlive it. */
  struct dependencies {
    peer_links& links;
    call_router& router;
    node_metrics& metrics;
    event_log& events;
    /** The incarnation of this node, for tickets. */
    incarnation_id incarnation = 0;
    /** Retries each unsuccessful call up to three times regardless of its result code and of the
        retry limits; a baseline for measurements without overload control. */
    bool use_blind_retries = false;
    /** Called with the rank below which the callee refuses the row, as reported by a reply. */
    std::function<void(call_rank threshold)> on_threshold;
  };

  /** Makes an idempotent_call or a claimed_call, as the row requires. */
  static std::unique_ptr<outgoing_call> Make(call_description description, dependencies chosen);

  virtual ~outgoing_call() = default;
  outgoing_call(const outgoing_call&) = delete;
  outgoing_call& operator=(const outgoing_call&) = delete;

  //============================================================================
  /** Makes the call with its complete body and returns the final reply. */
  reply_message Run(std::string body);

  /** Begins a call with the first part of a long body.
      @return false where the call has finished already */
  bool OpenStream(std::string first_part);
  /** Sends a further part, waiting for credit from the receiver as needed.
      @return false where the call has finished already */
  bool SendPart(std::string_view part);
  /** Ends the body and returns the final reply.
      @param is_complete false where the caller's body was cut short; the call is cancelled */
  reply_message FinishStream(bool is_complete);

  /** Cancels the call because the caller has gone. Thread-safe. */
  void Cancel();

 protected:
  /** Whether a call has finished or its receiver waits for more of the body. */
  enum class progress : std::uint8_t { kFinished, kStreaming };

  outgoing_call(call_description description, dependencies chosen);

  /** Makes attempts until the call finishes or the receiver grants credit for more of the body. */
  virtual progress Begin(const std::string& body, bool has_stream) = 0;
  /** Continues until the call finishes or the receiver grants credit for more of the body. */
  virtual progress Continue() = 0;

  //============================================================================
  const call_description& description() const { return description_; }
  dependencies& deps() { return dependencies_; }
  std::shared_ptr<outgoing_attempt> current();
  bool cancelled();
  bool has_stream() const { return has_stream_; }
  bool is_finished() const { return final_reply_.has_value(); }

  /** Sends one attempt to a target.
      @return false where no byte of the attempt was sent */
  bool Send(endpoint target, const ticket& claim, const std::string& body);
  /** Adds to the number of body bytes that the receiver accepts. */
  void AddCredit(std::uint64_t bytes) { credit_ += bytes; }
  /** Processes the fields of a reply besides its answer: returned retries, load, threshold. */
  void RecordReply(endpoint target, const reply_message& reply);
  /** Records that an attempt finished without a reply. */
  void RecordNoReply(endpoint target, target_outcome outcome);
  /** Takes one retry from the request's retry allowance and from the row's retry ratio.
      @return false where either permits none; also for streamed and relayed calls */
  bool TakeRetry();
  bool IsAnswerIntact(const reply_message& reply) const;

  progress FinishWith(reply_message reply);
  progress FinishNotRun(result_code code);
  progress FinishUnknown(result_code code);

 private:
  std::uint8_t LendRetries();
  void TakeBackRetries(std::uint8_t returned);
  void SendChunk(std::string bytes, bool last);
  reply_message TakeFinalReply();

  const call_description description_;
  dependencies dependencies_;
  std::uint32_t attempts_ = 0;
  instant sent_at_;
  std::uint8_t lent_retries_ = 0;
  bool has_stream_ = false;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t credit_ = 0;
  std::optional<reply_message> final_reply_;
  ranked_mutex mutex_{lock_rank::kNodeCalls};
  // Never null: a placeholder before the first attempt, so that Cancel() always has a target.
  std::shared_ptr<outgoing_attempt> current_ ABSL_GUARDED_BY(mutex_) =
      std::make_shared<outgoing_attempt>(0, 0);
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
