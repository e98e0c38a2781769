#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "cuminferry_wire/frames/frame.h"

namespace cuminferry {

/** Identifies one connection of a hub. Identifiers are not reused. */
using connection_id = std::uint64_t;

/** All TCP connections of a process, served by one thread with epoll.

    A connection carries frames of many concurrent calls. Any thread may send, and sending never
    blocks: bytes that the socket does not accept wait in a bounded send queue. A connection whose
    queue overflows is closed, because its peer has stopped reading.
*/
class tcp_hub {
 public:
  /** Callbacks of the owner. The hub's thread calls them; they must not block. */
  struct hooks {
    /** Called when a peer connected (accepted is true) or a Connect() succeeded. */
    std::function<void(connection_id, bool accepted)> on_open;
    std::function<void(connection_id, message_type, std::span<const char> payload)> on_message;
    /** Called when a connection was closed, as the last callback for it, and when a Connect()
        failed: with kTargetUnreachable if nothing listens at the address. */
    std::function<void(connection_id, const absl::Status& why)> on_closed;
  };

  struct options {
    /** Maximum number of open connections; further ones are closed when accepted. */
    std::size_t max_connections = 4096;
    /** Maximum number of bytes in the send queue of one connection. */
    std::size_t max_send_queue_bytes = 32 << 20;
    std::size_t stack_bytes = 256 * 1024;
  };

  tcp_hub(hooks owner_hooks, options chosen_options);
  /** Stops the thread and closes all connections. */
  ~tcp_hub();
  tcp_hub(const tcp_hub&) = delete;
  tcp_hub& operator=(const tcp_hub&) = delete;

  //============================================================================
  /** Listens at an address; with port 0 the system chooses a port and `at` is set to it. Fails with
      kAddressInUse. */
  absl::Status Listen(endpoint& at);

  /** Starts to connect. on_open or on_closed reports the result. */
  connection_id Connect(endpoint to);

  /** Queues a frame. Returns false if the connection is closed or its queue is full; the frame is
      then not sent. True does not mean that the frame arrived. */
  bool Send(connection_id connection, std::string frame);

  template <typename Message>
  bool SendMessage(connection_id connection, const Message& message) {
    return Send(connection, FrameOf(message));
  }

  /** Closes one connection; on_closed is called for it. */
  void Close(connection_id connection);

  /** Stops the thread. No callback is called after this function returns. */
  void Stop();

  //============================================================================
  std::size_t connections() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
