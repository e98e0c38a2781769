#pragma once

#include <cstddef>

#include "cuminferry_core/time/boot_clock.h"

namespace cuminferry {

/** The largest value that a count has had for some time.

    Guards against shares of a bound that grow when a list loses entries: a store that forgets, a
   cut or a restart hides nodes that go on using theirs. A share that is divided by the largest
   count of the last minutes grows only once the others are really gone.
*/
class recent_maximum {
 public:
  /** For at least this long, and at most twice as long, an earlier value counts. */
  static constexpr duration kMemory = std::chrono::seconds(60);

  /** The count has this value from now on. */
  void Set(std::size_t value, instant now);
  /** Another source had this value for the count; it counts as an earlier one. */
  void Add(std::size_t value, instant now);
  /** 0 until Set() or Add(). */
  std::size_t ValueAt(instant now);

 private:
  void Advance(instant now);

  std::size_t value_ = 0;
  std::size_t newer_maximum_ = 0;
  std::size_t older_maximum_ = 0;
  instant newer_began_{};
};

}  // namespace cuminferry
