#include "cuminferry_wire/tcp/tcp_hub.h"

#include <absl/container/flat_hash_map.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <deque>
#include <vector>

#include "cuminferry_wire/tcp/socket_address.h"

namespace cuminferry {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxEventsPerWait = 64;
constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr connection_id kWakeKey = 0;
constexpr connection_id kListenKey = 1;
constexpr connection_id kFirstConnection = 2;

void SetNoDelay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

absl::Status ConnectionLost(std::string_view what) {
  return MakeStatus(result_code::kConnectionLost, what);
}

// One socket with its send queue and the received part of the next frame.
class connection {
 public:
  connection(connection_id id, int descriptor, int epoll, bool open)
      : id_(id), descriptor_(descriptor), epoll_(epoll), open_(open) {}
  ~connection() { ::close(descriptor_); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  connection_id id() const { return id_; }
  int descriptor() const { return descriptor_; }
  frame_reader& reader() { return reader_; }

  bool MarkOpen() {
    ranked_lock lock(mutex_);
    const bool was_open = open_;
    open_ = true;
    return !was_open;
  }

  // Queues a frame and sends as much as the socket accepts. Returns false if the queue would exceed
  // its bound.
  bool Send(std::string frame, std::size_t bound) {
    ranked_lock lock(mutex_);
    if (queued_bytes_ + frame.size() > bound) {
      return false;
    }
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (open_ && !is_waiting_for_write_) {
      Flush();
      if (!queue_.empty()) {
        WatchFor(EPOLLIN | EPOLLOUT);
      }
    }
    return true;
  }

  // Continues to send after the socket became writable.
  void SendMore() {
    ranked_lock lock(mutex_);
    Flush();
    if (queue_.empty()) {
      WatchFor(EPOLLIN);
    }
  }

 private:
  // Requires the mutex: if a sender and the hub's thread changed the events in the wrong order, a
  // non-empty queue could be left without EPOLLOUT and would never be sent.
  void WatchFor(std::uint32_t events) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = id_;
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor_, &event);
    is_waiting_for_write_ = (events & EPOLLOUT) != 0;
  }

  void Flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    while (!queue_.empty()) {
      const std::string& frame = queue_.front();
      const ssize_t sent = ::send(descriptor_, frame.data() + sent_bytes_of_first_,
                                  frame.size() - sent_bytes_of_first_, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0) {
        // The socket buffer is full, or the connection failed; the reader then closes it.
        return;
      }
      sent_bytes_of_first_ += static_cast<std::size_t>(sent);
      if (sent_bytes_of_first_ < frame.size()) {
        return;
      }
      queued_bytes_ -= frame.size();
      queue_.pop_front();
      sent_bytes_of_first_ = 0;
    }
  }

  const connection_id id_;
  const int descriptor_;
  const int epoll_;
  frame_reader reader_;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  bool open_ ABSL_GUARDED_BY(mutex_);
  bool is_waiting_for_write_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::string> queue_ ABSL_GUARDED_BY(mutex_);
  std::size_t queued_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::size_t sent_bytes_of_first_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace

