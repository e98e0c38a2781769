#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

/** Why a connection ended. */
enum class connection_end : std::uint8_t {
  /** The other side closed in order. */
  kClosed,
  /** Reset, timed out, or the other side's host does not answer. */
  kBroken,
  /** It never came about: nothing was sent. */
  kNotConnected,
};

/** One TCP connection of a loop.

    What is written within one turn of the loop goes out together at its end: a
    head and its body in one packet, for one wake-up at the other side. Writes never
    block: what the kernel does not take is kept and counted in unsent(), and OnDrained tells when
   little of it is left, so that a relay stops reading from a fast side while the other is slow.

    The hooks are set by the one owner. A hook may destroy the connection.
*/
class tcp_connection {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_data;
    std::function<void(connection_end)> on_end;
    /** Less than kLowWater is unsent again. */
    std::function<void()> on_drained;
    /** An outgoing connection was established. */
    std::function<void()> on_connected;
  };

  /** Above this many unsent bytes the producer should pause: a slow reader
      may hold this much of a node's memory, not a whole answer. */
  static constexpr std::size_t kHighWater = 64 * 1024;
  static constexpr std::size_t kLowWater = 16 * 1024;

  /** Starts to connect. A peer that does not acknowledge data or keep-alive
      probes for `silence_limit` ends the connection: connections can go silent
      without a reset while new ones work. */
  static std::unique_ptr<tcp_connection> Connect(event_loop& loop, const endpoint& to,
                                                 duration connect_limit, duration silence_limit,
                                                 hooks hooks);

  ~tcp_connection();
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;

  //============================================================================
  void SetHooks(hooks hooks);
  void Write(std::string_view bytes);
  /** Sends what is unsent, then ends the sending direction. */
  void FinishWriting();
  void PauseReading();
  void ResumeReading();
  /** Makes Close() reset, so that a receiver can't take an unfinished message
      that ends with its connection for a whole one. */
  void ResetOnClose();

  //============================================================================
  std::size_t unsent() const;
  bool connected() const;

 private:
  friend class tcp_listener;
  struct state;
  explicit tcp_connection(state* state) : state_(state) {}

  state* state_;
};

/** Accepts connections at one address. */
class tcp_listener {
 public:
  using accept_hook = std::function<void(std::unique_ptr<tcp_connection>)>;

  /** kAddressInUse where the address can't be had. */
  static absl::StatusOr<std::unique_ptr<tcp_listener>> Listen(event_loop& loop, const endpoint& at,
                                                              duration silence_limit,
                                                              accept_hook on_accept);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /** The address in use; tells the port that was chosen for port 0. */
  endpoint at() const;

 private:
  struct state;
  explicit tcp_listener(state* state) : state_(state) {}

  state* state_;
};

}  // namespace cuminferry
