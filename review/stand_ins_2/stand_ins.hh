// Stand-ins for the platform's store, backend servers and clients, and the start of real nodes, for
// the cases of the second review. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using std::string;

inline double Seconds() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt: what was sent, answered and run.
class record {
 public:
  explicit record(const string& path) : file_(std::fopen(path.c_str(), "w")) {}
  template <typename... Args>
  void Line(const char* format, Args... args) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f s  ", Seconds());
    if constexpr (sizeof...(args) == 0) std::fputs(format, file_);
    else std::fprintf(file_, format, args...);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline sockaddr_in Address(const string& ip, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  return at;
}

// A message of HTTP/1.1, with its body.
struct message {
  string first_line;
  std::vector<std::pair<string, string>> fields;
  string body;
  bool whole = false;
  string Field(const string& name) const {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return "";
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
  string target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }
  bool Send(const string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Returns false at the end of the connection, on an error and at the time limit.
  bool Fill(double until, std::size_t most = 65536) {
    pollfd polled{fd_, POLLIN, 0};
    const double left = until - Seconds();
    if (left <= 0 || ::poll(&polled, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      timed_out = true;
      return false;
    }
    string bytes(most, '\0');
    const ssize_t got = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      error = got < 0 ? errno : 0;
      return false;
    }
    buffer.append(bytes, 0, static_cast<std::size_t>(got));
    return true;
  }
  // Reads the head of a message; interim answers are skipped.
  bool ReadHead(message& found, double until) {
    while (true) {
      const auto end = buffer.find("\r\n\r\n");
      if (end == string::npos) {
        if (!Fill(until)) return false;
        continue;
      }
      found = {};
      std::size_t at = buffer.find("\r\n");
      found.first_line = buffer.substr(0, at);
      while (at < end) {
        const std::size_t next = buffer.find("\r\n", at + 2);
        const string line = buffer.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        auto value = line.find_first_not_of(' ', colon + 1);
        found.fields.emplace_back(line.substr(0, colon),
                                  value == string::npos ? "" : line.substr(value));
        at = next;
      }
      buffer.erase(0, end + 4);
      if (found.first_line.rfind("HTTP/1.1 1", 0) == 0) continue;
      return true;
    }
  }
  bool ReadBody(message& of, double until) {
    if (strcasecmp(of.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::size_t end;
        while ((end = buffer.find("\r\n")) == string::npos)
          if (!Fill(until)) return false;
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < end + 2 + size + 2)
          if (!Fill(until)) return false;
        of.body += buffer.substr(end + 2, size);
        buffer.erase(0, end + 2 + size + 2);
        if (size == 0) break;
      }
    } else {
      const std::size_t length = std::strtoul(of.Field("Content-Length").c_str(), nullptr, 10);
      while (buffer.size() < length)
        if (!Fill(until)) {
          of.body = buffer;
          return false;
        }
      of.body = buffer.substr(0, length);
      buffer.erase(0, length);
    }
    of.whole = true;
    return true;
  }
  bool Read(message& found, double until) {
    return ReadHead(found, until) && ReadBody(found, until);
  }

  string buffer;
  bool timed_out = false;
  int error = 0;

 private:
  int fd_;
};

inline int Connect(const string& ip, int port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const sockaddr_in at = Address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// Accepts connections and serves each by a thread of its own.
class listener {
 public:
  listener(const string& ip, int port, std::function<void(connection&)> serve,
           int receive_buffer = 0) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0)
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in at = Address(ip, port);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd_, 512) != 0) {
      std::fprintf(stderr, "can't listen at %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([fd = fd_, serve] {
      while (true) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) return;
        int nodelay = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
        std::thread([accepted, serve] {
          connection served(accepted);
          serve(served);
        }).detach();
      }
    }).detach();
  }

 private:
  int fd_;
};

inline string Base64(const string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned value = 0;
    for (std::size_t i = 0; i < 3; ++i)
      value = value << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
    for (int i = 0; i < 4; ++i) text += digits[value >> (18 - 6 * i) & 63];
    if (at + 1 >= bytes.size()) text[text.size() - 2] = '=';
    if (at + 2 >= bytes.size()) text[text.size() - 1] = '=';
  }
  return text;
}

inline string Parameter(const string& target, const string& name) {
  const auto at = target.find(name + "=");
  return at == string::npos ? "" : target.substr(at + name.size() + 1,
                                                 target.find('&', at) - at - name.size() - 1);
}

