#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

struct http_header {
  std::string name;
  std::string value;
};

/** One HTTP request to one node. */
struct transport_request {
  endpoint to;
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  /** If true, the request is sent over a new connection. The node might have closed a connection
     that was used before, and the outcome of the request would then be unknown. */
  bool on_new_connection = false;
  /** Number of the attempt within its call, from 0. */
  std::uint32_t attempt = 0;
};

enum class transport_outcome : std::uint8_t {
  kAnswered,      ///< a complete answer was received
  kNotConnected,  ///< no connection was established, so nothing was sent
  kNoAnswer,      ///< the request may have been sent, but no complete answer was received
};

struct transport_answer {
  transport_outcome outcome = transport_outcome::kNotConnected;
  int http_status = 0;
  std::vector<http_header> headers;
  std::string body;

  /** Returns the first header with this name, ignoring case; empty if there is none. */
  std::string_view Header(std::string_view name) const;
};

/** Sends one request exactly once and waits for its outcome. Called concurrently from many
    threads. */
using transport = std::function<transport_answer(const transport_request&)>;

/** Returns a transport that uses cpp-httplib with keep-alive connections.
    @param max_answer_bytes  maximum size of an answer's body; a larger one counts as kNoAnswer */
transport MakeHttpTransport(std::size_t max_answer_bytes = 16 << 20);

}  // namespace cuminferry
