#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

claim_ticket MintTicket(const claim_target& target, incarnation_id sender, random_source& random) {
  claim_ticket made;
  made.home = target.home;
  made.id.incarnation = target.incarnation;
  made.id.window = target.window;
  made.id.nonce_high = random.Next() ^ sender;
  made.id.nonce_low = random.Next();
  return made;
}

}  // namespace cuminferry