// The platform's store: kv-range, kv-watch and kv-key, as PROTOCOL.md describes them.
class store {
 public:
  store(const string& ip, int port)
      : listener_(ip, port, [this](connection& served) { Serve(served); }) {}

  void Put(const string& key, const string& value) {
    std::lock_guard lock(mutex_);
    auto& entry = items_[key];
    ++revision_;
    if (entry.created == 0) entry.created = revision_;
    entry.value = value;
    entry.revision = revision_;
    events_.emplace_back(revision_, ItemText(key, entry));
    changed_.notify_all();
  }

 private:
  struct item {
    string value;
    long revision = 0, created = 0;
  };
  static string ItemText(const string& key, const item& of) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(of.value) +
           "\",\"revision\":" + std::to_string(of.revision) +
           ",\"create_revision\":" + std::to_string(of.created) + ",\"lease\":0}";
  }
  void Serve(connection& served) {
    message request;
    while (served.Read(request, Seconds() + 60)) {
      const string target = request.target();
      string body;
      if (target.rfind("/cuminferry/kv-range", 0) == 0) body = Range(Parameter(target, "after"));
      else if (target.rfind("/cuminferry/kv-watch", 0) == 0)
        body = Watch(std::atol(Parameter(target, "after").c_str()),
                     std::atof(Parameter(target, "wait_ms").c_str()) / 1000);
      const string head = body.empty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK";
      if (!served.Send(head + "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  string Range(const string& after) {
    std::lock_guard lock(mutex_);
    string list;
    for (const auto& [key, entry] : items_)
      if (after.empty() || key > after) list += (list.empty() ? "" : ",") + ItemText(key, entry);
    return "{\"items\":[" + list + "],\"has_more\":false,\"current_rev\":" +
           std::to_string(revision_) + "}";
  }
  string Watch(long after, double wait) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::duration<double>(wait),
                      [&] { return revision_ > after; });
    string list;
    for (const auto& [revision, text] : events_)
      if (revision > after) list += (list.empty() ? "" : ",") + text;
    return "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(revision_) + "}";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<string, item> items_;
  std::vector<std::pair<long, string>> events_;
  long revision_ = 10;
  listener listener_;
};

// The ports are the same on all machines; machines differ by their loopback addresses.
constexpr int kPeer = 7620, kReady = 8302, kOutbound = 8304, kBackend = 8301, kMetrics = 9464,
              kSeed = 7621, kStore = 8309;

// A block of addresses, 127.X.Y.*, that no one uses.
inline string FreeBlock() {
  for (int tries = 0; tries < 200; ++tries) {
    const unsigned draw = static_cast<unsigned>(getpid()) * 7919u + static_cast<unsigned>(tries) * 104729u;
    const string block = "127." + std::to_string(20 + draw % 200) + "." +
                         std::to_string(1 + draw / 200 % 250) + ".";
    bool is_free = true;
    for (int host = 1; host <= 9 && is_free; ++host)
      for (const int port : {kPeer, kReady, kOutbound, kBackend, kMetrics, kSeed, kStore}) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = Address(block + std::to_string(host), port);
        is_free = is_free && ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
        ::close(fd);
      }
    if (is_free) return block;
  }
  std::exit(2);
}

