#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "cuminferry_wire/frames/frame.h"

namespace cuminferry {

/** Names one connection of a hub; never used again for another one. */
using connection_id = std::uint64_t;

/** All TCP connections of a process, served by one thread with epoll.

    Connections carry frames of many calls at once. Writing is done by any
    thread and never blocks: what the socket does not take is kept in a bounded
    send queue, and a connection whose queue overflows is closed, as its peer
    has stopped reading.
*/
class tcp_hub {
 public:
  /** What the owner wants to be told. Called on the hub's thread; must not block. */
  struct hooks {
    /** A peer connected (accepted) or our own connect succeeded. */
    std::function<void(connection_id, bool accepted)> on_open;
    std::function<void(connection_id, message_type, std::span<const char> payload)> on_message;
    /** The connection is gone; nothing more will come of it. Also told for a
        connect that failed: with kTargetUnreachable where nothing listens there. */
    std::function<void(connection_id, const absl::Status& why)> on_closed;
  };

  struct options {
    /** Most connections at once; further ones are closed on arrival. */
    std::size_t connection_bound = 4096;
    /** Most bytes waiting to be sent on one connection. */
    std::size_t send_queue_bound = 32 << 20;
    std::size_t stack_bytes = 256 * 1024;
  };

  tcp_hub(hooks chosen_hooks, options chosen);
  /** Closes all connections and ends the thread. */
  ~tcp_hub();
  tcp_hub(const tcp_hub&) = delete;
  tcp_hub& operator=(const tcp_hub&) = delete;

  //============================================================================
  /** Listens; port 0 takes a free one, which `at` then names. */
  absl::Status Listen(endpoint& at);

  /** Begins to connect. on_open or on_closed tells how it went. */
  connection_id Connect(endpoint to);

  /** Queues a frame. False where the connection is gone or its queue is full;
      the frame was then not sent. True does not mean that it arrived. */
  bool Send(connection_id connection, std::string frame);

  template <typename Message>
  bool SendMessage(connection_id connection, const Message& message) {
    return Send(connection, FrameOf(message));
  }

  /** Closes one connection; on_closed is called. */
  void Close(connection_id connection);

  /** Ends the thread: no hook runs after this, and nothing arrives any more. */
  void Stop();

  //============================================================================
  std::size_t connections() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
