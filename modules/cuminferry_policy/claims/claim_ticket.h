#pragma once

#include <compare>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/claims/claim_registry.h"

namespace cuminferry {

/** Binds a non-idempotent call to one instance (its home instance), to one incarnation of
    that instance and to one of its claim windows. Whoever holds the ticket can query and revoke
    the call, so the nonce must be unpredictable. */
struct claim_ticket {
  endpoint home;
  claim_id id;

  auto operator<=>(const claim_ticket&) const = default;
};

/** An instance that a sender may bind a call to, as described by the latest message from that
    instance. */
struct claim_target {
  endpoint home;
  incarnation_id incarnation = 0;
  std::uint32_t window = 0;
};

/** Creates a new ticket without a round trip to its home instance.

    @param sender  incarnation of the sending node; it makes the nonces of two senders differ
                   even if their random sources have the same seed
    @param random  random source that is seeded from the operating system for each ticket; if
                   it were predictable, a third party could revoke the call
*/
claim_ticket MintTicket(const claim_target& target, incarnation_id sender, random_source& random);

}  // namespace cuminferry
