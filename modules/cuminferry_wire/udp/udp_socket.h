#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <span>
#include <string>

#include "cuminferry_wire/frames/frame.h"

namespace cuminferry {

/** One UDP port with a thread that reads it. */
class udp_socket {
 public:
  /** Largest datagram that is sent; fits a usual path without fragments. */
  static constexpr std::size_t kLargestDatagram = 1400;

  /** Called on the socket's thread for each whole frame; must not block. */
  using datagram_hook =
      std::function<void(endpoint from, message_type, std::span<const char> payload)>;

  explicit udp_socket(datagram_hook on_datagram);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  /** Opens the port; 0 takes a free one, which `at` then names. */
  absl::Status Open(endpoint& at);

  /** Sends one frame; lost silently where the network will not take it. */
  void Send(endpoint to, const std::string& frame);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