class tcp_hub::state {
 public:
  state(hooks owner_hooks, options chosen_options)
      : hooks_(std::move(owner_hooks)),
        options_(chosen_options),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    assert(epoll_ >= 0 && wake_ >= 0);
    Watch(wake_, kWakeKey, EPOLLIN);
    thread_ = std::make_unique<joined_thread>("wire", options_.stack_bytes, [this] { Serve(); });
  }

  ~state() {
    Stop();
    {
      ranked_lock lock(mutex_);
      connections_.clear();
    }
    if (listener_ >= 0) {
      ::close(listener_);
    }
    ::close(wake_);
    ::close(epoll_);
  }

  absl::Status Listen(endpoint& at) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = ToSocketAddress(at);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(descriptor, kListenBacklog) != 0) {
      const std::string why = std::strerror(errno);
      ::close(descriptor);
      return MakeStatus(result_code::kAddressInUse, "TCP " + at.ToString() + ": " + why);
    }
    at = LocalEndpoint(descriptor);
    listener_ = descriptor;
    Watch(descriptor, kListenKey, EPOLLIN);
    return absl::OkStatus();
  }

  connection_id Connect(endpoint to) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    SetNoDelay(descriptor);
    const sockaddr_in address = ToSocketAddress(to);
    // An immediate failure is also reported as an event on the socket, so every failure is handled
    // in one way: the hub's thread calls on_closed.
    static_cast<void>(
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    const auto made = Add(descriptor, false);
    Watch(descriptor, made->id(), EPOLLIN | EPOLLOUT);
    return made->id();
  }

  bool Send(connection_id id, std::string frame) {
    const auto found = Find(id);
    if (found == nullptr) {
      return false;
    }
    if (!found->Send(std::move(frame), options_.max_send_queue_bytes)) {
      // A peer that does not read would otherwise occupy memory for ever.
      ::shutdown(found->descriptor(), SHUT_RDWR);
      return false;
    }
    return true;
  }

  void Close(connection_id id) {
    const auto found = Find(id);
    if (found != nullptr) {
      ::shutdown(found->descriptor(), SHUT_RDWR);
    }
  }

  void Stop() {
    stopping_ = true;
    Wake();
    thread_.reset();
  }

  std::size_t connections() {
    ranked_lock lock(mutex_);
    return connections_.size();
  }

 private:
  using shared_connection = std::shared_ptr<connection>;

  void Watch(int descriptor, connection_id key, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = key;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
  }

  void Wake() {
    const std::uint64_t one = 1;
    static_cast<void>(::write(wake_, &one, sizeof(one)));
  }

  shared_connection Add(int descriptor, bool open) {
    ranked_lock lock(mutex_);
    const connection_id id = next_id_++;
    auto made = std::make_shared<connection>(id, descriptor, epoll_, open);
    connections_.emplace(id, made);
    return made;
  }

  shared_connection Find(connection_id id) {
    ranked_lock lock(mutex_);
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second;
  }

  void Serve() {
    std::array<epoll_event, kMaxEventsPerWait> events{};
    while (!stopping_) {
      const int count = ::epoll_wait(epoll_, events.data(), kMaxEventsPerWait, -1);
      for (int at = 0; at < count; ++at) {
        Handle(events[static_cast<std::size_t>(at)]);
      }
    }
  }

  void Handle(const epoll_event& event) {
    if (event.data.u64 == kWakeKey) {
      return;
    }
    if (event.data.u64 == kListenKey) {
      Accept();
      return;
    }
    const auto found = Find(event.data.u64);
    if (found == nullptr) {
      return;
    }
    if ((event.events & EPOLLOUT) != 0 && !OnWritable(*found)) {
      return;
    }
    if ((event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
      OnReadable(*found);
    }
  }

  void Accept() {
    while (true) {
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      if (connections() >= options_.max_connections) {
        ::close(descriptor);
        continue;
      }
      SetNoDelay(descriptor);
      const auto made = Add(descriptor, true);
      // Until its first frame was read, an unknown peer may use no more memory than a hello needs.
      made->reader().SetMaxPayload(kMaxHelloBytes);
      hooks_.on_open(made->id(), true);
      Watch(descriptor, made->id(), EPOLLIN);
    }
  }

  // Returns false if the connection is closed.
  bool OnWritable(connection& on) {
    int failed = 0;
    socklen_t length = sizeof(failed);
    ::getsockopt(on.descriptor(), SOL_SOCKET, SO_ERROR, &failed, &length);
    if (failed == ECONNREFUSED) {
      CloseAndReport(on.id(), MakeStatus(result_code::kTargetUnreachable, "nothing listens there"));
      return false;
    }
    if (failed != 0) {
      CloseAndReport(on.id(), ConnectionLost(std::strerror(failed)));
      return false;
    }
    if (on.MarkOpen()) {
      hooks_.on_open(on.id(), false);
    }
    on.SendMore();
    return true;
  }

  void OnReadable(connection& on) {
    const ssize_t count = ::recv(on.descriptor(), buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (count <= 0) {
      CloseAndReport(on.id(),
                     ConnectionLost(count == 0 ? "closed by the peer" : std::strerror(errno)));
      return;
    }
    const absl::Status fed =
        on.reader().Feed(std::span<const char>(buffer_.data(), static_cast<std::size_t>(count)),
                         [&](message_type type, std::span<const char> payload) {
                           on.reader().SetMaxPayload(kMaxPayloadBytes);
                           hooks_.on_message(on.id(), type, payload);
                         });
    if (!fed.ok()) {
      CloseAndReport(on.id(), fed);
    }
  }

  void CloseAndReport(connection_id id, const absl::Status& why) {
    shared_connection ended;
    {
      ranked_lock lock(mutex_);
      const auto found = connections_.find(id);
      if (found == connections_.end()) {
        return;
      }
      ended = found->second;
      connections_.erase(found);
    }
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, ended->descriptor(), nullptr);
    hooks_.on_closed(id, why);
  }

  const hooks hooks_;
  const options options_;
  const int epoll_;
  const int wake_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::array<char, kReadBufferBytes> buffer_{};
  ranked_mutex mutex_{lock_rank::kWireHub};
  absl::flat_hash_map<connection_id, shared_connection> connections_ ABSL_GUARDED_BY(mutex_);
  connection_id next_id_ ABSL_GUARDED_BY(mutex_) = kFirstConnection;
  std::unique_ptr<joined_thread> thread_;
};

tcp_hub::tcp_hub(hooks owner_hooks, options chosen_options)
    : state_(std::make_unique<state>(std::move(owner_hooks), chosen_options)) {}

tcp_hub::~tcp_hub() = default;

absl::Status tcp_hub::Listen(endpoint& at) { return state_->Listen(at); }

connection_id tcp_hub::Connect(endpoint to) { return state_->Connect(to); }

bool tcp_hub::Send(connection_id connection, std::string frame) {
  return state_->Send(connection, std::move(frame));
}

void tcp_hub::Close(connection_id connection) { state_->Close(connection); }

void tcp_hub::Stop() { state_->Stop(); }

std::size_t tcp_hub::connections() const { return state_->connections(); }

}  // namespace cuminferry
