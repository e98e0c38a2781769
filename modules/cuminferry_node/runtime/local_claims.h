#pragma once

#include <optional>

#include "cuminferry_policy/claims/claim_registry.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The claims of the tickets whose home is this node. Decides whether a call with a
    ticket may run, and stores the call's outcome for later copies and queries. Calls
    without a ticket are unaffected. Thread-safe.

    @see claim_registry
*/
class local_claims {
 public:
  explicit local_claims(incarnation_id incarnation);

  //============================================================================
  /** Registers a call that was received.
      @return nullopt where the call may be admitted now; otherwise the call must not
              run, and the returned reply states what is known of its ticket */
  std::optional<reply_message> Begin(const ticket& claim, request_id request);

  /** Refuses a call whose ticket was not begun, and stores a tombstone. Without the
      tombstone a second copy could run later, although the caller received "not run".
      Where an earlier copy of the call is known, the reply gives that copy's state
      instead of the refusal. */
  reply_message Refuse(const ticket& claim, request_id request, result_code fault);

  /** Marks the call as handed over to the backend server; it can't be revoked afterwards.
      @return false where the ticket was revoked before */
  bool HandOver(const ticket& claim);

  /** Stores that the call did not run and never will. */
  void MarkNotRun(const ticket& claim, result_code code);

  /** Stores the outcome of a call that was handed over. */
  void StoreOutcome(const ticket& claim, const reply_message& reply);

  //============================================================================
  /** Answers a query about a ticket of this incarnation, or revokes the ticket. */
  query_reply_message Query(const query_message& query);

  /** The claim window to which new tickets are bound. */
  std::uint32_t CurrentWindow();

 private:
  section<claim_registry> registry_;
};

}  // namespace cuminferry
