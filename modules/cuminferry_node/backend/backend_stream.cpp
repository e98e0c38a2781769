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

constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::string_view kLastChunk = "0\r\n\r\n";
/** Offset of the status code, which follows "HTTP/1.1 ". */
constexpr std::size_t kStatusCodeOffset = 9;

int RemainingMillis(instant deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::Now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 3'600'000));
}

/** Whether an answer has a 1xx status. The node requests no interim answers, and the library would
    read the status line after one without the limit on its length. */
bool IsInterimAnswer(std::string_view status_line) {
  return status_line.size() > kStatusCodeOffset && status_line[kStatusCodeOffset] == '1';
}

void ToAddressText(const sockaddr_in& address, std::string& ip, int& port) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

backend_stream::backend_stream(int socket, instant deadline)
    : socket_(socket), deadline_(deadline), buffer_(kReadBufferBytes) {}

//==============================================================================
bool backend_stream::is_readable() const { return has_unread_bytes() || WaitFor(POLLIN); }

bool backend_stream::is_writable() const { return answered_early_ || WaitFor(POLLOUT); }

ssize_t backend_stream::read(char* into, std::size_t size) {
  if (unread_begin_ == unread_end_ && !FillBuffer()) {
    return timed_out_ ? -1 : 0;
  }
  const std::size_t count = std::min(size, unread_end_ - unread_begin_);
  const std::string_view bytes(buffer_.data() + unread_begin_, count);
  if (!IsHeadWithinBounds(bytes)) {
    return -1;
  }
  std::memcpy(into, bytes.data(), count);
  unread_begin_ += count;
  RecordTail(bytes);
  return static_cast<ssize_t>(count);
}

ssize_t backend_stream::write(const char* from, std::size_t size) {
  while (!answered_early_) {
    pollfd ready{socket_, POLLIN | POLLOUT, 0};
    const int ready_count = ::poll(&ready, 1, RemainingMillis(deadline_));
    if (ready_count < 0 && errno == EINTR) {
      continue;
    }
    if (ready_count <= 0) {
      timed_out_ = ready_count == 0;
      return -1;
    }
    // A backend server that rejects a long upload answers before it has read all of it. Sending
    // the rest would cause a connection reset that also discards its answer, and a rejected
    // request would be reported as one that may have run.
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
  // If the socket is readable before anything was sent, the backend server has closed the
  // connection or sent unrequested bytes, and there is no answer to wait for.
  return bytes_sent_ == 0 ? -1 : static_cast<ssize_t>(size);
}

void backend_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  ToAddressText(address, ip, port);
}

void backend_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  ToAddressText(address, ip, port);
}

bool backend_stream::ends_with_last_chunk() const { return tail_.ends_with(kLastChunk); }

//==============================================================================
bool backend_stream::WaitFor(short events) const {
  for (;;) {
    pollfd ready{socket_, events, 0};
    const int ready_count = ::poll(&ready, 1, RemainingMillis(deadline_));
    if (ready_count > 0) {
      return true;
    }
    if (ready_count == 0) {
      timed_out_ = true;
      return false;
    }
    if (errno != EINTR) {
      return false;
    }
  }
}

bool backend_stream::FillBuffer() {
  while (WaitFor(POLLIN)) {
    // The wait itself never times out if bytes arrive one at a time.
    if (boot_clock::Now() >= deadline_) {
      timed_out_ = true;
      return false;
    }
    const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (received > 0) {
      unread_begin_ = 0;
      unread_end_ = static_cast<std::size_t>(received);
      return true;
    }
    if (received == 0 || (errno != EINTR && errno != EAGAIN)) {
      return false;
    }
  }
  return false;
}

bool backend_stream::IsHeadWithinBounds(std::string_view bytes) {
  if (head_.is_complete()) {
    return true;
  }
  if (!status_line_.ends_with('\n')) {
    const std::size_t line_end = bytes.find('\n');
    const bool ends = line_end != std::string_view::npos;
    status_line_.append(bytes.substr(0, ends ? line_end + 1 : bytes.size()));
  }
  return head_.Consume(bytes) && status_line_.size() <= kMaxStatusLineBytes &&
         !IsInterimAnswer(status_line_);
}

void backend_stream::RecordTail(std::string_view bytes) {
  tail_.append(bytes.substr(bytes.size() - std::min(bytes.size(), kLastChunk.size())));
  tail_.erase(0, tail_.size() - std::min(tail_.size(), kLastChunk.size()));
}

}  // namespace cuminferry
