#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/claims/claim_end.h"
#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

/** What the sender of a non-idempotent call has to do next. */
struct claim_action {
  enum class kind : std::uint8_t {
    kSend,    ///< send the call under `ticket`; again to the same home is harmless
    kAsk,     ///< ask `ticket`'s home about it, over a new connection if one was lost
    kRebind,  ///< choose another target and call Bind(), or NoTarget() if there is none
    kEnd,     ///< tell the caller; nothing more comes
  };

  kind what = kind::kEnd;
  claim_ticket ticket;
  /** kAsk: have the home leave a tombstone if it has not handed the call over. */
  bool revoke = false;
  claim_end end = claim_end::kUnknown;
  result_code code = result_code::kOk;

  bool operator==(const claim_action&) const = default;
};

using claim_actions = std::vector<claim_action>;

/** The sender's side of one non-idempotent call, from the first ticket to the
    one end that its caller is told.

    It says kNotRun only where each ticket that the call was ever bound to has a
    tombstone at its home or never left this node; it binds the call to another
    ticket under the same condition. Everything else ends as kUnknown, at the
    deadline at the latest and at once where nothing more can be learned.

    Sans-I/O: events in, actions out. Not thread-safe; belongs to the call's
    record. Events about a ticket that is no longer the current one are ignored.
*/
class claim_sender {
 public:
  struct options {
    instant deadline;
    /** The own incarnation, for the nonces. */
    incarnation_id sender = 0;
    /** Without a word for so long, the home is asked. Connections report their
        own silence; this is for a reply that got lost between connections. */
    duration ask_after = std::chrono::seconds(2);
    /** Between two questions, where a connection was lost or nothing is heard. */
    duration ask_interval = std::chrono::milliseconds(200);
    /** With less than this left, a question revokes: better a sure `not_run` with
        time to tell it than `unknown`. */
    duration revoke_before = std::chrono::milliseconds(300);
    /** Most fresh tickets after the first. */
    std::uint32_t rebinds = 1;
    /** The call's body is at hand, so that it can be sent again; see BodyGone(). */
    bool body_kept = true;
  };

  explicit claim_sender(options chosen);

  //============================================================================
  /** Binds the call to a fresh ticket of this target and sends it. At the start,
      and after kRebind. */
  claim_actions Bind(const claim_target& target, instant now, random_source& random);

  /** Starts with a ticket that somebody else may hold too, from a caller that
      tries again or derived from its idempotency key. Such a call is never bound
      to another ticket: the other holder might do the same, and both would run. */
  claim_actions Resume(const claim_ticket& shared, instant now);

  /** No target can be had for Bind(). */
  claim_actions NoTarget(result_code code, instant now);

  //============================================================================
  /** The home's reply to the call, or to a question, about this ticket. A reply
      that carries an answer counts as kCompleted only if the answer is whole. */
  claim_actions Heard(const claim_ticket& about, claim_state state, result_code code, instant now);

  /** No byte of the call's last sending left this node. */
  claim_actions NotSent(const claim_ticket& about, instant now);

  /** The connection that the call or a question went over is lost or silent. */
  claim_actions ConnectionLost(const claim_ticket& about, instant now);

  /** Nothing listens at the home's address any more: the process that might have
      known is gone, and its memory with it. */
  claim_actions HomeGone(const claim_ticket& about, instant now);

  /** The beginning of the body was passed on and is no longer at hand: from now
      on the call can neither be sent again nor bound to another ticket. */
  void BodyGone();

  /** To be called at NextTick() at the latest. */
  claim_actions Tick(instant now);

  /** The caller has gone. The home is told to leave a tombstone if it still can. */
  claim_actions CallerGone(instant now);

  //============================================================================
  /** When Tick() has something to do. */
  instant NextTick() const;
  bool ended() const { return ended_; }
  /** The current ticket; also after the end, for the caller to keep. */
  const claim_ticket& ticket() const { return ticket_; }
  /** All that decides what it does next, on one line, for logs and tests. */
  std::string ToString() const;

 private:
  claim_actions Send(instant now);
  claim_actions Ask(instant now);
  claim_actions Revoke(instant now);
  claim_actions Question(bool revoke, instant now);
  claim_actions End(claim_end end, result_code code);
  claim_actions NotRun(result_code code, instant now);
  bool IsAbout(const claim_ticket& about) const;
  bool IsTimeShort(instant now) const;

  options options_;
  claim_ticket ticket_;
  /** Nobody else can hold the current ticket. */
  bool exclusive_ = true;
  bool bound_ = false;
  /** The current ticket may have left this node. */
  bool sent_ = false;
  /** A sending before the last one may have left this node. */
  bool sent_before_ = false;
  std::uint32_t rebinds_ = 0;
  instant next_question_;
  instant last_question_ = instant::min();
  bool last_question_revoked_ = false;
  /** The reply may have been on a connection that is lost: only questions can
      bring it now. */
  bool reply_lost_ = false;
  bool ended_ = false;
};

}  // namespace cuminferry
