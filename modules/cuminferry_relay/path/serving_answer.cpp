#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/answer_check.h"
#include "cuminferry_relay/path/serving_call.h"

namespace cuminferry {
namespace {

// Maximum time for which an answer without a length is held.
constexpr duration kMaxHoldTime = std::chrono::milliseconds(200);
// The rest of an answer that is not passed on is read up to this size and time, so that its
// connection can be reused. The backend server may send it without end.
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024;
constexpr duration kDiscardTimeout = std::chrono::milliseconds(100);

}  // namespace

// An answer without an id is taken for one to this request, but is not trusted on a connection that
// has carried others. @see InvalidAnswerOutcome
bool serving_call::IsAnswer(const http_head& head) {
  const std::string* echoed = head.Find(context_.node.settings.headers.request_id);
  if (echoed == nullptr || request_.id.empty() || *echoed == request_.id) {
    return true;
  }
  context_.OnStrayAnswer(head, backend_->connection(), backend_->HasBroughtRejectionOf(*echoed));
  return false;
}

void serving_call::OnAnswerHead(http_head head) {
  context_.OnAnswer();
  outcome_ = InvalidAnswerOutcome(head, context_.node.settings.headers,
                                  backend_->is_first_on_connection());
  trail_.OnWord(outcome_ ? ToText(*outcome_) : "answered", send_trail::source::kAnswer, head.status,
                context_.node.loop.Now() - sent_at_);
  if (outcome_) {
    backend_->MarkRepeatable();
  }
  const std::string& expected = request_.expected_instance;
  if (outcome_ == relay_outcome::kOtherInstance && !expected.empty()) {
    context_.OnOtherInstance(expected);
  }
  context_.declarations.OnAnswer(head, expected, sent_at_, outcome_);
  context_.registration.OnAnswer(head, expected, sent_at_, outcome_);
  context_.node.repeats.OnSendResult(outcome_ == relay_outcome::kTurnedAway);
  backend_failed_ = head.status >= http_status::kFirstServerError;
  backend_timed_out_ = head.status == http_status::kGatewayTimeout;
  // Rows that make calls may fail because a callee failed, which is no fault of this backend
  // server.
  const call_attribution& attribution = context_.node.attribution;
  const bool own_fault = backend_failed_ && attribution.KnowsCallsOf(header_.row) &&
                         !attribution.MakesCalls(header_.row);
  context_.RecordOutcome(!outcome_ && !own_fault);
  if (outcome_) {
    DiscardAnswer(head);
    return;
  }
  if (detached_) {
    return;
  }
  head.RemoveConnectionFields();
  head.Remove(kOutcomeField);
  head.Remove(kResetsIfCutField);
  context_.AddReports(header_, request_, head);
  request_body_.Drop();
  const bool has_no_length = head.framing == body_framing::kUntilClose;
  held_answer_.Begin(std::move(head));
  if (has_no_length) {
    answer_timer_.StartOnce(kMaxHoldTime, [this] { ForwardInChunks(); });
  } else {
    ForwardHeldAnswer();
  }
}

void serving_call::ForwardHeldAnswer() {
  answer_timer_.Stop();
  interim_timer_.Stop();
  answer_started_ = true;
  held_answer_.SendTo(*peer_);
}

// From here on, the calling nodes and the client learn from the last chunk that the answer has
// ended; without it, the end of a node's process would look like the end of the answer.
void serving_call::ForwardInChunks() {
  held_answer_.head().framing = body_framing::kChunked;
  ForwardHeldAnswer();
}

// The backend server has said by nothing but the close of its connection that the answer is whole,
// so the client isn't told more.
void serving_call::ForwardUntilClose() {
  held_answer_.head().Set(kResetsIfCutField, "1");
  ForwardHeldAnswer();
}

// Its head has decided what becomes of the request; the rest must not delay that.
void serving_call::DiscardAnswer(const http_head& head) {
  discarded_bytes_ = 0;
  if (head.framing == body_framing::kUntilClose || head.length > kMaxDiscardedBytes) {
    EndDiscardedAnswer();
  } else {
    answer_timer_.StartOnce(kDiscardTimeout, [this] { EndDiscardedAnswer(); });
  }
}

void serving_call::EndDiscardedAnswer() {
  backend_->Cancel();
  OnAnswerEnd();
}

void serving_call::OnAnswerBody(std::string_view bytes) {
  if (detached_) {
    return;
  }
  if (outcome_) {
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      EndDiscardedAnswer();
    }
    return;
  }
  if (held_answer_.is_arriving()) {
    if (!held_answer_.Append(bytes)) {
      ForwardInChunks();
    }
    return;
  }
  peer_->SendBody(bytes);
  if (peer_->unsent_bytes() > tcp_connection::kHighWater) {
    backend_->PauseAnswer();
  }
}

