#include "cuminferry_node/runtime/claimed_call.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

/** Pause after a lost connection. A home that closes each new connection at once would
    otherwise be queried as fast as connections can be made. */
constexpr std::chrono::milliseconds kReconnectPause{10};
/** Maximum wait for the hello of a target that is not connected yet, before binding a ticket. */
constexpr std::chrono::milliseconds kHelloTimeout{400};

claim_state StateOf(const reply_message& reply) {
  switch (reply.outcome) {
    case call_outcome::kCompleted:
      return claim_state::kCompleted;
    case call_outcome::kNotRun:
      return claim_state::kTombstone;
    case call_outcome::kUnknown:
      break;
  }
  switch (static_cast<result_code>(reply.code)) {
    case result_code::kTicketRunning:
      return claim_state::kRunning;
    case result_code::kTicketAnswerForgotten:
      return claim_state::kAnswerForgotten;
    case result_code::kTicketExpired:
    case result_code::kTicketOtherIncarnation:
      return claim_state::kRefused;
    default:
      return claim_state::kAborted;
  }
}

}  // namespace

claim_ticket FromWire(const ticket& from) {
  return {from.home, {from.home_incarnation, from.window, from.nonce_high, from.nonce_low}};
}

ticket ToWire(const claim_ticket& from) {
  return {from.home, from.id.incarnation, from.id.window, from.id.nonce_high, from.id.nonce_low};
}

claimed_call::claimed_call(call_description description, dependencies chosen)
    : outgoing_call(std::move(description), std::move(chosen)),
      sender_({.deadline = this->description().deadline, .sender = deps().incarnation}),
      random_(random_source::FromMachine()) {}

outgoing_call::progress claimed_call::Begin(const std::string& body, bool has_stream) {
  body_ = body;
  if (has_stream) {
    sender_ = claim_sender({.deadline = description().deadline,
                            .sender = deps().incarnation,
                            .body_available = false});
  }
  if (!description().existing_ticket.empty()) {
    return ExecuteActions(
        sender_.Resume(FromWire(description().existing_ticket), boot_clock::Now()));
  }
  return ExecuteActions(BindToNextTarget(result_code::kNoTarget));
}

outgoing_call::progress claimed_call::Continue() {
  claim_actions actions;
  if (AwaitEvent(actions)) {
    return progress::kStreaming;
  }
  return ExecuteActions(std::move(actions));
}

//==============================================================================
// Binds the call to the next target that is reachable. Where none is left, the call ends with
// the code `otherwise`.
claim_actions claimed_call::BindToNextTarget(result_code otherwise) {
  while (!cancelled()) {
    const auto chosen = deps().router.ChooseTarget(description().service, tried_targets_);
    if (!chosen.has_value()) {
      break;
    }
    tried_targets_.push_back(*chosen);
    const instant until =
        std::min(description().deadline, boot_clock::Now() + duration(kHelloTimeout));
    const auto facts = deps().links.AwaitPeerInfo(*chosen, until);
    if (facts.has_value()) {
      const claim_target target{*chosen, facts->incarnation, facts->window};
      return sender_.Bind(target, boot_clock::Now(), random_);
    }
    // Nothing of the call was sent, so trying another target takes no retry.
    deps().router.OnLost(*chosen, boot_clock::Now());
  }
  return sender_.OnNoTarget(cancelled() ? result_code::kCallerGone : otherwise, boot_clock::Now());
}

claim_actions claimed_call::SendCall(const claim_ticket& call_ticket) {
  if (awaits_reply_) {
    deps().links.Forget(*current());
  }
  if (Send(call_ticket.home, ToWire(call_ticket), body_)) {
    awaits_reply_ = true;
    return {};
  }
  return sender_.OnNotSent(call_ticket, boot_clock::Now());
}

void claimed_call::SendQuery(const claim_action& action) {
  query_message message;
  message.claim = ToWire(action.ticket);
  message.revoke = action.revoke ? 1 : 0;
  // If the query can't be sent, Tick() of the sender repeats it later.
  deps().links.QueryFor(current(), action.ticket.home, message);
}

