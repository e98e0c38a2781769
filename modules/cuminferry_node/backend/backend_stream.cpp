#include "cuminferry_node/backend/backend_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace cuminferry {
namespace {

constexpr std::size_t kReadBuffer = 16 * 1024;
constexpr std::string_view kEndOfChunks = "0\r\n\r\n";
/** Where "HTTP/1.1 " ends. */
constexpr std::size_t kStatusOffset = 9;

int MillisUntil(instant deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::Now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 3'600'000));
}

/** A 1xx answer. None is asked for, and the library would read the status line
    behind it without the bound on its length. */
bool IsInterim(std::string_view status_line) {
  return status_line.size() > kStatusOffset && status_line[kStatusOffset] == '1';
}

void Describe(const sockaddr_in& address, std::string& ip, int& port) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

backend_stream::backend_stream(int socket, instant deadline)
    : socket_(socket), deadline_(deadline), buffer_(kReadBuffer) {}

//==============================================================================
bool backend_stream::is_readable() const { return has_left_over() || WaitFor(POLLIN); }

bool backend_stream::is_writable() const { return answered_early_ || WaitFor(POLLOUT); }

ssize_t backend_stream::read(char* into, std::size_t size) {
  if (begin_ == end_ && !Fill()) {
    return timed_out_ ? -1 : 0;
  }
  const std::size_t count = std::min(size, end_ - begin_);
  const std::string_view bytes(buffer_.data() + begin_, count);
  if (!HeadWithinBounds(bytes)) {
    return -1;
  }
  std::memcpy(into, bytes.data(), count);
  begin_ += count;
  Remember(bytes);
  return static_cast<ssize_t>(count);
}

ssize_t backend_stream::write(const char* from, std::size_t size) {
  while (!answered_early_) {
    pollfd ready{socket_, POLLIN | POLLOUT, 0};
    const int found = ::poll(&ready, 1, MillisUntil(deadline_));
    if (found < 0 && errno == EINTR) {
      continue;
    }
    if (found <= 0) {
      timed_out_ = found == 0;
      return -1;
    }
    // A backend server that sheds a long upload answers before it has read it.
    // Pushing on would end in a reset that also destroys its answer, and a
    // request that was refused would be reported as one that may have run.
    if ((ready.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      answered_early_ = true;
      break;
    }
    const ssize_t sent = ::send(socket_, from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0) {
      bytes_sent_ += static_cast<std::uint64_t>(sent);
      return sent;
    }
    if (errno != EINTR && errno != EAGAIN) {
      return -1;
    }
  }
  // Nothing was sent on this connection, and yet there is something to read: the
  // other side has closed it or speaks out of turn. There is no answer to wait for.
  return bytes_sent_ == 0 ? -1 : static_cast<ssize_t>(size);
}

void backend_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  Describe(address, ip, port);
}

void backend_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  Describe(address, ip, port);
}

bool backend_stream::at_end_of_chunks() const { return tail_.ends_with(kEndOfChunks); }

//==============================================================================
bool backend_stream::WaitFor(short events) const {
  for (;;) {
    pollfd ready{socket_, events, 0};
    const int found = ::poll(&ready, 1, MillisUntil(deadline_));
    if (found > 0) {
      return true;
    }
    if (found == 0) {
      timed_out_ = true;
      return false;
    }
    if (errno != EINTR) {
      return false;
    }
  }
}

bool backend_stream::Fill() {
  while (WaitFor(POLLIN)) {
    // A trickle of single bytes never lets the wait itself run out.
    if (boot_clock::Now() >= deadline_) {
      timed_out_ = true;
      return false;
    }
    const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (received > 0) {
      begin_ = 0;
      end_ = static_cast<std::size_t>(received);
      return true;
    }
    if (received == 0 || (errno != EINTR && errno != EAGAIN)) {
      return false;
    }
  }
  return false;
}

bool backend_stream::HeadWithinBounds(std::string_view bytes) {
  if (head_.over()) {
    return true;
  }
  if (!status_line_.ends_with('\n')) {
    const std::size_t line_end = bytes.find('\n');
    const bool ends = line_end != std::string_view::npos;
    status_line_.append(bytes.substr(0, ends ? line_end + 1 : bytes.size()));
  }
  return head_.Take(bytes) && status_line_.size() <= kLongestStatusLine && !IsInterim(status_line_);
}

void backend_stream::Remember(std::string_view bytes) {
  tail_.append(bytes.substr(bytes.size() - std::min(bytes.size(), kEndOfChunks.size())));
  tail_.erase(0, tail_.size() - std::min(tail_.size(), kEndOfChunks.size()));
}

}  // namespace cuminferry
