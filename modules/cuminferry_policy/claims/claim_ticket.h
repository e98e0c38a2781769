#pragma once

#include <compare>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/claims/claim_book.h"

namespace cuminferry {

/** A non-idempotent call's binding to one instance, its incarnation and one of
    its claim windows. Whoever has it can ask about the call and revoke it, so
    its nonce must not be guessable. */
struct claim_ticket {
  endpoint home;
  claim_id id;

  auto operator<=>(const claim_ticket&) const = default;
};

/** What a sender knows of an instance that it may bind a call to, from the
    newest message of that instance. */
struct claim_target {
  endpoint home;
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
};

/** Makes a fresh ticket, without a round trip.

    @param sender  the own incarnation: together with it the nonces of two
                   senders differ, however their random numbers were seeded
    @param random  seeded from the machine for each ticket; one that can be
                   predicted would let a stranger revoke somebody's filing
*/
claim_ticket MintTicket(const claim_target& target, incarnation_id sender, random_source& random);

}  // namespace cuminferry
