#pragma once

#include <cstdint>

#include "cuminferry_policy/suspects/request_digest.h"

namespace cuminferry {

/** An observation about one request that nodes announce to each other. */
struct suspect_event {
  enum class kind : std::uint8_t {
    /** A backend server crashed while it ran the request, among others. */
    kRanAtCrash,
    /** As kRanAtCrash, but the request was a known suspect and was isolated from others. */
    kIsolatedAtCrash,
    /** As kRanAtCrash, and this request is identified as the one that crashes backend servers. */
    kIdentified,
    /** A backend server completed the request. */
    kCleared,
  };

  kind what = kind::kRanAtCrash;
  request_digest digest;
  /** @see PlaceOf */
  std::uint64_t place = 0;
  /** Identifies the backend server's crash; 0 for kCleared. */
  std::uint64_t end = 0;
  /** Time since the observation, in microseconds. */
  std::int64_t age_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    auto code = static_cast<std::uint8_t>(what);
    archive(code, digest, place, end, age_micros);
    what = static_cast<kind>(code);
  }
};

}  // namespace cuminferry
