#pragma once

#include <cstdint>
#include <string>

namespace cuminferry {

/** When a published item changed, comparable over all that a publisher ever told.

    A publisher counts its changes. One that has come back from an older copy has lost some of
    them and gives their numbers out again, so that its counter alone says nothing: an item
    changed at 23 may be older or newer than another one at 24. So the number of its returns
    goes before its counter.
*/
class item_revision {
 public:
  /** Bits of the counter: 35 years of a thousand changes a second. */
  static constexpr unsigned kCounterBits = 40;
  static constexpr std::uint64_t kMostCounter = (std::uint64_t{1} << kCounterBits) - 1;
  static constexpr std::uint64_t kMostReturns = (std::uint64_t{1} << (63 - kCounterBits)) - 1;

  /** @param returns  at most kMostReturns
      @param counter  at most kMostCounter */
  static constexpr std::uint64_t Make(std::uint64_t returns, std::uint64_t counter) {
    return returns << kCounterBits | counter;
  }
  static constexpr std::uint64_t ReturnsOf(std::uint64_t revision) {
    return revision >> kCounterBits;
  }
  static constexpr std::uint64_t CounterOf(std::uint64_t revision) {
    return revision & kMostCounter;
  }
  /** The counter, after a point where the publisher has returned: "2.104". */
  static std::string ToText(std::uint64_t revision);
};

}  // namespace cuminferry
