#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cuminferry_fleet/replica/service_instance.h"

namespace cuminferry {

/** An instance that counts although the platform doesn't list it. @see instance_list */
struct unlisted_instance {
  service_instance instance;
  /** Time since it was first not listed. */
  duration unlisted_for{};
  /** When its node last confirmed that it serves. */
  std::optional<instant> confirmed_at;
};

enum class retention_event_kind : std::uint8_t {
  /** Its item was removed, and it is retained. */
  kRetained,
  /** Dropped, as its node did not confirm in time that it serves. */
  kNotConfirmed,
  /** Dropped, as another instance is listed at its address. */
  kReplaced,
};

/** Retention of an unlisted instance began or ended. */
struct retention_event {
  std::string id;
  std::string service;
  retention_event_kind kind = retention_event_kind::kRetained;
};

}  // namespace cuminferry
