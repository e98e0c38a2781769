#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Whether a request may be repeated, that is, sent to a backend server once more. */
enum class repeat_rule : std::uint8_t {
  kIdempotent,
  /** Each request of a client runs at most once. */
  kOnce,
  /** As kOnce, for bodies that may be too large to buffer in memory. */
  kUpload,
};

/** One of the services to which a row sends its requests. */
struct weighted_service {
  std::string service;
  /** The service's fraction of the row's requests is its weight divided by the sum of the weights.
   */
  double weight = 1.0;

  bool operator==(const weighted_service&) const = default;
};

/** A row of the table that matches requests by host and path prefix. */
struct http_route {
  std::string name;
  /** Lower case, without port. */
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  repeat_rule repeat = repeat_rule::kOnce;
  /** Maximum number of targets to which one request may be sent. */
  std::uint32_t attempts = 1;
  /** Maximum time until a client gets an answer. */
  duration timeout{};
  /** An answer within this time has its full value for the client. */
  duration objective{};
  /** Requests of priority 0 are refused last. */
  std::uint32_t priority = 0;
  std::vector<weighted_service> services;
  /** Whether requests without a customer's key are accepted where the table has customers. */
  bool accepts_requests_without_key = false;

  bool operator==(const http_route&) const = default;
};

}  // namespace cuminferry
