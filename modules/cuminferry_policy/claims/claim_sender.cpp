#include "cuminferry_policy/claims/claim_sender.h"

#include <algorithm>
#include <cassert>

#include "cuminferry_policy/claims/ticket_text.h"

namespace cuminferry {
namespace {

/** Returns whether a refusal concerns one instance only: another instance may run the call. */
bool IsAboutInstanceOnly(result_code code) {
  switch (code) {
    case result_code::kRefusedInstanceOnly:
    case result_code::kRefusedDraining:
    case result_code::kNoTarget:
    case result_code::kNoTableYet:
    case result_code::kTicketTableFull:
    case result_code::kTicketExpired:
    case result_code::kTicketRevoked:
      return true;
    default:
      return false;
  }
}

}  // namespace

claim_sender::claim_sender(options settings) : options_(settings) {}

//==============================================================================
claim_actions claim_sender::Bind(const claim_target& target, instant now, random_source& random) {
  assert(!bound_);
  if (ended_) {
    return {};
  }
  if (now >= options_.deadline) {
    return Finish(claim_outcome::kNotRun, result_code::kDeadlineExceeded);
  }
  ticket_ = MintTicket(target, options_.sender, random);
  bound_ = true;
  sent_ = false;
  sent_before_ = false;
  last_query_time_ = instant::min();
  last_query_revoked_ = false;
  return Send(now);
}

claim_actions claim_sender::Resume(const claim_ticket& shared, instant now) {
  assert(!bound_ && rebinds_ == 0);
  ticket_ = shared;
  exclusive_ = false;
  bound_ = true;
  if (now >= options_.deadline) {
    return Finish(claim_outcome::kUnknown, result_code::kDeadlineExceeded);
  }
  return Send(now);
}

claim_actions claim_sender::OnNoTarget(result_code code, instant) {
  assert(!bound_);
  return ended_ ? claim_actions{} : Finish(claim_outcome::kNotRun, code);
}

//==============================================================================
claim_actions claim_sender::OnReply(const claim_ticket& for_ticket, claim_state state,
                                    result_code code, instant now) {
  if (!IsCurrent(for_ticket)) {
    return {};
  }
  if (state == claim_state::kNeverSeen) {
    // The call was lost on its way or has not arrived yet. A second copy with the same ticket is
    // safe. Without the body, the call can only be revoked.
    return options_.body_available && !IsTimeShort(now) ? Send(now) : RevokeAtHome(now);
  }
  if (!IsFinal(state)) {
    const duration wait = reply_lost_ ? options_.query_interval : options_.query_after;
    next_query_time_ = std::max(next_query_time_, now + wait);
    return {};
  }
  const claim_outcome outcome = OutcomeOf(state);
  return outcome == claim_outcome::kNotRun ? HandleNotRun(code, now) : Finish(outcome, code);
}

claim_actions claim_sender::OnNotSent(const claim_ticket& for_ticket, instant now) {
  if (!IsCurrent(for_ticket)) {
    return {};
  }
  if (sent_before_ || !exclusive_) {
    return QueryHome(now);
  }
  sent_ = false;
  return HandleNotRun(result_code::kNoTarget, now);
}

claim_actions claim_sender::OnConnectionLost(const claim_ticket& for_ticket, instant now) {
  // An unreachable home instance loses each new connection at once. Without a minimum interval, the
  // queries would follow each other as fast as the processor allows.
  const bool within_query_interval = now < last_query_time_ + options_.query_interval;
  if (!IsCurrent(for_ticket)) {
    return {};
  }
  reply_lost_ = true;
  next_query_time_ = std::min(next_query_time_, now + options_.query_interval);
  if (within_query_interval) {
    return {};
  }
  // Without its body the call cannot continue with any ticket, so it is revoked immediately to make
  // sure that it does not run.
  return options_.body_available ? QueryHome(now) : RevokeAtHome(now);
}

claim_actions claim_sender::OnHomeGone(const claim_ticket& for_ticket, instant) {
  return IsCurrent(for_ticket)
             ? Finish(claim_outcome::kUnknown, result_code::kTicketHomeUnreachable)
             : claim_actions{};
}

void claim_sender::OnBodyDiscarded() { options_.body_available = false; }

claim_actions claim_sender::Tick(instant now) {
  if (ended_) {
    return {};
  }
  if (now >= options_.deadline) {
    const bool may_have_run = bound_ && (sent_ || !exclusive_);
    return Finish(may_have_run ? claim_outcome::kUnknown : claim_outcome::kNotRun,
                  result_code::kDeadlineExceeded);
  }
  return bound_ && now >= NextTick() ? QueryHome(now) : claim_actions{};
}

claim_actions claim_sender::OnCallerGone(instant) {
  if (ended_) {
    return {};
  }
  if (!bound_) {
    return Finish(claim_outcome::kNotRun, result_code::kCallerGone);
  }
  // The caller no longer waits for a reply; the query is sent only for its revocation.
  claim_actions actions{{.type = claim_action::kind::kQuery, .ticket = ticket_, .revoke = true}};
  actions.push_back(Finish(claim_outcome::kUnknown, result_code::kCallerGone).front());
  return actions;
}

//==============================================================================
instant claim_sender::NextTick() const {
  if (!bound_) {
    return options_.deadline;
  }
  // The first revoking query is due `revoke_before` ahead of the deadline; later ones follow at the
  // query interval.
  const instant revoke_time = options_.deadline - options_.revoke_before;
  const instant query_time =
      last_query_revoked_ ? next_query_time_ : std::min(next_query_time_, revoke_time);
  return std::min(query_time, options_.deadline);
}

std::string claim_sender::ToString() const {
  std::string text = ticket_text::Write(ticket_);
  const auto add = [&text](bool holds, const char* word) { text += holds ? word : ""; };
  add(exclusive_, " exclusive");
  add(bound_, " bound");
  add(sent_, " sent");
  add(sent_before_, " sent_before");
  add(options_.body_available, " body_kept");
  add(last_query_revoked_, " revoked");
  add(reply_lost_, " reply_lost");
  add(ended_, " ended");
  text += " rebinds=" + std::to_string(rebinds_);
  text += " last_question=" + std::to_string(ToMicros(last_query_time_));
  text += " next_question=" + std::to_string(ToMicros(next_query_time_));
  return text;
}

claim_actions claim_sender::Send(instant now) {
  sent_before_ = sent_;
  sent_ = true;
  next_query_time_ = now + options_.query_after;
  reply_lost_ = false;
  return {{.type = claim_action::kind::kSend, .ticket = ticket_}};
}

claim_actions claim_sender::QueryHome(instant now) { return SendQuery(IsTimeShort(now), now); }

claim_actions claim_sender::RevokeAtHome(instant now) { return SendQuery(true, now); }

claim_actions claim_sender::SendQuery(bool revoke, instant now) {
  last_query_time_ = now;
  next_query_time_ = now + options_.query_interval;
  last_query_revoked_ = revoke;
  return {{.type = claim_action::kind::kQuery, .ticket = ticket_, .revoke = revoke}};
}

claim_actions claim_sender::Finish(claim_outcome outcome, result_code code) {
  ended_ = true;
  return {{.type = claim_action::kind::kReportOutcome,
           .ticket = ticket_,
           .outcome = outcome,
           .code = code}};
}

claim_actions claim_sender::HandleNotRun(result_code code, instant now) {
  const bool can_rebind = exclusive_ && options_.body_available && rebinds_ < options_.max_rebinds;
  const bool should_rebind = can_rebind && IsAboutInstanceOnly(code) && !IsTimeShort(now);
  if (!should_rebind) {
    return Finish(claim_outcome::kNotRun, code);
  }
  ++rebinds_;
  bound_ = false;
  sent_ = false;
  return {{.type = claim_action::kind::kRebind, .ticket = ticket_, .code = code}};
}

bool claim_sender::IsCurrent(const claim_ticket& for_ticket) const {
  return !ended_ && bound_ && for_ticket == ticket_;
}

bool claim_sender::IsTimeShort(instant now) const {
  return now >= options_.deadline - options_.revoke_before;
}

}  // namespace cuminferry
