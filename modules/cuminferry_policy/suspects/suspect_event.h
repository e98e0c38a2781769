#pragma once

#include <cstdint>

#include "cuminferry_policy/suspects/request_digest.h"

namespace cuminferry {

/** What a node found out of one request, as nodes tell it each other. */
struct suspect_event {
  enum class kind : std::uint8_t {
    /** A backend server ended while it ran the request, among others. */
    kEnded,
    /** The same, and it was known as a suspect and ran apart from others. */
    kEndedApart,
    /** The same, and it is this request that ends backend servers. */
    kFoundOut,
    /** A backend server ran it to a good end. */
    kCleared,
  };

  kind what = kind::kEnded;
  request_digest digest;
  /** @see PlaceOf */
  std::uint64_t place = 0;
  /** Of the end of the backend server; 0 of a clearing. */
  std::uint64_t end = 0;
  /** Since it came about. */
  std::int64_t age_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    auto code = static_cast<std::uint8_t>(what);
    archive(code, digest, place, end, age_micros);
    what = static_cast<kind>(code);
  }
};

}  // namespace cuminferry
