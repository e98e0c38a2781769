#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

/** Why a connection was closed. */
enum class close_reason : std::uint8_t {
  /** The peer closed the connection in an orderly way, and no error was met before, neither by a
      read nor by a write. */
  kClosed,
  /** The connection was reset or timed out, or the peer's host does not answer. */
  kConnectionLost,
  /** The connection could not be established, so nothing was sent. */
  kNotConnected,
};

/** A TCP connection of an event loop.

    Bytes that are written within one iteration of the loop are sent together at its end. A head
    and its body thus share a packet and cause one wake-up at the peer. Writes never block: bytes
    that the kernel does not accept are buffered and counted in unsent_bytes(). on_writable is
    called when few of them are left, so that a relay can stop reading from a fast peer while the
    other peer is slow.

    Only the owner of the connection sets its hooks. A hook may destroy the connection.
*/
class tcp_connection {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_data;
    std::function<void(close_reason)> on_end;
    /** Called when the number of unsent bytes has fallen to kLowWater or less. */
    std::function<void()> on_writable;
    /** Called when an outgoing connection is established. */
    std::function<void()> on_connected;
  };

  /** The number of unsent bytes above which the producer should pause. This bounds the memory of a
      node that a slow reader occupies, which would otherwise be as large as a whole answer. */
  static constexpr std::size_t kHighWater = 64 * 1024;
  /** The number of unsent bytes at or below which the producer may continue. */
  static constexpr std::size_t kLowWater = 16 * 1024;

  /** Starts to connect to an IPv4 address.
      @param connect_timeout  maximum time to establish the connection
      @param silence_timeout  maximum time without an acknowledgement of sent data or keep-alive
                              probes before the connection is closed as kConnectionLost. A
                              connection can stop working without a reset while new connections to
                              the same peer work. Zero disables this check. */
  static std::unique_ptr<tcp_connection> Connect(event_loop& loop, const endpoint& to,
                                                 duration connect_timeout, duration silence_timeout,
                                                 hooks hooks);

  ~tcp_connection();
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;

  //============================================================================
  void SetHooks(hooks hooks);
  void Write(std::string_view bytes);
  /** Closes the sending direction after all unsent bytes have been sent. */
  void FinishWriting();
  void PauseReading();
  void ResumeReading();
  /** Makes the destructor reset the connection. Otherwise the peer could take an incomplete message
      whose body is delimited by the close of the connection for a complete one. */
  void ResetOnClose();
  /** Makes the kernel reset the connection if it is closed, by the destructor or by the end of the
      process, before FinishWriting() has sent all bytes. Without this, the kernel closes a killed
      process's connections in order. */
  void ResetUnlessFinished();

  //============================================================================
  /** The number of bytes written that the kernel has not accepted yet. */
  std::size_t unsent_bytes() const;
  bool connected() const;
  /** Whether the peer has closed the connection, even if reading is paused and bytes before the
     close have not been read. Costs a system call. */
  bool IsClosedByPeer() const;

 private:
  friend class tcp_listener;
  struct state;
  /** Takes the connection that waits at a listening handle and starts to read from it; nullptr if
      there is none. */
  static std::unique_ptr<tcp_connection> Accept(event_loop& loop, uv_stream_t* listening,
                                                duration silence_timeout);
  explicit tcp_connection(state* state) : state_(state) {}

  state* state_;
};

}  // namespace cuminferry
