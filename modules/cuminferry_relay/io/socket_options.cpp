#include "cuminferry_relay/io/socket_options.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace cuminferry {
namespace {

std::optional<uv_os_fd_t> SocketOf(const uv_tcp_t& handle) {
  uv_os_fd_t socket = -1;
  const bool is_open = uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle), &socket) == 0;
  return is_open ? std::optional(socket) : std::nullopt;
}

void SetOption(int socket, int level, int option, int value) {
  // If the kernel rejects an option, its slower default detection applies.
  static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

}  // namespace

sockaddr_in ToSocketAddress(const endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  address.sin_addr.s_addr = htonl(at.address);
  return address;
}

endpoint FromSocketAddress(const sockaddr_storage& storage) {
  const auto& address = reinterpret_cast<const sockaddr_in&>(storage);
  return {.address = ntohl(address.sin_addr.s_addr), .port = ntohs(address.sin_port)};
}

void SetResetWhenClosed(uv_tcp_t& handle, bool resets) {
  if (const auto socket = SocketOf(handle)) {
    // With a linger time of zero, the kernel resets the connection when it is closed.
    const linger value{.l_onoff = resets ? 1 : 0, .l_linger = 0};
    static_cast<void>(::setsockopt(*socket, SOL_SOCKET, SO_LINGER, &value, sizeof(value)));
  }
}

void EnableSilenceDetection(uv_tcp_t& handle, duration limit) {
  constexpr int kProbes = 2;
  const auto socket = SocketOf(handle);
  if (limit <= duration::zero() || !socket) {
    return;
  }
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  const int interval = std::max<int>(1, static_cast<int>(millis / 1000 / (kProbes + 1)));
  SetOption(*socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(*socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(*socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(*socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(*socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis));
}

bool ReadsOrderlyEnd(const uv_tcp_t& handle) {
  const auto socket = SocketOf(handle);
  char unread = 0;
  return socket && ::recv(*socket, &unread, sizeof(unread), MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace cuminferry
