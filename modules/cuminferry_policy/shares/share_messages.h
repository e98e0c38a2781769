#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Asks a peer of the same failure domain for part of its share of a limit. The number is never
    reused for another request. */
struct share_request {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
};

/** Lends part of a share; an amount of 0 means that nothing is spare. The borrower counts the
    duration from the moment at which it sent its request. */
struct share_grant {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
  duration lasts{0};
};

/** Returns a grant before it expires. */
struct share_return {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
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
