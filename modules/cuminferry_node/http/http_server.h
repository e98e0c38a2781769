#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** One HTTP request while its handler runs. */
struct http_request {
  std::string method;
  /** Path and query, as sent. */
  std::string target;
  std::vector<header_field> headers;
  /** The caller's connection, for noticing that the caller has gone. */
  int descriptor = -1;
  bool has_body = false;
  /** Reads the body, part by part, into the sink until it returns false; false
      where the body did not arrive whole. */
  std::function<bool(const std::function<bool(std::string_view part)>& sink)> read_body;

  /** The value of a header, names compared without case; nullopt where absent. */
  std::optional<std::string_view> Header(std::string_view name) const;
};

/** What the handler answers. */
struct http_response {
  int status = 200;
  std::vector<header_field> headers;
  std::string content_type = "text/plain";
  std::string body;
  /** The connection can't be used again, as part of the request was not read. */
  bool close = false;
};

/** cpp-httplib's server, made fit for many connections: a bounded pool of
    threads with small stacks, a long accept queue, poll() in place of
    select(), and the descriptor of the caller's connection for the handler. */
class http_server {
 public:
  using handler = std::function<void(const http_request&, http_response&)>;

  struct options {
    std::string name = "http";
    /** One thread serves one connection, from accept to close. */
    std::size_t threads = 1100;
    std::size_t stack_bytes = 192 * 1024;
    std::chrono::seconds idle_timeout{60};
    /** A caller that is silent in the middle of a request for this long is cut off. */
    std::chrono::seconds read_timeout{15};
  };

  http_server(options chosen, handler on_request);
  /** Stops. */
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  //============================================================================
  /** Listens and serves on own threads; port 0 takes a free one, which `at` then names. */
  absl::Status Start(endpoint& at);

  /** Takes no new connections; connections that are idle are closed, requests
      being served are finished. Returns when all have ended. */
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
