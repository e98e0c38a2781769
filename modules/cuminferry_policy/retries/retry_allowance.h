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

/** Limits the ratio of retries to first attempts on one path at one node, so that many
    requests with allowance left cannot all retry into the same outage. */
class retry_ratio {
 public:
  /** Retries earned by each first attempt. */
  static constexpr double kEarnedPerCall = 0.1;
  /** Maximum number of retries saved up; also the initial balance, which an idle path may spend
      at once. */
  static constexpr double kMaxBalance = 10.0;

  /** Adds the retries earned by a first attempt to the balance. */
  void OnFirstAttempt();
  /** Takes one retry from the balance; returns false if the balance is below one retry. */
  bool TakeOne();

  double balance() const { return balance_; }

 private:
  double balance_ = kMaxBalance;
};

}  // namespace cuminferry
