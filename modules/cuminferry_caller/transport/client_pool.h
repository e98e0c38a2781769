#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_http/cuminferry_http.h"

namespace cuminferry {

/** Keep-alive client connections to one endpoint. The most recently used connection is reused
   first, so that connections opened in a surge become idle and are closed. Thread-safe. */
class client_pool {
 public:
  /** @param idle_bound maximum number of connections that stay open between requests */
  explicit client_pool(endpoint to, std::size_t idle_bound = 64);

  /** Returns a client that is not connected yet. `timeout` sets each of its timeouts. */
  std::unique_ptr<checked_http_client> Make(std::chrono::milliseconds timeout) const;

  /** Returns a client that may be connected already. `timeout` sets each of its timeouts. */
  std::unique_ptr<checked_http_client> Take(std::chrono::milliseconds timeout);

  /** Returns a client to the pool after a complete answer. After a failure, destroy the client
      instead. */
  void Return(std::unique_ptr<checked_http_client> client);

  /** Closes all idle connections. */
  void Clear();

 private:
  const endpoint to_;
  const std::size_t idle_bound_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<checked_http_client>> idle_;
};

}  // namespace cuminferry
