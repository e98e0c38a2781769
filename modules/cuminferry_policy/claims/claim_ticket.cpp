#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

claim_ticket MintTicket(const claim_target& target, incarnation_id sender, random_source& random) {
  claim_ticket ticket;
  ticket.home = target.home;
  ticket.id.incarnation = target.incarnation;
  ticket.id.window = target.window;
  ticket.id.nonce_high = random.Next() ^ sender;
  ticket.id.nonce_low = random.Next();
  return ticket;
}

}  // namespace cuminferry
