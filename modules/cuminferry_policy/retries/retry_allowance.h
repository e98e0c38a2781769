#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The retries left to one request's tree, as one node holds them.

    The row gives the allowance once, at the entry. A call out is lent part of
    it and returns what it did not use with its reply; what was lent with a lost
    reply stays lost. So the attempts of the whole tree never exceed the calls
    that backend servers asked for plus the row's allowance, at any depth.
*/
class retry_allowance {
 public:
  explicit retry_allowance(std::uint8_t granted) : granted_(granted), left_(granted) {}

  /** Takes one retry for an own further attempt; false where none is left. */
  bool TakeOne();

  /** Takes what the callee may use: all that is left where this is the only
      call outstanding, else half, so that children running side by side can
      each retry. */
  std::uint8_t Lend(std::uint32_t other_calls_outstanding);

  /** Takes back what a reply returned; never more than was lent, and never to
      more than was granted, so that a forged or doubled reply mints nothing. */
  void TakeBack(std::uint8_t lent, std::uint8_t returned);

  std::uint8_t left() const { return left_; }

 private:
  std::uint8_t granted_;
  std::uint8_t left_;
};

/** Bounds the share of retries among the calls of one path at one node, so that
    many requests with allowance left can't all retry into the same outage. */
class retry_ratio {
 public:
  /** Retries earned by each first attempt. */
  static constexpr double kEarnedPerCall = 0.1;
  /** Most retries saved up; also what a quiet path may use at once. */
  static constexpr double kLargestBalance = 10.0;

  /** A first attempt was made. */
  void OnFirstAttempt();
  /** Takes one retry; false where the ratio is spent. */
  bool TakeOne();

  double balance() const { return balance_; }

 private:
  double balance_ = kLargestBalance;
};

}  // namespace cuminferry
