#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The retries that remain for one request's call tree, as one node holds them.

    The row grants the allowance once, at the ingress node. Each outgoing call is lent a
    part of it, and the reply returns what the call did not use; what was lent with a reply
    that gets lost is not recovered. The attempts of the whole tree therefore never exceed
    the calls that backend servers made plus the row's allowance, at any depth.
*/
class retry_allowance {
 public:
  explicit retry_allowance(std::uint8_t granted) : granted_(granted), left_(granted) {}

  /** Takes one retry for a further attempt by this node; returns false if none is left. */
  bool TakeOne();

  /** Takes and returns the retries that a callee may use: all that are left if no other call
      is outstanding, otherwise half, so that concurrent calls can each retry. */
  std::uint8_t Lend(std::uint32_t other_calls_outstanding);

  /** Takes back the retries that a reply returned: at most what was lent, and the total never
      exceeds what was granted, so that a forged or duplicated reply adds no retries. */
  void TakeBack(std::uint8_t lent, std::uint8_t returned);

  std::uint8_t left() const { return left_; }

 private:
  std::uint8_t granted_;
  std::uint8_t left_;
};

}  // namespace cuminferry
