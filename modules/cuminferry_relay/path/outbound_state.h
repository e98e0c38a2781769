#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cuminferry_relay/path/buffered_answer.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/outbound_record.h"
#include "cuminferry_relay/path/rate_headers.h"
#include "cuminferry_relay/path/request_body_buffer.h"

namespace cuminferry {

/** The implementation of an outbound call, private to its sources: outbound_call.cpp has its
    start and completion, outbound_customer.cpp the customer's key and limit,
    outbound_suspect.cpp the isolation of suspects, outbound_placement.cpp the sending to
    targets, and outbound_answer.cpp the handling of answers. */
struct outbound_call::state {
  /** Maximum number of targets tried if each one rejects the request without running it. */
  static constexpr std::size_t kMaxPlacements = 4;
  /** A placement with less time left than this always times out. */
  static constexpr duration kMinPlacementTime = std::chrono::milliseconds(5);
  /** Maximum size of the body of a buffered failure, in bytes. Bodies of failures are seldom
     longer, and each one is held in memory. */
  static constexpr std::size_t kMaxFailureBytes = 16 * 1024;
  /** Retry-After of refusals whose cause does not indicate when capacity returns. */
  static constexpr duration kDefaultRetryAfter = std::chrono::milliseconds(400);

  state(relay_board& board, std::shared_ptr<server_exchange> client,
        std::function<void(outbound_call*)> on_end);

  //============================================================================
  // Admission, from the request's head to its placement.
  void Begin();
  bool AuthenticateCustomer();
  std::optional<duration> RemainingKeyTrust(instant now) const;
  bool IsKeyStale(instant now) const;
  void CheckLimit();
  void OnCoordinatorQueried();
  void AdmitCounted();
  void AdmitAndPlace();
  bool SharesByCustomer() const;
  double AdmittedShare();
  void PlaceUnlessSuspect();
  void OnDigestAvailable();
  void SetDeadline(const http_head& request);
  std::string ChooseService();
  void SetClientHooks();
  void OnRequestBody(std::string_view bytes);
  void OnRequestBodyEnd();

  //============================================================================
  // Placement.
  void Place();
  /** @param retry_after  sent if the request has not run; nullopt if a later attempt would be
                           refused again */
  void FailUnplaced(std::string_view why, std::optional<duration> retry_after = kDefaultRetryAfter);
  bool MustAwaitContinue(const target_picker& picker, instant now) const;
  bool HasClientLeft() const;
  void PauseClientBody();
  void SendBufferedBody();
  void OnInterimAnswer(int status);
  void OnAnswerTimeout();
  /** Ends the placement without an answer that could be used.
      @param word    why, for the log
      @param status  of an answer; 0 without one */
  void LeaveTarget(std::string_view word, int status = 0);
  http_head RequestHeadFor(const picked_target& picked, instant now) const;

  //============================================================================
  // Answers.
  void OnAnswerHead(http_head head);
  bool MayRunAgain(int status, instant now) const;
  void ApplyLoadReport(const http_head& head, instant now);
  void OnAnswerBody(std::string_view bytes);
  void ForwardFailure();
  void OnAnswerEnd();
  void ConfirmAnswerEnd();
  void FinishAnswer();
  void AbortAnswer();
  void OnUpstreamFailed(exchange_failure why);
  void OnPlacementFailed(relay_outcome why);
  bool MayPlaceAgain(relay_outcome why, instant now) const;
  duration RetryDelay(instant now);

  //============================================================================
  // Completion.
  void OnDeadline();
  void OnClientGone();
  /** @param retry_after  nullopt if a later attempt would be refused again */
  void Refuse(std::string_view why, std::optional<duration> retry_after);
  void RefuseBlocked();
  void RefuseOverLimit();
  void AnswerError(int status, std::string_view why);
  void AnswerAndEnd(http_head head, std::string_view result, std::string_view why);
  void End(std::string_view result);
  void LogEnd(std::string_view result, duration took);

  //============================================================================
  relay_board& board;
  std::shared_ptr<server_exchange> client;
  std::function<void(outbound_call*)> on_end;
  outbound_call* self = nullptr;

  // Held for the lifetime of the call, because a newer table may replace it on the board.
  std::shared_ptr<const route_table> table;
  const http_route* route = nullptr;
  // The customer whose key the request carries; owned by `table`.
  const customer* key_holder = nullptr;
  // @see RankOf
  std::uint32_t rank = 0;
  // The request counts against the limit of `key_holder`.
  bool counts_against_limit = false;
  outbound_record record;
  instant started_at;
  // Estimated time at which the request that caused this one was admitted; `started` if there
  // is none.
  instant admitted_at;
  instant deadline;
  loop_timer deadline_timer;
  loop_timer answer_timer;

  request_parts Parts() const;
  suspect_status SuspectStatus() const;

  request_body_buffer request_body;
  bool body_ended = false;
  // The client's body is paused until a placement is released.
  bool is_body_paused = false;
  // Bytes of the bodies of the request and its answer.
  double body_bytes = 0.0;

  std::set<std::string> tried_targets;
  endpoint target_peer;
  std::string target_domain;
  instant sent_at{};
  std::unique_ptr<client_exchange> upstream;
  // Completed exchanges are destroyed outside of their own hooks.
  std::unique_ptr<client_exchange> finished_upstream;
  // @see kResetsIfCutField
  bool resets_if_cut = false;
  // Asks the target's node whether its process is alive. @see ConfirmAnswerEnd
  std::unique_ptr<client_exchange> end_query;
  std::optional<relay_outcome> outcome;
  // The answer being forwarded is a backend server's failure.
  bool answer_failed = false;
  // The target's answer is being forwarded, so no other target may be tried.
  bool committed = false;
  // A backend server's failure, buffered while another target is tried. If that target brings no
  // answer, the client gets the buffered one unchanged.
  buffered_answer failure{kMaxFailureBytes};
  // The body is being sent to the target's node, which does not run the request before.
  bool body_released = false;
  // The call may be repeated where repeats are scarce. @see repeat_turns
  bool has_turn = true;
  // Probability that this is a call of a run that is itself a repeat.
  double repeat_probability = 0.0;
  // Digest of the request, if requests like it ran at a backend server that crashed.
  std::optional<request_digest> suspect_digest;
  // Placement waits until enough of the body has arrived to compute the request's digest.
  bool awaits_body = false;
  // Number of requests of the row that this call represents. @see call_demand
  double represented_requests = 1.0;
  // A target's node has counted this request in the demand on its service.
  bool counted_in_demand = false;
  // The outcome of at least one placement is unknown.
  bool may_have_run = false;
  // The client is gone, and the request is left to finish without it.
  bool detached = false;
  bool ended = false;
};

}  // namespace cuminferry
