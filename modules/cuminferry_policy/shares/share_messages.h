#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Requests part of a peer's share of a limit; the peer is in the same failure domain. The request
    number is never reused for another request. */
struct share_request {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
};

/** Lends part of a share, as a number of concurrent calls; a call count of 0 means that nothing is
    spare. The borrower counts the duration from the moment at which it sent its request. */
struct share_grant {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
  duration valid_for{0};
};

/** Returns a grant before it expires. */
struct share_return {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
};

/** A message and its recipient. */
template <typename Message>
struct addressed_message {
  endpoint to;
  Message message;
};

/** The messages that the owner of the shares has to send now. Any of them may be lost. */
struct share_actions {
  std::vector<addressed_message<share_request>> requests;
  std::vector<addressed_message<share_grant>> grants;
  std::vector<addressed_message<share_return>> returns;

  void Clear() {
    requests.clear();
    grants.clear();
    returns.clear();
  }
};

}  // namespace cuminferry
