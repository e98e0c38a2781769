#pragma once

#include <cstdint>
#include <string>

namespace cuminferry {

/** Revision of a change of a published item, comparable over the publisher's whole history.

    A publisher counts its changes. After a restore from an older copy the publisher has lost
    some changes and assigns their numbers again. Its counter alone is then not comparable: an
    item changed at 23 may be older or newer than another one changed at 24. A revision
    therefore consists of the number of restores, followed by the counter.
*/
class item_revision {
 public:
  /** Bits of the counter, enough for 35 years with a thousand changes per second. */
  static constexpr unsigned kCounterBits = 40;
  static constexpr std::uint64_t kMaxCounter = (std::uint64_t{1} << kCounterBits) - 1;
  static constexpr std::uint64_t kMaxRestores = (std::uint64_t{1} << (63 - kCounterBits)) - 1;

  /** Combines a revision of its parts.
      @param restores  at most kMaxRestores
      @param counter   at most kMaxCounter */
  static constexpr std::uint64_t Make(std::uint64_t restores, std::uint64_t counter) {
    return restores << kCounterBits | counter;
  }
  static constexpr std::uint64_t RestoresOf(std::uint64_t revision) {
    return revision >> kCounterBits;
  }
  static constexpr std::uint64_t CounterOf(std::uint64_t revision) {
    return revision & kMaxCounter;
  }
  /** Returns the counter as text, with the number of restores and a point before it where the
      publisher was restored: "2.104". */
  static std::string ToText(std::uint64_t revision);
};

}  // namespace cuminferry
