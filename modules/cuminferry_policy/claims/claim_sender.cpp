#include "cuminferry_policy/claims/claim_sender.h"

#include <algorithm>
#include <cassert>

#include "cuminferry_policy/claims/ticket_text.h"

namespace cuminferry {
namespace {

/** Refusals that say something of one instance only, so that another may run the call. */
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

claim_sender::claim_sender(options chosen) : options_(chosen) {}

//==============================================================================
claim_actions claim_sender::Bind(const claim_target& target, instant now, random_source& random) {
  assert(!bound_);
  if (ended_) {
    return {};
  }
  if (now >= options_.deadline) {
    return End(claim_end::kNotRun, result_code::kDeadlineExceeded);
  }
  ticket_ = MintTicket(target, options_.sender, random);
  bound_ = true;
  sent_ = false;
  sent_before_ = false;
  last_question_ = instant::min();
  last_question_revoked_ = false;
  return Send(now);
}

claim_actions claim_sender::Resume(const claim_ticket& shared, instant now) {
  assert(!bound_ && rebinds_ == 0);
  ticket_ = shared;
  exclusive_ = false;
  bound_ = true;
  if (now >= options_.deadline) {
    return End(claim_end::kUnknown, result_code::kDeadlineExceeded);
  }
  return Send(now);
}

claim_actions claim_sender::NoTarget(result_code code, instant) {
  assert(!bound_);
  return ended_ ? claim_actions{} : End(claim_end::kNotRun, code);
}

//==============================================================================
claim_actions claim_sender::Heard(const claim_ticket& about, claim_state state, result_code code,
                                  instant now) {
  if (!IsAbout(about)) {
    return {};
  }
  if (state == claim_state::kNeverSeen) {
    // The call was lost on its way, or is still on it. Under the same ticket a
    // second copy does no harm; without the body only a tombstone helps.
    return options_.body_kept && !IsTimeShort(now) ? Send(now) : Revoke(now);
  }
  if (!IsFinal(state)) {
    const duration pause = reply_lost_ ? options_.ask_interval : options_.ask_after;
    next_question_ = std::max(next_question_, now + pause);
    return {};
  }
  const claim_end end = EndOf(state);
  return end == claim_end::kNotRun ? NotRun(code, now) : End(end, code);
}

claim_actions claim_sender::NotSent(const claim_ticket& about, instant now) {
  if (!IsAbout(about)) {
    return {};
  }
  if (sent_before_ || !exclusive_) {
    return Ask(now);
  }
  sent_ = false;
  return NotRun(result_code::kNoTarget, now);
}

claim_actions claim_sender::ConnectionLost(const claim_ticket& about, instant now) {
  // A home out of reach loses each new connection at once; without the interval
  // the questions would follow each other as fast as the processor allows.
  const bool asked_lately = now < last_question_ + options_.ask_interval;
  if (!IsAbout(about)) {
    return {};
  }
  reply_lost_ = true;
  next_question_ = std::min(next_question_, now + options_.ask_interval);
  if (asked_lately) {
    return {};
  }
  // Without its body the call can't go on under any ticket; the sooner it is
  // sure that it doesn't run, the better.
  return options_.body_kept ? Ask(now) : Revoke(now);
}

claim_actions claim_sender::HomeGone(const claim_ticket& about, instant) {
  return IsAbout(about) ? End(claim_end::kUnknown, result_code::kTicketHomeUnreachable)
                        : claim_actions{};
}

void claim_sender::BodyGone() { options_.body_kept = false; }

claim_actions claim_sender::Tick(instant now) {
  if (ended_) {
    return {};
  }
  if (now >= options_.deadline) {
    const bool may_have_run = bound_ && (sent_ || !exclusive_);
    return End(may_have_run ? claim_end::kUnknown : claim_end::kNotRun,
               result_code::kDeadlineExceeded);
  }
  return bound_ && now >= NextTick() ? Ask(now) : claim_actions{};
}

claim_actions claim_sender::CallerGone(instant) {
  if (ended_) {
    return {};
  }
  if (!bound_) {
    return End(claim_end::kNotRun, result_code::kCallerGone);
  }
  // Nobody waits for the reply any more; the question is asked for its effect.
  claim_actions actions{{.what = claim_action::kind::kAsk, .ticket = ticket_, .revoke = true}};
  actions.push_back(End(claim_end::kUnknown, result_code::kCallerGone).front());
  return actions;
}

//==============================================================================
instant claim_sender::NextTick() const {
  if (!bound_) {
    return options_.deadline;
  }
  // The first revoking question goes out as soon as the time is short, but no
  // sooner than an interval after the last one.
  const instant short_time = options_.deadline - options_.revoke_before;
  const instant question =
      last_question_revoked_ ? next_question_ : std::min(next_question_, short_time);
  return std::min(question, options_.deadline);
}

std::string claim_sender::ToString() const {
  std::string text = ticket_text::Write(ticket_);
  const auto add = [&text](bool holds, const char* word) { text += holds ? word : ""; };
  add(exclusive_, " exclusive");
  add(bound_, " bound");
  add(sent_, " sent");
  add(sent_before_, " sent_before");
  add(options_.body_kept, " body_kept");
  add(last_question_revoked_, " revoked");
  add(reply_lost_, " reply_lost");
  add(ended_, " ended");
  text += " rebinds=" + std::to_string(rebinds_);
  text += " last_question=" + std::to_string(ToMicros(last_question_));
  text += " next_question=" + std::to_string(ToMicros(next_question_));
  return text;
}

claim_actions claim_sender::Send(instant now) {
  sent_before_ = sent_;
  sent_ = true;
  next_question_ = now + options_.ask_after;
  reply_lost_ = false;
  return {{.what = claim_action::kind::kSend, .ticket = ticket_}};
}

claim_actions claim_sender::Ask(instant now) { return Question(IsTimeShort(now), now); }

claim_actions claim_sender::Revoke(instant now) { return Question(true, now); }

claim_actions claim_sender::Question(bool revoke, instant now) {
  last_question_ = now;
  next_question_ = now + options_.ask_interval;
  last_question_revoked_ = revoke;
  return {{.what = claim_action::kind::kAsk, .ticket = ticket_, .revoke = revoke}};
}

claim_actions claim_sender::End(claim_end end, result_code code) {
  ended_ = true;
  return {{.what = claim_action::kind::kEnd, .ticket = ticket_, .end = end, .code = code}};
}

claim_actions claim_sender::NotRun(result_code code, instant now) {
  const bool may_bind = exclusive_ && options_.body_kept && rebinds_ < options_.rebinds;
  const bool again = may_bind && IsAboutInstanceOnly(code) && !IsTimeShort(now);
  if (!again) {
    return End(claim_end::kNotRun, code);
  }
  ++rebinds_;
  bound_ = false;
  sent_ = false;
  return {{.what = claim_action::kind::kRebind, .ticket = ticket_, .code = code}};
}

bool claim_sender::IsAbout(const claim_ticket& about) const {
  return !ended_ && bound_ && about == ticket_;
}

bool claim_sender::IsTimeShort(instant now) const {
  return now >= options_.deadline - options_.revoke_before;
}

}  // namespace cuminferry
