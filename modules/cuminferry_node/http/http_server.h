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
  /** Descriptor of the caller's connection, used to detect that the caller disconnects. */
  int descriptor = -1;
  bool has_body = false;
  /** Passes the body to the sink, part by part, until the sink returns false. Returns false if the
      body was not received completely. */
  std::function<bool(const std::function<bool(std::string_view part)>& sink)> read_body;

  /** The value of a header, or nullopt if it is absent. Case of the name is ignored. */
  std::optional<std::string_view> Header(std::string_view name) const;
};

/** The handler's answer to a request. */
struct http_response {
  int status = 200;
  std::vector<header_field> headers;
  std::string content_type = "text/plain";
  std::string body;
  /** Whether to close the connection, as part of the request was not read. */
  bool close = false;
};

/** cpp-httplib's server, adapted to many connections: it has a bounded pool of threads with small
    stacks and a long accept queue, uses poll() instead of select(), and gives the handler the
    descriptor of the caller's connection. */
class http_server {
 public:
  using handler = std::function<void(const http_request&, http_response&)>;

  struct options {
    std::string name = "http";
    /** Number of threads. Each serves one connection at a time, from accept to close. */
    std::size_t threads = 1100;
    std::size_t stack_bytes = 192 * 1024;
    std::chrono::seconds idle_timeout{60};
    /** The server closes a connection that sends nothing for this long within a request. */
    std::chrono::seconds read_timeout{15};
  };

  http_server(options server_options, handler on_request);
  /** Calls Stop(). */
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  //============================================================================
  /** Listens and serves on threads of its own. Port 0 selects a free port, which is stored in
      `address`. Returns kAddressInUse if the server can't listen. */
  absl::Status Start(endpoint& address);

  /** Accepts no new connections, closes idle ones, and returns after the running requests are
      answered. */
  void Stop();

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
