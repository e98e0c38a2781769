#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cuminferry {

/** One row of the operators' table: a kind of request with its weight and limits. */
struct request_row {
  /** Unique in the table; appears in logs, metrics and refusals. */
  std::string name;
  /** The service whose backend servers answer the requests. */
  std::string service;
  /** HTTP method, upper case. */
  std::string method;
  /** A pattern such as "/permits/{id}": literal segments, "{name}" for any one segment, a closing
      "**" for any number of further segments. */
  std::string path_pattern;
  /** Importance, 0 to 10,000: requests of a higher weight are refused later under overload. */
  std::uint16_t weight = 0;
  /** Maximum number of requests of this row that run concurrently on all targets; 0: no limit. */
  std::uint32_t fleet_limit = 0;
  /** Maximum number of requests of this row that run concurrently on one target; 0: no limit. */
  std::uint32_t target_limit = 0;
  /** Time for the whole request, from its arrival at the ingress node. */
  std::chrono::milliseconds deadline{1000};
  /** Whether running a request twice does no harm. */
  bool idempotent = true;
  /** Maximum number of attempts beyond the first in the whole call tree of one request. */
  std::uint8_t retry_allowance = 1;
  /** Maximum size of an answer in bytes. */
  std::uint32_t max_answer_bytes = 1 << 20;

  friend bool operator==(const request_row&, const request_row&) = default;

  /** Whether a request with this method and path matches the row. */
  bool Matches(std::string_view request_method, std::string_view path) const;
};

}  // namespace cuminferry
