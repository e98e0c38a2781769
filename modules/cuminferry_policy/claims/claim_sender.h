#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/claims/claim_outcome.h"
#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

/** The next step for the sender of a non-idempotent call. */
struct claim_action {
  enum class kind : std::uint8_t {
    kSend,    ///< send the call with `ticket`; repeated sends to the same home instance are safe
    kQuery,   ///< query the home instance of `ticket`, over a new connection if the last one was
              ///< lost
    kRebind,  ///< choose another target and call Bind(), or OnNoTarget() if there is none
    kReportOutcome,  ///< report the outcome to the caller; no further action follows
  };

  kind type = kind::kReportOutcome;
  claim_ticket ticket;
  /** Only for queries: the home instance leaves a tombstone if it has not handed the call over. */
  bool revoke = false;
  claim_outcome outcome = claim_outcome::kUnknown;
  result_code code = result_code::kOk;

  bool operator==(const claim_action&) const = default;
};

using claim_actions = std::vector<claim_action>;

/** State machine of one non-idempotent call at its sender, from the first ticket to the one
    outcome that is reported to the caller.

    The outcome is kNotRun only if every ticket that the call was bound to has a tombstone at
    its home instance or never left this node; the same condition must hold before the call is
    bound to another ticket. In all other cases the outcome is kUnknown. It is reported at the
    deadline at the latest, and at once if no further information can be obtained.

    The class performs no I/O: it receives events and returns actions. It is not thread-safe;
    the record of the call owns it. Events about a ticket other than the current one are
    ignored.
*/
class claim_sender {
 public:
  struct options {
    instant deadline;
    /** Incarnation of the sending node; part of the nonces. */
    incarnation_id sender = 0;
    /** Time without a reply after which the home instance is queried. Connections detect their
        own silence; this interval covers a reply that was lost between two connections. */
    duration query_after = std::chrono::seconds(2);
    /** Interval between two queries when a connection was lost or no reply arrives. */
    duration query_interval = std::chrono::milliseconds(200);
    /** Time before the deadline from which queries revoke the call: a certain `not_run` that
        can still be reported in time is better than `unknown`. */
    duration revoke_before = std::chrono::milliseconds(300);
    /** Maximum number of further tickets after the first one. */
    std::uint32_t max_rebinds = 1;
    /** Whether the call's body is available to be sent again; see OnBodyDiscarded(). */
    bool body_available = true;
  };

  explicit claim_sender(options settings);

  //============================================================================
  /** Binds the call to a new ticket of this target and sends it. To be called at the start and
      after kRebind. */
  claim_actions Bind(const claim_target& target, instant now, random_source& random);

  /** Starts with a ticket that another sender may hold as well: one from a caller that retries,
      or one that is derived from an idempotency key. Such a call is never bound to another
      ticket, because another holder might do the same and the call would run twice. */
  claim_actions Resume(const claim_ticket& shared, instant now);

  /** Reports that no target is available for Bind(). */
  claim_actions OnNoTarget(result_code code, instant now);

  //============================================================================
  /** Handles the home instance's reply to the call or to a query about this ticket. `state` may
      be kCompleted only if the reply contains the complete answer. */
  claim_actions OnReply(const claim_ticket& for_ticket, claim_state state, result_code code,
                        instant now);

  /** Handles the event that no byte of the latest send of the call left this node. */
  claim_actions OnNotSent(const claim_ticket& for_ticket, instant now);

  /** Handles the loss or silence of the connection that carried the call or a query. */
  claim_actions OnConnectionLost(const claim_ticket& for_ticket, instant now);

  /** Handles the event that no process listens at the home instance's address any more. The
      process that knew the outcome has terminated, and its registry is lost. */
  claim_actions OnHomeGone(const claim_ticket& for_ticket, instant now);

  /** Records that the beginning of the body was passed on and is no longer available: from now
      on the call can neither be sent again nor be bound to another ticket. */
  void OnBodyDiscarded();

  /** Handles the timer; to be called at NextTick() at the latest. */
  claim_actions Tick(instant now);

  /** Handles the disconnection of the caller. The home instance is requested to leave a
      tombstone if the call has not been handed over. */
  claim_actions OnCallerGone(instant now);

  //============================================================================
  /** Returns the time at which Tick() has to be called next. */
  instant NextTick() const;
  bool ended() const { return ended_; }
  /** Returns the current ticket; also valid after the outcome, so that the caller can store it. */
  const claim_ticket& ticket() const { return ticket_; }
  /** Returns all state that determines the next action, on one line, for logs and tests. */
  std::string ToString() const;

 private:
  claim_actions Send(instant now);
  claim_actions QueryHome(instant now);
  claim_actions RevokeAtHome(instant now);
  claim_actions SendQuery(bool revoke, instant now);
  claim_actions Finish(claim_outcome outcome, result_code code);
  claim_actions HandleNotRun(result_code code, instant now);
  bool IsCurrent(const claim_ticket& for_ticket) const;
  bool IsTimeShort(instant now) const;

  options options_;
  claim_ticket ticket_;
  /** Whether no other sender can hold the current ticket. */
  bool exclusive_ = true;
  bool bound_ = false;
  /** Whether the call may have left this node with the current ticket. */
  bool sent_ = false;
  /** Whether a send before the latest one may have left this node with the current ticket. */
  bool sent_before_ = false;
  std::uint32_t rebinds_ = 0;
  instant next_query_time_;
  instant last_query_time_ = instant::min();
  bool last_query_revoked_ = false;
  /** Whether the reply may have been lost with its connection, so that only queries can
      obtain it. */
  bool reply_lost_ = false;
  bool ended_ = false;
};

}  // namespace cuminferry
