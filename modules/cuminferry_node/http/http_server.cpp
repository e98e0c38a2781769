#include "cuminferry_node/http/http_server.h"

#include <httplib.h>
#include <poll.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstring>
#include <utility>

#include "cuminferry_node/http/head_limiter.h"
#include "cuminferry_wire/tcp/socket_address.h"

namespace cuminferry {
namespace {

constexpr int kAcceptBacklog = 1024;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::size_t kAcceptStackBytes = 256 * 1024;

thread_local int current_descriptor = -1;

// cpp-httplib's stream for a connection. The library's own stream class uses select(), which fails
// for descriptors above 1,023: the 1,024th caller would be disconnected.
class polled_stream : public httplib::Stream {
 public:
  polled_stream(int descriptor, std::chrono::milliseconds timeout)
      : descriptor_(descriptor), timeout_(timeout) {}

  bool is_readable() const override { return begin_ < end_ || Poll(POLLIN, timeout_); }
  bool is_writable() const override { return Poll(POLLOUT, timeout_); }

  ssize_t read(char* into, std::size_t size) override {
    if (begin_ == end_) {
      if (size >= buffer_.size()) {
        return Receive(into, size);
      }
      const ssize_t count = Receive(buffer_.data(), buffer_.size());
      if (count <= 0) {
        return count;
      }
      if (head_.IsLate(boot_clock::Now())) {
        return MarkLimitExceeded();
      }
      begin_ = 0;
      end_ = static_cast<std::size_t>(count);
    }
    const std::size_t count = std::min(size, end_ - begin_);
    std::memcpy(into, buffer_.data() + begin_, count);
    begin_ += count;
    return head_.Consume({into, count}) ? static_cast<ssize_t>(count) : MarkLimitExceeded();
  }

  ssize_t write(const char* from, std::size_t size) override {
    std::size_t sent = 0;
    while (sent < size) {
      const ssize_t count = ::send(descriptor_, from + sent, size - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno != EINTR && (errno != EAGAIN || !Poll(POLLOUT, timeout_))) {
        return -1;
      }
    }
    return static_cast<ssize_t>(size);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    SplitAddress(FromSocketAddress(address), ip, port);
  }

  void get_local_ip_and_port(std::string& ip, int& port) const override {
    SplitAddress(LocalEndpoint(descriptor_), ip, port);
  }

  socket_t socket() const override { return descriptor_; }

  // Starts the next request. Its head must be complete within the read timeout.
  void BeginRequest() { head_.BeginMessage(boot_clock::Now() + timeout_); }

  // Whether the head of a request was too long or too slow. The library would answer 400 and go on
  // to read the rest of that head as further requests.
  bool limit_exceeded() const { return limit_exceeded_; }

  // Waits until the first bytes of the next request are available. Returns false if the timeout
  // expires first or `stop_descriptor` becomes readable.
  bool WaitForRequest(std::chrono::milliseconds timeout, int stop_descriptor) const {
    if (begin_ < end_) {
      return true;
    }
    std::array<pollfd, 2> watched{pollfd{descriptor_, POLLIN, 0},
                                  pollfd{stop_descriptor, POLLIN, 0}};
    const int ready = ::poll(watched.data(), watched.size(), static_cast<int>(timeout.count()));
    return ready > 0 && watched[0].revents != 0;
  }

 private:
  static void SplitAddress(endpoint address, std::string& ip, int& port) {
    const std::string text = address.ToString();
    ip = text.substr(0, text.rfind(':'));
    port = address.port;
  }

  bool Poll(short events, std::chrono::milliseconds timeout) const {
    pollfd watched{descriptor_, events, 0};
    return ::poll(&watched, 1, static_cast<int>(timeout.count())) > 0;
  }

  ssize_t Receive(char* into, std::size_t size) const {
    if (!Poll(POLLIN, timeout_)) {
      return -1;
    }
    return ::recv(descriptor_, into, size, 0);
  }

  ssize_t MarkLimitExceeded() {
    limit_exceeded_ = true;
    return -1;
  }

  const int descriptor_;
  const std::chrono::milliseconds timeout_;
  std::array<char, kReadBufferBytes> buffer_{};
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  head_limiter head_;
  bool limit_exceeded_ = false;
};

// cpp-httplib's queue of accepted connections, served by a worker_pool.
class worker_pool_queue : public httplib::TaskQueue {
 public:
  explicit worker_pool_queue(worker_pool::options pool_options) : pool_(std::move(pool_options)) {}
  void enqueue(std::function<void()> task) override {
    // A refused task would leak its socket, so the maximum queue length of the pool exceeds the
    // number of descriptors that a process may have.
    pool_.Submit(std::move(task));
  }
  void shutdown() override { pool_.Stop(); }

 private:
  worker_pool pool_;
};

class library_server : public httplib::Server {
 public:
  library_server(std::chrono::seconds idle_timeout, std::chrono::seconds read_timeout)
      : idle_timeout_(idle_timeout),
        read_timeout_(read_timeout),
        stop_event_(::eventfd(0, EFD_CLOEXEC)) {}
  ~library_server() override { ::close(stop_event_); }