outgoing_call::progress claimed_call::ExecuteActions(claim_actions actions) {
  while (true) {
    claim_actions next;
    for (const claim_action& action : actions) {
      switch (action.type) {
        case claim_action::kind::kSend:
          next = SendCall(action.ticket);
          break;
        case claim_action::kind::kQuery:
          SendQuery(action);
          break;
        case claim_action::kind::kRebind:
          next = TakeRetry() ? BindToNextTarget(action.code)
                             : sender_.OnNoTarget(action.code, boot_clock::Now());
          break;
        case claim_action::kind::kReportOutcome:
          FinishAs(action);
          return progress::kFinished;
      }
    }
    if (next.empty() && AwaitEvent(next)) {
      return progress::kStreaming;
    }
    actions = std::move(next);
  }
}

bool claimed_call::AwaitEvent(claim_actions& actions) {
  const auto attempt = current();
  const claim_ticket about_ticket = sender_.ticket();
  switch (attempt->Wait(sender_.NextTick())) {
    case outgoing_attempt::event::kReply:
      actions = OnReply(attempt->TakeReply());
      break;
    case outgoing_attempt::event::kQueryReply:
      actions = OnAskReply(attempt->TakeQueryReply());
      break;
    case outgoing_attempt::event::kCredit:
      AddCredit(attempt->TakeCredit());
      return has_stream();
    case outgoing_attempt::event::kConnectionLost:
      absl::SleepFor(absl::FromChrono(kReconnectPause));
      actions = sender_.OnConnectionLost(about_ticket, boot_clock::Now());
      break;
    case outgoing_attempt::event::kNotListening:
      actions = sender_.OnHomeGone(about_ticket, boot_clock::Now());
      break;
    case outgoing_attempt::event::kCancelled:
      actions = sender_.OnCallerGone(boot_clock::Now());
      break;
    case outgoing_attempt::event::kTimeout:
      actions = sender_.Tick(boot_clock::Now());
      break;
  }
  return false;
}

claim_actions claimed_call::OnReply(reply_message reply) {
  RecordReply(sender_.ticket().home, reply);
  awaits_reply_ = false;
  retry_after_ = std::chrono::milliseconds(reply.retry_after_millis);
  if (reply.outcome == call_outcome::kCompleted) {
    return OnAnswer(std::move(reply));
  }
  return sender_.OnReply(sender_.ticket(), StateOf(reply), static_cast<result_code>(reply.code),
                         boot_clock::Now());
}

claim_actions claimed_call::OnAskReply(query_reply_message reply) {
  const auto state = static_cast<claim_state>(reply.state);
  if (state == claim_state::kCompleted) {
    return OnAnswer(std::move(reply.answer));
  }
  return sender_.OnReply(sender_.ticket(), state, static_cast<result_code>(reply.code),
                         boot_clock::Now());
}

claim_actions claimed_call::OnAnswer(reply_message answer) {
  if (!IsAnswerIntact(answer)) {
    // The home has stored the intact answer, so the sender queries the ticket once more.
    return sender_.OnConnectionLost(sender_.ticket(), boot_clock::Now());
  }
  answer_ = std::move(answer);
  return sender_.OnReply(sender_.ticket(), claim_state::kCompleted, result_code::kOk,
                         boot_clock::Now());
}

void claimed_call::FinishAs(const claim_action& action) {
  deps().links.Forget(*current());
  if (awaits_reply_) {
    RecordNoReply(action.ticket.home, target_outcome::kLost);
  }
  switch (action.outcome) {
    case claim_outcome::kCompleted:
      FinishWith(std::move(answer_));
      break;
    case claim_outcome::kNotRun:
      FinishWith(MakeNotRunReply(description().request, action.code, retry_after_));
      break;
    case claim_outcome::kUnknown:
      FinishUnknown(action.code);
      break;
  }
}

}  // namespace cuminferry
