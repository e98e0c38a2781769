#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** One request of a caller. */
struct call_request {
  /** The service that the caller calls; the resolver maps it to addresses of nodes. */
  std::string service;
  std::string method = "GET";
  /** Path and query. */
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /** True if the request may safely run twice. If false, as for a filing or a payment, an attempt
      with an unknown outcome is queried by its ticket and never sent again. */
  bool idempotent = true;
  /** Timeout of the whole call, including all attempts. */
  std::chrono::milliseconds timeout{5000};
  /** Timeout of one attempt; limited by the rest of the call's timeout. */
  std::chrono::milliseconds attempt_timeout{5000};
};

}  // namespace cuminferry
