#pragma once

#include <string>
#include <string_view>

#include "cuminferry_policy/claims/claim_ticket.h"

namespace cuminferry {

/** Text form of a ticket, used in headers and paths:
    "7f000001-1f91.0123456789abcdef.0000002a.00112233445566778899aabbccddeeff".
    The fields are address, port, incarnation, window and nonce in hexadecimal. */
class ticket_text {
 public:
  static constexpr std::size_t kLength = 72;

  static std::string Write(const claim_ticket& ticket);

  /** Parses the text that Write() produces. Returns false and leaves `result` unchanged for any
      other text, so that each ticket has exactly one text. */
  static bool Read(std::string_view text, claim_ticket& result);
};

}  // namespace cuminferry
