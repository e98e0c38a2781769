#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** For how long an instance is retained after its item was removed. Zero: it isn't. */
struct unlisted_retention {
  /** Time without confirmation, and after one. The node beside a backend server that leaves refuses
      requests itself, so an instance that is retained too long costs a caller one more hop. With
     one second, an instance that serves was dropped after a single lost query or false health
     answer. */
  static constexpr duration kTime = std::chrono::seconds(4);

  duration unconfirmed{};
  duration confirmed{};

  constexpr bool is_on() const { return unconfirmed > duration::zero(); }

  /** Returns the retention where the time is known within which a backend server that leaves must
      get no more requests; none for zero. */
  static constexpr unlisted_retention ForDrainTime(duration drain) {
    return drain <= duration::zero() ? unlisted_retention{}
                                     : unlisted_retention{.unconfirmed = kTime, .confirmed = kTime};
  }
};

}  // namespace cuminferry
