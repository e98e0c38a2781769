#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/buffered_answer.h"
#include "cuminferry_relay/path/request_body_buffer.h"
#include "cuminferry_relay/path/send_trail.h"
#include "cuminferry_relay/path/serving_context.h"
#include "cuminferry_relay/path/serving_request.h"
#include "cuminferry_relay/path/slot_run.h"

namespace cuminferry {

/** One request for this node's backend server: it waits for a slot and is run, and its answer is
    checked and passed on to the calling node.

    A request that the backend server rejected is sent to it again where the limit on repeats
    allows. Servers that reject a fraction of their requests at random may accept the next
    attempt.

    serving_call.cpp has a request's way to the backend server and its completion,
    serving_answer.cpp what becomes of the answer.
*/
class serving_call : public std::enable_shared_from_this<serving_call> {
 public:
  /** Maximum number of times that one request is sent to the backend server. Where the server
      rejects every second attempt, seven of eight requests are accepted. */
  static constexpr int kMaxSends = 3;

  serving_call(serving_context& context, std::uint64_t id, std::shared_ptr<server_exchange> peer,
               call_header header);

  void Begin();
  /** The gate has granted the request a slot. */
  void OnSlotGranted();
  /** The gate has displaced the request from its queue in favour of more important ones. */
  void OnDisplaced();
  /** The request, a suspect, may run now that another suspect has completed. */
  void OnSuspectTurn();
  /** Gives up the slot, or the place in the queue, of a request that has not begun to run and that
      its instance must not get. Returns the reason; nothing where it is no such request. */
  std::optional<relay_outcome> WithdrawIfRefused();
  /** Gives up the slot, or the place in the queue, of a request that has not begun to run. */
  void Withdraw();
  /** Whether the request has begun to run, or has ended. */
  bool has_run() const { return ended_ || run_.has_begun(); }
  std::uint64_t id() const { return id_; }
  /** Answers the calling node with the reason why there is no answer of the backend server. */
  void AnswerWithOutcome(relay_outcome outcome);
  /** Whether the answer, which the close of the connection ended, is the whole one. */
  void OnEndConfirmed(bool is_whole);
  /** The backend server crashed while it ran this request, and the crash has been announced.
      @param digest  digest that ToRunningRequest() returned */
  void OnCrashAnnounced(std::uint64_t crash_id, const request_digest& digest);

  const std::string& request_id() const { return request_.id; }
  /** Describes the request as one of those that were running when the backend server crashed. */
  suspect_registry::running_request ToRunningRequest() const;

 private:
  // Maximum size of an answer without a length that is held; most are shorter.
  static constexpr std::size_t kMaxHeldBytes = 64 * 1024;

  bool TakeRepeat();
  void WaitForIsolation(const request_digest& suspect);
  void RequestSlot();
  void WaitForSlot();

  /** Returns the reason why the expected instance gets no request now; nothing where it may. */
  std::optional<relay_outcome> RefusalOfInstance() const;
  bool IsKeyStale() const;
  bool IsBlocked() const;
  /** Schedules an interim answer, which shows the calling node that the request is alive. */
  void ScheduleInterimAnswer();
  void InstallPeerHooks();
  void OnBody(std::string_view bytes);
  void OnBodyEnd();
  void ReleaseGrantedSlot();
  void StartRun();
  void Send();
  bool IsAtMostOnce() const { return header_.repeat != repeat_rule::kIdempotent; }
  duration MaxIdleTime() const;
  bool IsAnswer(const http_head& head);
  void OnAnswerHead(http_head head);
  void ForwardHeldAnswer();
  void ForwardInChunks();
  void ForwardUntilClose();
  void OnAnswerBody(std::string_view bytes);
  void DiscardAnswer(const http_head& head);
  void EndDiscardedAnswer();
  void OnAnswerEnd();
  bool TrySendRepeat();
  void OnBackendFailed(exchange_failure failure);
  void OnPeerGone();
  void OnDeadline();
  void EndRun(slot_run::result completion);
  void Complete(std::string_view result);
  void LogCompletion(std::string_view result, duration waited, duration ran_for) const;

  serving_context& context_;
  std::uint64_t id_;
  std::shared_ptr<server_exchange> peer_;
  call_header header_;
  serving_request request_;
  instant arrived_;
  slot_run run_;
  instant deadline_{};
  // The run must not begin later, as the customer's key may have been revoked by then.
  instant key_valid_until_ = instant::max();
  loop_timer deadline_timer_;
  loop_timer interim_timer_;
  // An answer without a length that has neither ended nor become too long to hold.
  buffered_answer held_answer_{kMaxHeldBytes};
  std::size_t discarded_bytes_ = 0;
  // Limits the time for which an answer is held, or for the rest of one that is not passed on.
  loop_timer answer_timer_;
  request_body_buffer request_body_;
  bool request_body_ended_ = false;
  // The request has a slot, and the ingress node has been notified but has not released it yet.
  bool slot_granted_ = false;
  int send_count_ = 0;
  // Time of the latest send.
  instant sent_at_{};
  // Empty if the request may be repeated.
  send_trail trail_;
  bool answer_started_ = false;
  // The request waited until more important ones left no room for it.
  bool is_displaced_ = false;
  // The calling node is gone, but the run continues.
  bool detached_ = false;
  bool ended_ = false;
  std::optional<relay_outcome> outcome_;
  // The backend server answered with a server error.
  bool backend_failed_ = false;
  // The backend server answered that the request's deadline has passed.
  bool backend_timed_out_ = false;
  std::unique_ptr<client_exchange> backend_;
  std::unique_ptr<client_exchange> finished_backend_;
};

}  // namespace cuminferry
