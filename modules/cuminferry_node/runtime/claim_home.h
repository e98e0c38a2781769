#pragma once

#include <optional>

#include "cuminferry_policy/claims/claim_registry.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The home's side of tickets: what a call with a ticket may do here, and how its
    end is remembered. Calls without a ticket pass through all of it untouched.
    Safe to use from all threads.

    @see claim_registry
*/
class claim_home {
 public:
  explicit claim_home(incarnation_id incarnation);

  //============================================================================
  /** A call arrived. No reply where it may be admitted now; otherwise it must not
      run, and the reply tells what is known of its ticket. */
  std::optional<reply_message> Begin(const ticket& claim, request_id request);

  /** Refuses a call before its ticket was begun. Without a tombstone a second copy
      could run later, and its caller was told that it never would; and where an
      earlier copy runs already, this refusal says nothing of it. */
  reply_message Refuse(const ticket& claim, request_id request, result_code fault);

  /** The point of no return. False where the ticket was revoked meanwhile. */
  bool HandOver(const ticket& claim);

  /** The call did not run and never will. */
  void MarkNotRun(const ticket& claim, result_code code);

  /** The call ended so. */
  void End(const ticket& claim, const reply_message& reply);

  //============================================================================
  /** What became of a ticket of this incarnation. */
  ask_reply_message Ask(const ask_message& question);

  /** The window that new tickets are to be bound to. */
  std::uint32_t CurrentWindow();

 private:
  section<claim_registry> registry_;
};

}  // namespace cuminferry