// A node as a process of its own, with settings like those that the platform renders.
class node {
 public:
  struct options {
    string folder, name, service, zone, ip, store_ip;
    std::vector<string> seeds;
    string bounds =
        "\"repeat_ratio\":0.2,\"repeat_allowance\":48,\"repeat_window_s\":10,\"drain_s\":2000e-3,"
        "\"queue_order\":\"importance\",\"grace_s\":6";
  };
  node(options chosen, record& out) : options_(std::move(chosen)), out_(out) {
    settings_ = options_.folder + "/" + options_.name + ".json";
    WriteSettings("");
    Start();
  }
  ~node() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }
  void WriteSettings(const string& more) const {
    string seeds;
    for (const string& seed : options_.seeds)
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(kSeed) + "\"";
    const auto at = [&](int port) { return "\"" + options_.ip + ":" + std::to_string(port) + "\""; };
    std::FILE* file = std::fopen(settings_.c_str(), "w");
    std::fprintf(file,
                 "{\"instance\":\"%s\",\"service\":\"%s\",\"failure_domain\":\"%s\",\"outbound\":%s,"
                 "\"ready\":%s,\"ready_path\":\"/cuminferry/readyz\",\"peer\":%s,\"seed\":%s,"
                 "\"metrics\":%s,\"metrics_path\":\"/metrics\",\"backend\":%s,\"platform\":\"%s:%d\","
                 "\"seeds\":[%s],%s%s}\n",
                 options_.name.c_str(), options_.service.c_str(), options_.zone.c_str(),
                 at(kOutbound).c_str(), at(kReady).c_str(), at(kPeer).c_str(), at(kSeed).c_str(),
                 at(kMetrics).c_str(), at(kBackend).c_str(), options_.store_ip.c_str(), kStore,
                 seeds.c_str(), options_.bounds.c_str(), more.c_str());
    std::fclose(file);
  }
  void Start() {
    const string log = options_.folder + "/" + options_.name + ".log";
    pid_ = ::fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("CUMINFERRY_BOOT", settings_.c_str(), 1);
      const char* program = std::getenv("NODE_PROGRAM");
      if (program == nullptr) program = "target/platform/cuminferry";
      ::execl(program, program, nullptr);
      std::_Exit(127);
    }
    out_.Line("%s: process started", options_.name.c_str());
  }
  // If the process has ended, says how and returns true; the process can then be started again.
  bool HasEnded() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    if (WIFSIGNALED(status))
      out_.Line("%s: process ended by signal %d (%s)", options_.name.c_str(), WTERMSIG(status),
                strsignal(WTERMSIG(status)));
    else out_.Line("%s: process exited with %d", options_.name.c_str(), WEXITSTATUS(status));
    return true;
  }
  void Signal(int signal) const { ::kill(pid_, signal); }
  bool IsReady() const {
    const int fd = Connect(options_.ip, kReady);
    if (fd < 0) return false;
    connection probe(fd);
    message answer;
    return probe.Send("GET /cuminferry/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
           probe.ReadHead(answer, Seconds() + 1) && answer.status() == 200;
  }
  const string& ip() const { return options_.ip; }
  const string& name() const { return options_.name; }

 private:
  options options_;
  record& out_;
  string settings_;
  pid_t pid_ = 0;
};

inline bool AwaitReady(const std::vector<node*>& nodes, double limit = 10) {
  const double until = Seconds() + limit;
  for (const node* each : nodes)
    while (!each->IsReady()) {
      if (Seconds() > until) return false;
      Sleep(0.05);
    }
  return true;
}

inline string Entry(const string& service, const string& ip, const string& zone, int slots) {
  return "{\"service\":\"" + service + "\",\"addr\":\"" + ip + ":" + std::to_string(kBackend) +
         "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"capacity\":" + std::to_string(slots) +
         ",\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":1780000000000}";
}

struct route {
  string name, prefix, kind, service;
  int timeout_ms, slo_ms, attempts;
};
inline string Config(const string& version, const std::vector<route>& routes,
                     const std::vector<string>& services, const string& limits) {
  string list;
  for (const route& each : routes)
    list += "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + each.name +
            "\"},\"spec\":{\"host\":\"maps.example\",\"prefix\":\"" + each.prefix +
            "\",\"kind\":\"" + each.kind + "\",\"service\":\"" + each.service +
            "\",\"timeout_ms\":" + std::to_string(each.timeout_ms) +
            ",\"slo_ms\":" + std::to_string(each.slo_ms) +
            ",\"attempts\":" + std::to_string(each.attempts) + ",\"priority\":1}},";
  for (const string& service : services)
    list += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":500}},";
  list += "{\"type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":" + limits + "}";
  return "{\"version\":\"" + version + "\",\"resources\":[" + list + "]}";
}

// Answers health checks and requests for another instance; returns whether there is a request left
// to run.
inline bool IsToRun(connection& served, const message& request, const string& id) {
  if (request.target() == "/healthz") {
    served.Send("HTTP/1.1 200 OK\r\nCuminferry-Instance-Id: " + id +
                "\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  const string expected = request.Field("Cuminferry-Expect-Instance");
  if (!expected.empty() && expected != id) {
    served.Send("HTTP/1.1 421 Misdirected Request\r\nCuminferry-Request-Id: " +
                request.Field("Cuminferry-Request-Id") +
                "\r\nCuminferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  return true;
}
inline string Success(const message& request, const string& body) {
  return "HTTP/1.1 200 OK\r\nCuminferry-Request-Id: " + request.Field("Cuminferry-Request-Id") +
         "\r\nCuminferry-Response-Seal: seal." + std::to_string(body.size()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline string Request(const string& method, const string& path, const string& id, int deadline_ms,
                      const string& body = "") {
  string text = method + " " + path + " HTTP/1.1\r\nHost: maps.example\r\nCuminferry-Request-Id: " +
                id + "\r\nCuminferry-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || string(trouble) != "0";
}

}  // namespace review
