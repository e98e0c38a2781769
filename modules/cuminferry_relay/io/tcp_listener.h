#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** Accepts TCP connections at one address. */
class tcp_listener {
 public:
  using accept_hook = std::function<void(std::unique_ptr<tcp_connection>)>;

  /** Starts to listen. Fails with kAddressInUse if the address cannot be bound.
      @see tcp_connection::Connect for silence_timeout */
  static absl::StatusOr<std::unique_ptr<tcp_listener>> Listen(event_loop& loop, const endpoint& at,
                                                              duration silence_timeout,
                                                              accept_hook on_accept);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /** The address in use, with the assigned port if port 0 was requested. */
  endpoint address() const;

 private:
  struct state;
  explicit tcp_listener(state* state) : state_(state) {}

  state* state_;
};

}  // namespace cuminferry
