#pragma once

#include <algorithm>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** For how long an instance is retained after its item was removed. Zero: it isn't. */
struct unlisted_retention {
  /** Time without confirmation. A query takes a round trip and is sent within half a second; the
      rest is for one that is lost. */
  static constexpr duration kUnconfirmedTime = std::chrono::seconds(1);
  /** Largest part of the drain time for which an instance is retained without confirmation. A
      backend server that leaves may answer no query, and must get no more requests in time. */
  static constexpr double kMaxUnconfirmedShare = 0.4;
  /** Time after a confirmation: a few lost queries in a row drop no instance that serves. */
  static constexpr duration kConfirmedTime = std::chrono::seconds(4);

  duration unconfirmed{};
  duration confirmed{};

  constexpr bool is_on() const { return unconfirmed > duration::zero(); }

  /** Returns the retention for the time within which a backend server that leaves must get no more
      requests; none for zero. */
  static constexpr unlisted_retention ForDrainTime(duration drain) {
    if (drain <= duration::zero()) {
      return {};
    }
    const auto share = static_cast<double>(drain.count()) * kMaxUnconfirmedShare;
    return {.unconfirmed = std::min(kUnconfirmedTime, duration(static_cast<duration::rep>(share))),
            .confirmed = kConfirmedTime};
  }
};

}  // namespace cuminferry
