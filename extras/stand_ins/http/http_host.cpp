#include "stand_ins/http/http_host.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <mutex>
#include <set>

namespace cuminferry::stand_ins {
namespace {

constexpr char kAnyPath[] = ".*";
constexpr int kBacklog = 1024;
constexpr int kTransferTimeoutMs = 30'000;
constexpr std::size_t kReadBuffer = 4096;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1'000;

thread_local int current_socket = -1;

bool WaitFor(int socket, short events, int timeout_ms) {
  pollfd waiting{socket, events, 0};
  int ready = 0;
  do {
    ready = ::poll(&waiting, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Adapts one connection to the stream interface of the library's request parser.
class connection_stream : public httplib::Stream {
 public:
  explicit connection_stream(int socket) : socket_(socket) {}

  bool is_readable() const override { return WaitFor(socket_, POLLIN, kTransferTimeoutMs); }
  bool is_writable() const override { return WaitFor(socket_, POLLOUT, kTransferTimeoutMs); }

  ssize_t read(char* into, std::size_t size) override {
    if (consumed_ == filled_ && !Fill()) {
      return failed_ ? -1 : 0;
    }
    const std::size_t count = std::min(size, filled_ - consumed_);
    std::copy_n(buffer_.data() + consumed_, count, into);
    consumed_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* from, std::size_t size) override {
    if (!is_writable()) {
      return -1;
    }
    return ::send(socket_, from, size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    ip = "127.0.0.1";
    port = 0;
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    ip = "127.0.0.1";
    port = 0;
  }
  socket_t socket() const override { return socket_; }

  /** Waits for the next request; false if the connection ends or the timeout passes first. */
  bool AwaitRequest(std::chrono::milliseconds timeout) {
    return consumed_ < filled_ ||
           (WaitFor(socket_, POLLIN, static_cast<int>(timeout.count())) && Fill());
  }

 private:
  bool Fill() {
    if (!is_readable()) {
      failed_ = true;
      return false;
    }
    const ssize_t count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    failed_ = count < 0;
    consumed_ = 0;
    filled_ = count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0;
  }

  const int socket_;
  std::array<char, kReadBuffer> buffer_{};
  std::size_t consumed_ = 0;
  std::size_t filled_ = 0;
  bool failed_ = false;
};

// Runs the library's connections on a worker pool whose threads have small stacks.
class connection_queue : public httplib::TaskQueue {
 public:
  explicit connection_queue(const http_host::options& chosen)
      : pool_({.name = chosen.name,
               .threads = chosen.max_connections,
               .stack_bytes = chosen.stack_bytes,
               .max_queued_tasks = chosen.max_connections}) {}
  void enqueue(std::function<void()> task) override { pool_.Submit(std::move(task)); }
  void shutdown() override { pool_.Stop(); }

 private:
  worker_pool pool_;
};

}  // namespace

class http_host::server : public httplib::Server {
 public:
  explicit server(options chosen) : options_(std::move(chosen)) {
    new_task_queue = [this] { return new connection_queue(options_); };
    set_tcp_nodelay(true);
    set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    set_keep_alive_timeout(options_.idle_timeout.count() / 1000);
    set_socket_options([this](socket_t socket) {
      const int on = 1;
      ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      listening_ = socket;
    });
  }

  void SetHandler(handler chosen) {
    handler_ = std::move(chosen);
    const auto bare = [this](const httplib::Request& request, httplib::Response& response) {
      handler_({request, request.body, request.body.size(), true}, response);
    };
    const auto with_body = [this](const httplib::Request& request, httplib::Response& response,
                                  const httplib::ContentReader& reader) {
      incoming_request incoming{request, {}, 0, true};
      ReadBody(reader, incoming);
      handler_(incoming, response);
    };
    Get(kAnyPath, bare);
    Options(kAnyPath, bare);
    Post(kAnyPath, with_body);
    Put(kAnyPath, with_body);
    Patch(kAnyPath, with_body);
    Delete(kAnyPath, with_body);
  }

  absl::Status Start(endpoint at) {
    const std::string host = endpoint{at.address, 0}.ToString();
    const std::string address = host.substr(0, host.rfind(':'));
    const int port =
        at.port != 0 ? (bind_to_port(address, at.port) ? at.port : -1) : bind_to_any_port(address);
    if (port < 0) {
      return MakeStatus(result_code::kAddressInUse, at.ToString());
    }
    // The library listens with a backlog of 5. In a burst the kernel then drops connection
    // attempts, and callers wait for seconds.
    ::listen(listening_, kBacklog);
    at_ = {at.address, static_cast<std::uint16_t>(port)};
    acceptor_ = std::make_unique<joined_thread>(options_.name + "-in", options_.stack_bytes,
                                                [this] { listen_after_bind(); });
    while (!is_running()) {
      ::usleep(100);
    }
    return absl::OkStatus();
  }

  void Stop() {
    if (acceptor_ == nullptr) {
      return;
    }
    stopping_ = true;
    stop();
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : open_) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    acceptor_.reset();
  }

  endpoint address() const { return at_; }

  std::size_t open_connections() const {
    const std::lock_guard lock(mutex_);
    return open_.size();
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    if (AddConnection(socket)) {
      Serve(socket);
    }
    CloseConnection(socket);
    return true;
  }

  static void ReadBody(const httplib::ContentReader& reader, incoming_request& incoming) {
    incoming.is_complete = reader([&](const char* part, std::size_t size) {
      const std::size_t remaining = incoming_request::kMaxStoredBodyBytes - incoming.body.size();
      incoming.body.append(part, std::min(remaining, size));
      incoming.body_bytes += size;
      return true;
    });
  }

  bool AddConnection(int socket) {
    const std::lock_guard lock(mutex_);
    if (open_.size() >= options_.max_connections || stopping_) {
      return false;
    }
    open_.insert(socket);
    return true;
  }

  void CloseConnection(int socket) {
    const std::lock_guard lock(mutex_);
    open_.erase(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
  }

  void Serve(int socket) {
    current_socket = socket;
    connection_stream stream(socket);
    bool closed = false;
    while (!closed && !stopping_ && stream.AwaitRequest(options_.idle_timeout) &&
           process_request(stream, false, closed, nullptr)) {
    }
    current_socket = -1;
  }

  const options options_;
  handler handler_;
  socket_t listening_ = -1;
  endpoint at_;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<joined_thread> acceptor_;
  mutable std::mutex mutex_;
  std::set<int> open_;
};

http_host::http_host(options chosen) : server_(std::make_unique<server>(std::move(chosen))) {}

http_host::~http_host() { Stop(); }

void http_host::SetHandler(handler chosen) { server_->SetHandler(std::move(chosen)); }

absl::Status http_host::Start(endpoint at) { return server_->Start(at); }

void http_host::Stop() { server_->Stop(); }

endpoint http_host::address() const { return server_->address(); }

std::size_t http_host::open_connections() const { return server_->open_connections(); }

bool http_host::WaitForClose(duration timeout) {
  assert(current_socket >= 0);
  const std::int64_t micros = std::max<std::int64_t>(0, timeout.count());
  const timespec time{micros / kMicrosPerSecond, (micros % kMicrosPerSecond) * kNanosPerMicro};
  pollfd waiting{current_socket, POLLRDHUP, 0};
  return ::ppoll(&waiting, 1, &time, nullptr) > 0;
}

}  // namespace cuminferry::stand_ins