  void ExtendBacklog() { ::listen(svr_sock_, kAcceptBacklog); }
  endpoint BoundEndpoint() { return LocalEndpoint(svr_sock_); }

  // Makes the event descriptor readable. Nobody reads it, so that it wakes every thread that waits
  // for a request. Until then, a thousand idle connections use no CPU time.
  void StopServing() {
    stopping_ = true;
    const std::uint64_t one = 1;
    static_cast<void>(::write(stop_event_, &one, sizeof(one)));
  }

 private:
  bool process_and_close_socket(socket_t descriptor) override {
    current_descriptor = descriptor;
    polled_stream stream(descriptor, read_timeout_);
    while (!stream.limit_exceeded() && stream.WaitForRequest(idle_timeout_, stop_event_)) {
      stream.BeginRequest();
      bool closed = false;
      if (!process_request(stream, stopping_, closed, nullptr) || closed) {
        break;
      }
    }
    current_descriptor = -1;
    ::shutdown(descriptor, SHUT_WR);
    ::close(descriptor);
    return true;
  }

  const std::chrono::milliseconds idle_timeout_;
  const std::chrono::milliseconds read_timeout_;
  const int stop_event_;
  std::atomic<bool> stopping_ = false;
};

bool HasBody(const httplib::Request& request) {
  return request.has_header("Transfer-Encoding") ||
         (request.has_header("Content-Length") &&
          request.get_header_value("Content-Length") != "0");
}

http_request Translate(const httplib::Request& from) {
  http_request request;
  request.method = from.method;
  request.target = from.target;
  request.descriptor = current_descriptor;
  request.has_body = HasBody(from);
  request.headers.reserve(from.headers.size());
  for (const auto& [name, value] : from.headers) {
    request.headers.push_back({name, value});
  }
  return request;
}

void Translate(const http_response& from, httplib::Response& into) {
  into.status = from.status;
  for (const header_field& field : from.headers) {
    into.set_header(field.name, field.value);
  }
  if (from.close) {
    into.set_header("Connection", "close");
  }
  into.set_content(from.body, from.content_type.c_str());
}

}  // namespace

std::optional<std::string_view> http_request::Header(std::string_view name) const {
  for (const header_field& field : headers) {
    if (field.name.size() == name.size() &&
        strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
      return field.value;
    }
  }
  return std::nullopt;
}

class http_server::state {
 public:
  state(options server_options, handler on_request)
      : options_(std::move(server_options)),
        on_request_(std::move(on_request)),
        server_(options_.idle_timeout, options_.read_timeout) {
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    server_.new_task_queue = [this] {
      return new worker_pool_queue({.name = options_.name,
                                    .threads = options_.threads,
                                    .stack_bytes = options_.stack_bytes,
                                    .max_queued_tasks = std::numeric_limits<std::size_t>::max()});
    };
    // Requests without a body are answered here, before the library matches
    // regular expressions against them.
    server_.set_pre_routing_handler([this](const httplib::Request& from, httplib::Response& into) {
      if (HasBody(from)) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      Answer(Translate(from), into);
      return httplib::Server::HandlerResponse::Handled;
    });
    const auto answer_with_body = [this](const httplib::Request& from, httplib::Response& into,
                                         const httplib::ContentReader& reader) {
      AnswerWithBody(from, into, reader);
    };
    server_.Post(".*", answer_with_body);
    server_.Put(".*", answer_with_body);
    server_.Patch(".*", answer_with_body);
    server_.Delete(".*", answer_with_body);
  }

  absl::Status Start(endpoint& address) {
    const std::string text = address.ToString();
    const std::string host = text.substr(0, text.rfind(':'));
    const bool bound = address.port == 0 ? server_.bind_to_any_port(host) > 0
                                         : server_.bind_to_port(host, address.port);
    if (!bound) {
      return MakeStatus(result_code::kAddressInUse, "HTTP " + text);
    }
    server_.ExtendBacklog();
    address = server_.BoundEndpoint();
    thread_ = std::make_unique<joined_thread>(options_.name + "-accept", kAcceptStackBytes,
                                              [this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
    return absl::OkStatus();
  }

  void Stop() {
    server_.StopServing();
    server_.stop();
    thread_.reset();
  }

 private:
  void Answer(const http_request& request, httplib::Response& into) {
    http_response response;
    on_request_(request, response);
    Translate(response, into);
  }

  void AnswerWithBody(const httplib::Request& from, httplib::Response& into,
                      const httplib::ContentReader& reader) {
    http_request request = Translate(from);
    request.read_body = [&reader](const std::function<bool(std::string_view)>& sink) {
      return reader([&sink](const char* data, std::size_t length) { return sink({data, length}); });
    };
    Answer(request, into);
  }

  const options options_;
  const handler on_request_;
  library_server server_;
  std::unique_ptr<joined_thread> thread_;
};

http_server::http_server(options server_options, handler on_request)
    : state_(std::make_unique<state>(std::move(server_options), std::move(on_request))) {}

http_server::~http_server() { Stop(); }

absl::Status http_server::Start(endpoint& address) { return state_->Start(address); }

void http_server::Stop() { state_->Stop(); }

}  // namespace cuminferry
