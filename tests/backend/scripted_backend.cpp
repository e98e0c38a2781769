#include "backend/scripted_backend.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace cuminferry::testing {
namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;

}  // namespace

raw_connection::raw_connection(int socket, std::atomic<int>& request_count)
    : socket_(socket), request_count_(request_count) {}

raw_connection::~raw_connection() {
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

std::string raw_connection::ReadHead() {
  std::string head;
  char each = 0;
  while (!head.ends_with("\r\n\r\n")) {
    if (::recv(socket_, &each, 1, 0) != 1) {
      return {};
    }
    head += each;
  }
  ++request_count_;
  return head;
}

std::string raw_connection::ReadBody(std::size_t count) {
  std::string body;
  std::array<char, 4096> part{};
  while (body.size() < count) {
    const ssize_t received =
        ::recv(socket_, part.data(), std::min(part.size(), count - body.size()), 0);
    if (received <= 0) {
      break;
    }
    body.append(part.data(), static_cast<std::size_t>(received));
  }
  return body;
}

void raw_connection::AwaitBytes() {
  pollfd ready{socket_, POLLIN, 0};
  ::poll(&ready, 1, -1);
}

void raw_connection::AwaitClose() {
  std::array<char, 4096> rest{};
  while (::recv(socket_, rest.data(), rest.size(), 0) > 0) {
  }
}

void raw_connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void raw_connection::Reset() {
  const linger abortive{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
  ::close(std::exchange(socket_, -1));
}

//==============================================================================
scripted_backend::scripted_backend(script on_connection)
    : on_connection_(std::move(on_connection)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopback);
  socklen_t length = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      ::listen(listener_, 64) != 0) {
    throw std::runtime_error("no port can be listened on");
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  address_ = {kLoopback, ntohs(address.sin_port)};
  acceptor_ = std::thread([this] { Accept(); });
}

scripted_backend::~scripted_backend() {
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
}

void scripted_backend::Accept() {
  std::vector<std::thread> running;
  for (;;) {
    const int socket = ::accept(listener_, nullptr, nullptr);
    if (socket < 0) {
      break;
    }
    running.emplace_back([this, socket, connection_number = connections_++] {
      raw_connection connection(socket, request_count_);
      on_connection_(connection, connection_number);
    });
  }
  for (std::thread& each : running) {
    each.join();
  }
}

}  // namespace cuminferry::testing
