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

  kind event_kind = kind::kRanAtCrash;
  request_digest digest;
  /** @see RouteHashOf */
  std::uint64_t route_hash = 0;
  /** Identifies the backend server's crash; 0 for kCleared. */
  std::uint64_t crash_id = 0;
  /** Time since the observation, in microseconds. */
  std::int64_t age_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    auto code = static_cast<std::uint8_t>(event_kind);
    archive(code, digest, route_hash, crash_id, age_micros);
    event_kind = static_cast<kind>(code);
  }
};

}  // namespace cuminferry
