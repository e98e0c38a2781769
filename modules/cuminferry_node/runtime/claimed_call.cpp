#include "cuminferry_node/runtime/claimed_call.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

/** Pause after a lost connection: a home that closes each new one at once would
    otherwise be asked as fast as connections can be made. */
constexpr std::chrono::milliseconds kPauseAfterLoss{10};
/** How long a ticket waits for the hello of a node that was not connected yet. */
constexpr std::chrono::milliseconds kHelloTimeout{400};

claim_state StateOf(const reply_message& reply) {
  switch (reply.end) {
    case call_end::kCompleted:
      return claim_state::kCompleted;
    case call_end::kNotRun:
      return claim_state::kTombstone;
    case call_end::kUnknown:
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

claimed_call::claimed_call(target_call about, parts chosen)
    : outgoing_call(std::move(about), std::move(chosen)),
      sender_({.deadline = this->about().deadline, .sender = with().incarnation}),
      random_(random_source::FromMachine()) {}

outgoing_call::progress claimed_call::Begin(const std::string& body, bool streams) {
  body_ = body;
  if (streams) {
    sender_ = claim_sender(
        {.deadline = about().deadline, .sender = with().incarnation, .body_available = false});
  }
  if (!about().bound.empty()) {
    return Drive(sender_.Resume(FromWire(about().bound), boot_clock::Now()));
  }
  return Drive(BindElsewhere(result_code::kNoTarget));
}

outgoing_call::progress claimed_call::Continue() {
  claim_actions actions;
  if (AwaitEvent(actions)) {
    return progress::kStreaming;
  }
  return Drive(std::move(actions));
}

//==============================================================================
// Binds the call to the next target that can be had.
claim_actions claimed_call::BindElsewhere(result_code otherwise) {
  while (!cancelled()) {
    const auto chosen = with().router.ChooseTarget(about().service, avoid_);
    if (!chosen.has_value()) {
      break;
    }
    avoid_.push_back(*chosen);
    const instant until = std::min(about().deadline, boot_clock::Now() + duration(kHelloTimeout));
    const auto facts = with().links.FactsOf(*chosen, until);
    if (facts.has_value()) {
      const claim_target target{*chosen, facts->incarnation, facts->window};
      return sender_.Bind(target, boot_clock::Now(), random_);
    }
    // Nothing of the call has left this node: another target is no second attempt.
    with().router.OnLost(*chosen, boot_clock::Now());
  }
  return sender_.OnNoTarget(cancelled() ? result_code::kCallerGone : otherwise, boot_clock::Now());
}

claim_actions claimed_call::SendCall(const claim_ticket& under) {
  if (attempt_open_) {
    with().links.Forget(*current());
  }
  if (Send(under.home, ToWire(under), body_)) {
    attempt_open_ = true;
    return {};
  }
  return sender_.OnNotSent(under, boot_clock::Now());
}

void claimed_call::AskAbout(const claim_action& question) {
  ask_message message;
  message.claim = ToWire(question.ticket);
  message.revoke = question.revoke ? 1 : 0;
  // Where it can't be sent, the sender's own clock brings the next question.
  with().links.AskFor(current(), question.ticket.home, message);
}

outgoing_call::progress claimed_call::Drive(claim_actions actions) {
  while (true) {
    claim_actions next;
    for (const claim_action& action : actions) {
      switch (action.type) {
        case claim_action::kind::kSend:
          next = SendCall(action.ticket);
          break;
        case claim_action::kind::kQuery:
          AskAbout(action);
          break;
        case claim_action::kind::kRebind:
          next = TakeRetry() ? BindElsewhere(action.code)
                             : sender_.OnNoTarget(action.code, boot_clock::Now());
          break;
        case claim_action::kind::kReportOutcome:
          End(action);
          return progress::kEnded;
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
    case outgoing_attempt::event::kAskReply:
      actions = OnAskReply(attempt->TakeAskReply());
      break;
    case outgoing_attempt::event::kCredit:
      AddCredit(attempt->TakeCredit());
      return streams();
    case outgoing_attempt::event::kLost:
      absl::SleepFor(absl::FromChrono(kPauseAfterLoss));
      actions = sender_.OnConnectionLost(about_ticket, boot_clock::Now());
      break;
    case outgoing_attempt::event::kGone:
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
  NoteReply(sender_.ticket().home, reply);
  attempt_open_ = false;
  retry_after_ = std::chrono::milliseconds(reply.retry_after_millis);
  if (reply.end == call_end::kCompleted) {
    return OnAnswer(std::move(reply));
  }
  return sender_.OnReply(sender_.ticket(), StateOf(reply), static_cast<result_code>(reply.code),
                         boot_clock::Now());
}

claim_actions claimed_call::OnAskReply(ask_reply_message reply) {
  const auto state = static_cast<claim_state>(reply.state);
  if (state == claim_state::kCompleted) {
    return OnAnswer(std::move(reply.answer));
  }
  return sender_.OnReply(sender_.ticket(), state, static_cast<result_code>(reply.code),
                         boot_clock::Now());
}

claim_actions claimed_call::OnAnswer(reply_message answer) {
  if (!IsWhole(answer)) {
    // The home keeps the whole answer: it is asked for it once more.
    return sender_.OnConnectionLost(sender_.ticket(), boot_clock::Now());
  }
  answer_ = std::move(answer);
  return sender_.OnReply(sender_.ticket(), claim_state::kCompleted, result_code::kOk,
                         boot_clock::Now());
}

void claimed_call::End(const claim_action& action) {
  with().links.Forget(*current());
  if (attempt_open_) {
    NoteNoReply(action.ticket.home, target_outcome::kLost);
  }
  switch (action.outcome) {
    case claim_outcome::kCompleted:
      EndWith(std::move(answer_));
      break;
    case claim_outcome::kNotRun:
      EndWith(MakeNotRun(about().request, action.code, retry_after_));
      break;
    case claim_outcome::kUnknown:
      EndUnknown(action.code);
      break;
  }
}

}  // namespace cuminferry