void serving_call::OnAnswerEnd() {
  answer_timer_.Stop();
  finished_backend_ = std::move(backend_);
  if (outcome_ == relay_outcome::kTurnedAway && TrySendRepeat()) {
    return;
  }
  if (outcome_) {
    EndRun(slot_run::result::kAborted);
  } else {
    EndRun(backend_failed_ ? slot_run::result::kFailure : slot_run::result::kSuccess);
  }
  if (outcome_) {
    AnswerWithOutcome(*outcome_);
    return;
  }
  if (held_answer_.is_arriving() && !detached_) {
    ForwardUntilClose();
  } else if (finished_backend_->ended_by_close() && !detached_) {
    context_.AwaitEndConfirmation(shared_from_this());
    return;
  }
  OnEndConfirmed(true);
}

void serving_call::OnEndConfirmed(bool is_whole) {
  if (ended_) {
    return;
  }
  if (!is_whole) {
    peer_->Abort();
    Complete("cut_short");
    return;
  }
  if (request_.suspect_digest && !backend_timed_out_) {
    // An error answer also shows that the request did not crash the backend server. A run that its
    // deadline ended might have crashed it later.
    context_.node.on_suspects(
        {{.event_kind = suspect_event::kind::kCleared, .digest = *request_.suspect_digest}});
  }
  if (!detached_) {
    peer_->Finish();
  }
  Complete("answered");
}

// Repeats a request that the backend server rejected although its gate had a free slot.
bool serving_call::TrySendRepeat() {
  if (detached_ || send_count_ >= kMaxSends || !request_body_.is_complete() ||
      context_.node.loop.Now() >= deadline_ || IsKeyStale() || RefusalOfInstance() ||
      !context_.gate.TryTakeTurn(context_.node.loop.Now()) || !TakeRepeat()) {
    return false;
  }
  run_.OnRepeat();
  Send();
  return true;
}

void serving_call::OnBackendFailed(exchange_failure failure) {
  answer_timer_.Stop();
  held_answer_.Drop();
  if (outcome_) {
    // The answer's head has decided; the connection was lost in a part that is not passed on.
    OnAnswerEnd();
    return;
  }
  trail_.OnWord(ToText(failure), send_trail::source::kNode, 0, context_.node.loop.Now() - sent_at_);
  finished_backend_ = std::move(backend_);
  EndRun(slot_run::result::kAborted);
  context_.RecordOutcome(false);
  if (failure == exchange_failure::kNotSent) {
    context_.OnBackendDown();
    // If it was sent before, that one has arrived, and the next one is a repeat.
    AnswerWithOutcome(send_count_ > 1 ? relay_outcome::kTurnedAway : relay_outcome::kDown);
    return;
  }
  if (answer_started_ && !detached_) {
    peer_->Abort();
    Complete("cut_short");
    return;
  }
  if (failure == exchange_failure::kConnectionLost) {
    context_.OnRunConnectionLost(shared_from_this());
    return;
  }
  AnswerWithOutcome(failure == exchange_failure::kInvalidAnswer ? relay_outcome::kDamaged
                                                                : relay_outcome::kLost);
}

}  // namespace cuminferry
