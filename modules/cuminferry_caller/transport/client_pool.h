#pragma once

#include <httplib.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Kept-alive client connections to one endpoint, the last used first, so that
    the surplus of a surge idles and is closed. Safe to use from all threads. */
class client_pool {
 public:
  /** @param idle_bound most connections kept open between requests */
  explicit client_pool(endpoint to, std::size_t idle_bound = 64);

  /** A client that is not connected yet. Every timeout is `longest`. */
  std::unique_ptr<httplib::Client> Make(std::chrono::milliseconds longest) const;

  /** A client that may be connected already. Every timeout is `longest`. */
  std::unique_ptr<httplib::Client> Take(std::chrono::milliseconds longest);

  /** Gives a client back after a whole answer. Drop it after a failure. */
  void Return(std::unique_ptr<httplib::Client> client);

  /** Closes what is idle. */
  void Clear();

 private:
  const endpoint to_;
  const std::size_t idle_bound_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
};

}  // namespace cuminferry
