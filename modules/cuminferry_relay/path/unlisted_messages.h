#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry {

/** An instance in the reply to a query for those that a node retains although they are not listed.
    @see kUnlistedPath, unlisted_instance */
struct unlisted_entry {
  std::string id;
  std::int64_t started_millis = 0;
  std::string service;
  /** Address of the backend server, as text. */
  std::string backend;
  std::string failure_domain;
  std::uint32_t slots = 1;
  std::int64_t warm_up_micros = 0;
  std::uint64_t created = 0;
  std::uint64_t revision = 0;
  /** Time for which it has not been listed, in microseconds. */
  std::int64_t unlisted_micros = 0;

  static unlisted_entry Of(const unlisted_instance& found);
  /** Returns nothing if the address can't be read. */
  std::optional<unlisted_instance> ToInstance() const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, started_millis, service, backend, failure_domain, slots, warm_up_micros, created,
            revision, unlisted_micros);
  }
};

}  // namespace cuminferry
