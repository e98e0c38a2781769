#pragma once

#include <string>
#include <string_view>

#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

/** The text form of a ticket, as it stands in headers and paths:
    "7f000001-1f91.0123456789abcdef.0000002a.00112233445566778899aabbccddeeff",
    which is address, port, incarnation, window and nonce. */
class ticket_text {
 public:
  static constexpr std::size_t kLength = 72;

  static std::string Write(const claim_ticket& ticket);

  /** Reads exactly what Write() writes; false for anything else, so that one
      ticket has one text. */
  static bool Read(std::string_view text, claim_ticket& into);
};

}  // namespace cuminferry
