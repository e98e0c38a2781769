#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_relay/cuminferry_relay.h"

namespace cuminferry::testing {

/** A server that sends a test's bytes as they are, and closes or resets its connections when told
    to. Bytes and end leave in one step, so that the other side finds both when it next looks. */
class raw_server {
 public:
  using data_hook = std::function<void(raw_server& server, std::string_view bytes)>;

  /** @param on_data  called with the bytes received on the latest connection */
  raw_server(event_loop& loop, const endpoint& at, data_hook on_data);

  /** Sends bytes on the latest connection in the next iteration of the loop. */
  void Send(std::string_view bytes);
  /** Sends bytes on the latest connection and resets it, before the loop reads again. */
  void SendAndReset(std::string_view bytes);
  /** Sends bytes on the latest connection, ends its sending direction in order, and reads on. */
  void SendAndFinish(std::string_view bytes);

  endpoint address() const { return listener_->address(); }
  /** The number of connections accepted. */
  int accepted() const { return accepted_; }
  /** The number of connections that the other side has closed or reset. */
  int ended() const { return ended_; }

 private:
  data_hook on_data_;
  int accepted_ = 0;
  int ended_ = 0;
  std::vector<std::unique_ptr<tcp_connection>> connections_;
  std::unique_ptr<tcp_listener> listener_;
  loop_timer timer_;
};

}  // namespace cuminferry::testing
