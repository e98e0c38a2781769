#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cuminferry {

/** One row of the operators' table: a kind of request and what it may use. */
struct request_row {
  /** Unique name, as logs, metrics and refusals show it. */
  std::string name;
  /** The service whose backend servers answer it. */
  std::string service;
  /** HTTP method, upper case. */
  std::string method;
  /** "/permits/{id}": literal segments, "{name}" for one segment, a closing
      "**" for all that follows. */
  std::string path_pattern;
  /** How much it matters: 0 to 10,000; the higher, the later it is refused. */
  std::uint16_t weight = 0;
  /** Most requests of this row running at once over all targets; 0: no limit. */
  std::uint32_t fleet_limit = 0;
  /** Most requests of this row running at once at one target; 0: no limit. */
  std::uint32_t target_limit = 0;
  /** Time for the whole request, from its entry. */
  std::chrono::milliseconds deadline{1000};
  /** Whether running it twice does no harm. */
  bool idempotent = true;
  /** Attempts beyond the first in the whole tree of one request. */
  std::uint8_t retry_allowance = 1;
  /** Largest answer, in bytes. */
  std::uint32_t largest_answer = 1 << 20;

  friend bool operator==(const request_row&, const request_row&) = default;

  /** Whether a request of this method and path is of this row. */
  bool Matches(std::string_view request_method, std::string_view path) const;
};

}  // namespace cuminferry
