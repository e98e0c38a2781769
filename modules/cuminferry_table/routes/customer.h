#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_table/routes/key_digest.h"

namespace cuminferry {

/** A customer, whose requests are identified by the API key that they carry. */
struct customer {
  std::string name;
  std::vector<key_digest> keys;
  /** Replaces the priority of the row. */
  std::optional<std::uint32_t> priority;
  /** Maximum rate in requests per second over all nodes; 0: no limit. */
  double rate = 0.0;
  /** Number of requests by which a burst may exceed the rate. */
  double burst = 0.0;

  bool is_limited() const { return rate > 0.0; }
  bool operator==(const customer&) const = default;
};

}  // namespace cuminferry
