#include "cuminferry_relay/io/tcp_listener.h"

#include <string>
#include <utility>

#include "cuminferry_relay/io/socket_options.h"

namespace cuminferry {
namespace {

// Maximum number of connections that wait to be accepted. If the queue is full, the kernel drops
// the SYN packet, and the client retries only after one second.
constexpr int kBacklog = 1024;

}  // namespace

struct tcp_listener::state {
  uv_tcp_t handle{};
  event_loop* loop = nullptr;
  duration silence_timeout{};
  accept_hook on_accept;

  void Accept() {
    auto connection =
        tcp_connection::Accept(*loop, reinterpret_cast<uv_stream_t*>(&handle), silence_timeout);
    if (connection) {
      on_accept(std::move(connection));
    }
  }
};

absl::StatusOr<std::unique_ptr<tcp_listener>> tcp_listener::Listen(event_loop& loop,
                                                                   const endpoint& at,
                                                                   duration silence_timeout,
                                                                   accept_hook on_accept) {
  auto* new_state = new state;
  std::unique_ptr<tcp_listener> listener(new tcp_listener(new_state));
  new_state->loop = &loop;
  new_state->silence_timeout = silence_timeout;
  new_state->on_accept = std::move(on_accept);
  uv_tcp_init(loop.raw(), &new_state->handle);
  new_state->handle.data = new_state;
  const sockaddr_in address = ToSocketAddress(at);
  int status = uv_tcp_bind(&new_state->handle, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&new_state->handle), kBacklog,
                       [](uv_stream_t* stream, int result) {
                         if (result == 0) {
                           static_cast<state*>(stream->data)->Accept();
                         }
                       });
  }
  if (status != 0) {
    return MakeStatus(result_code::kAddressInUse, at.ToString() + ": " + uv_strerror(status));
  }
  return listener;
}

tcp_listener::~tcp_listener() {
  uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
           [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

endpoint tcp_listener::address() const {
  sockaddr_storage storage{};
  int size = sizeof(storage);
  uv_tcp_getsockname(&state_->handle, reinterpret_cast<sockaddr*>(&storage), &size);
  return FromSocketAddress(storage);
}

}  // namespace cuminferry
