#include "relay/raw_server.h"

#include <string>
#include <utility>

namespace cuminferry::testing {

raw_server::raw_server(event_loop& loop, const endpoint& at, data_hook on_data)
    : on_data_(std::move(on_data)), timer_(loop) {
  listener_ = *tcp_listener::Listen(
      loop, at, std::chrono::seconds(3), [this](std::unique_ptr<tcp_connection> accepted) {
        ++accepted_;
        accepted->SetHooks({.on_data = [this](std::string_view bytes) { on_data_(*this, bytes); },
                            .on_end = [this](close_reason) { ++ended_; },
                            .on_writable = {},
                            .on_connected = {}});
        connections_.push_back(std::move(accepted));
      });
}

void raw_server::Send(std::string_view bytes) { connections_.back()->Write(bytes); }

void raw_server::SendAndReset(std::string_view bytes) {
  timer_.StartOnce(duration::zero(), [this, bytes = std::string(bytes)] {
    connections_.back()->Write(bytes);
    connections_.back()->ResetOnClose();
    connections_.pop_back();
  });
}

void raw_server::SendAndFinish(std::string_view bytes) {
  connections_.back()->Write(bytes);
  connections_.back()->FinishWriting();
}

}  // namespace cuminferry::testing
