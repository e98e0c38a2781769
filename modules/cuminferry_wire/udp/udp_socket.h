#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <span>
#include <string>

#include "cuminferry_wire/frames/frame.h"

namespace cuminferry {

/** A UDP socket with a thread that receives datagrams. */
class udp_socket {
 public:
  /** Maximum size of a datagram that is sent; usual networks carry it without fragmentation. */
  static constexpr std::size_t kMaxDatagramBytes = 1400;

  /** Called on the socket's thread for each valid frame; must not block. */
  using datagram_hook =
      std::function<void(endpoint from, message_type, std::span<const char> payload)>;

  explicit udp_socket(datagram_hook on_datagram);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  /** Opens the port; with port 0 the system chooses a port and `at` is set to it. Fails with
      kAddressInUse. */
  absl::Status Open(endpoint& at);

  /** Sends one frame. If the network does not accept it, it is dropped without an error. */
  void Send(endpoint to, const std::string& frame);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
