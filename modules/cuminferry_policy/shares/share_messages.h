#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Asks a peer of the same failure domain for part of its share of a limit.
    The number is never used for another request. */
struct share_request {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
};

/** Lends part of a share; 0: nothing to spare. The borrower counts the time
    from the moment at which it sent its request. */
struct share_grant {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
  duration lasts{0};
};

/** Gives back a grant before its time. */
struct share_return {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
};

/** A message and the peer that it is for. */
template <typename Message>
struct addressed {
  endpoint to;
  Message message;
};

/** What the owner of the shares is to send now. Any of it may be lost. */
struct share_actions {
  std::vector<addressed<share_request>> requests;
  std::vector<addressed<share_grant>> grants;
  std::vector<addressed<share_return>> returns;

  void Clear() {
    requests.clear();
    grants.clear();
    returns.clear();
  }
};

}  // namespace cuminferry
