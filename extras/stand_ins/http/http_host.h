#pragma once

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** One request, its body read to the end. */
struct incoming_request {
  const httplib::Request& head;
  /** The first kBodyKept bytes of the body; the rest is counted and dropped, so
      that an upload of hundreds of megabytes needs no memory. */
  std::string body;
  std::uint64_t body_bytes = 0;
  /** False where the other side broke off within the body. */
  bool whole = true;

  static constexpr std::size_t kBodyKept = 1 << 20;
};

/** An HTTP server over cpp-httplib that holds thousands of open connections.

    The library's own server wakes each idle connection a hundred times a second
    and listens with a backlog of 5; both show as latency and lost connects as
    soon as a surge opens hundreds of connections. Here an idle connection
    sleeps in poll(), each has a thread with a small stack, and the backlog is
    long enough for a surge.
*/
class http_host {
 public:
  using handler = std::function<void(const incoming_request&, httplib::Response&)>;

  struct options {
    std::string name = "http";
    /** Most open connections; one more is closed at once. */
    std::size_t connections = 1024;
    std::size_t stack_bytes = 256 * 1024;
    /** An idle connection is closed after this long. */
    std::chrono::milliseconds idle_limit{30'000};
  };

  explicit http_host(options chosen);
  /** As Stop(). */
  ~http_host();
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;

  //============================================================================
  /** Every request goes to this hook, on its connection's thread. */
  void SetHandler(handler chosen);

  /** Listens; port 0 takes a free one. */
  absl::Status Start(endpoint at);

  /** Closes the listening socket and all connections and joins the threads. */
  void Stop();

  //============================================================================
  /** Where it listens. */
  endpoint at() const;
  std::size_t open_connections() const;

  /** Waits on the calling handler's own connection: true when the other side
      has closed it, false when `longest` has passed. Inside a handler only. */
  static bool WaitForClose(duration longest);

 private:
  class server;
  std::unique_ptr<server> server_;
};

}  // namespace cuminferry::stand_ins
