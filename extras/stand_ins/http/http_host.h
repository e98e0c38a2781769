#pragma once

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** One request, received up to the end of its body. */
struct incoming_request {
  const httplib::Request& head;
  /** The first kMaxStoredBodyBytes bytes of the body. The rest is counted and discarded, so
      that an upload of hundreds of megabytes needs no memory. */
  std::string body;
  std::uint64_t body_bytes = 0;
  /** False if the connection ended within the body. */
  bool is_complete = true;

  static constexpr std::size_t kMaxStoredBodyBytes = 1 << 20;
};

/** An HTTP server based on cpp-httplib that supports thousands of open connections.

    The library's own server wakes each idle connection a hundred times a second
    and listens with a backlog of 5. Both cause latency and lost connection
    attempts when hundreds of connections are opened in a burst. Here an idle
    connection sleeps in poll(), each connection has a thread with a small stack,
    and the backlog is 1024.
*/
class http_host {
 public:
  using handler = std::function<void(const incoming_request&, httplib::Response&)>;

  struct options {
    std::string name = "http";
    /** Maximum number of open connections; further ones are closed immediately. */
    std::size_t max_connections = 1024;
    std::size_t stack_bytes = 256 * 1024;
    /** An idle connection is closed after this long. */
    std::chrono::milliseconds idle_timeout{30'000};
  };

  explicit http_host(options chosen);
  /** Calls Stop(). */
  ~http_host();
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;

  //============================================================================
  /** Sets the handler of all requests; it is called on the thread of the connection. */
  void SetHandler(handler chosen);

  /** Starts to listen; port 0 selects a free port. */
  absl::Status Start(endpoint at);

  /** Closes the listening socket and all connections and joins the threads. */
  void Stop();

  //============================================================================
  /** The address at which the server listens. */
  endpoint address() const;
  std::size_t open_connections() const;

  /** Waits on the connection of the calling handler. Returns true when the client
      has closed it, false when `timeout` has passed. May be called only inside a handler. */
  static bool WaitForClose(duration timeout);

 private:
  class server;
  std::unique_ptr<server> server_;
};

}  // namespace cuminferry::stand_ins
