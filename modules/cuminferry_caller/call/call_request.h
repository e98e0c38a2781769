#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** One whole request of a caller. */
struct call_request {
  /** The entry service; the resolver turns it into addresses. */
  std::string service;
  std::string method = "GET";
  /** Path and query. */
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  /** Whether running it twice does no harm. False for a filing or a payment:
      then a doubtful attempt is asked about by its ticket, never sent again. */
  bool idempotent = true;
  /** Time for the whole call, its further attempts included. */
  std::chrono::milliseconds longest{5000};
  /** Time for one attempt; the rest of `longest` where that is shorter. */
  std::chrono::milliseconds longest_attempt{5000};
};

}  // namespace cuminferry
