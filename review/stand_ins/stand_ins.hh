// Stand-ins for the review's scripts: the platform's store, servers, clients and the platform's
// process supervision. One thread for each connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

//==============================================================================
// The record of a run: one line for each event, with milliseconds since the start.
class record_file {
 public:
  explicit record_file(const std::string& path) : file_(path, std::ios::trunc) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << Millis() << " " << text << "\n" << std::flush;
  }
  long Millis() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - begin_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady::time_point begin_ = steady::now();
};

inline void Sleep(int millis) { std::this_thread::sleep_for(milliseconds(millis)); }

inline std::string Hash(std::string_view bytes) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
  }
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

// Bytes in which every position can be told from the others.
inline std::string Pattern(std::size_t size, unsigned seed) {
  std::string bytes(size, ' ');
  std::uint32_t state = seed * 2654435761U + 1;
  for (std::size_t at = 0; at < size; ++at) {
    state = state * 1664525U + 1013904223U;
    bytes[at] = static_cast<char>('a' + (state >> 24) % 26);
  }
  return bytes;
}

//==============================================================================
inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const sockaddr_in address = Address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads once; waits for at most `millis`. Returns -2 on a timeout, -1 on an error, 0 at the end.
inline ssize_t ReadSome(int fd, std::string& into, int millis, std::size_t most = 65536) {
  pollfd waits{.fd = fd, .events = POLLIN, .revents = 0};
  const int ready = ::poll(&waits, 1, millis);
  if (ready == 0) {
    return -2;
  }
  std::vector<char> buffer(most);
  const ssize_t count = ::recv(fd, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    into.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return count;
}

//==============================================================================
struct message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Field(std::string_view name) const {
    for (const auto& [key, value] : fields) {
      if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(int number) const {
    std::istringstream words(first_line);
    std::string word;
    for (int at = 0; at <= number; ++at) {
      word.clear();
      words >> word;
    }
    return word;
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

// A connection with the bytes that were received and not used yet.
class stream {
 public:
  explicit stream(int fd) : fd_(fd) {}
  ~stream() { Close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  bool Send(std::string_view bytes) { return fd_ >= 0 && SendAll(fd_, bytes); }

  // Reads a head; nullopt if the connection ends or nothing comes within the time.
  std::optional<message> ReadHead(int millis) {
    const auto until = steady::now() + milliseconds(millis);
    std::size_t end = std::string::npos;
    while ((end = bytes_.find("\r\n\r\n")) == std::string::npos) {
      const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
      if (left <= 0 || ReadSome(fd_, bytes_, static_cast<int>(left)) <= 0) {
        return std::nullopt;
      }
    }
    message head;
    std::istringstream lines(bytes_.substr(0, end));
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (head.first_line.empty()) {
        head.first_line = line;
      } else if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        head.fields.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
      }
    }
    bytes_.erase(0, end + 4);
    return head;
  }

  // Moves at least one received byte to `into`; false at the end or after the time.
  bool ReadBytes(std::string& into, std::size_t most, int millis) {
    if (bytes_.empty() && ReadSome(fd_, bytes_, millis) <= 0) {
      return false;
    }
    const std::size_t count = std::min(most, bytes_.size());
    into.append(bytes_, 0, count);
    bytes_.erase(0, count);
    return true;
  }

  std::optional<std::string> ReadLine(int millis) {
    std::size_t end = std::string::npos;
    while ((end = bytes_.find("\r\n")) == std::string::npos) {
      if (ReadSome(fd_, bytes_, millis) <= 0) {
        return std::nullopt;
      }
    }
    std::string line = bytes_.substr(0, end);
    bytes_.erase(0, end + 2);
    return line;
  }

  // Reads a body framed by a length or in chunks. `on_bytes` is called with the bytes so far and
  // may stop the reading by returning false.
  bool ReadBody(const message& head, std::string& body, int millis,
                const std::function<bool(const std::string&)>& on_bytes = {}) {
    const auto more = [&] { return !on_bytes || on_bytes(body); };
    if (::strcasecmp(head.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        const auto line = ReadLine(millis);
        if (!line) {
          return false;
        }
        std::size_t left = std::strtoul(line->c_str(), nullptr, 16);
        if (left == 0) {
          return ReadLine(millis).has_value();
        }
        while (left > 0) {
          const std::size_t before = body.size();
          if (!ReadBytes(body, left, millis)) {
            return false;
          }
          left -= body.size() - before;
          if (!more()) {
            return false;
          }
        }
        if (!ReadLine(millis)) {
          return false;
        }
      }
    }
    const std::size_t length = std::strtoul(head.Field("Content-Length").c_str(), nullptr, 10);
    while (body.size() < length) {
      if (!ReadBytes(body, length - body.size(), millis) || !more()) {
        return false;
      }
    }
    return true;
  }

 private:
  int fd_;
  std::string bytes_;
};

//==============================================================================
// Accepts connections and runs `serve` for each one on its own thread.
class listener {
 public:
  listener(const std::string& ip, int port, std::function<void(stream&)> serve)
      : fd_(Listen(ip, port)), serve_(std::move(serve)) {
    if (fd_ < 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([this] {
      while (true) {
        const int accepted = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, accepted] {
          stream connection(accepted);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }

 private:
  int fd_;
  std::function<void(stream&)> serve_;
};

//==============================================================================
inline std::string Base64(std::string_view bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > bytes.size() ? '=' : kDigits[group >> (18 - 6 * i) & 63];
    }
  }
  return text;
}

// The platform's metadata store: ranges and watches, as PROTOCOL.md describes them.
class store_stand_in {
 public:
  store_stand_in(const std::string& ip, int port)
      : listener_(ip, port, [this](stream& at) { Serve(at); }) {}

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    item& put = items_[key];
    const std::uint64_t created = put.json.empty() ? revision_ : put.created;
    put = {.json = "", .created = created, .revision = revision_};
    put.json = "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
               "\",\"revision\":" + std::to_string(revision_) +
               ",\"create_revision\":" + std::to_string(created) + ",\"lease\":0}";
    changes_.emplace_back(revision_, put.json);
    changed_.notify_all();
  }

 private:
  struct item {
    std::string json;
    std::uint64_t created = 0;
    std::uint64_t revision = 0;
  };

  static std::string Parameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  std::string Answer(const std::string& target) {
    std::unique_lock lock(mutex_);
    const std::string prefix = Parameter(target, "prefix");
    std::string list;
    const auto add = [&list](const std::string& json) { list += (list.empty() ? "" : ",") + json; };
    if (target.starts_with("/cuminferry/kv-watch")) {
      const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
      const int wait = std::atoi(Parameter(target, "wait_ms").c_str());
      changed_.wait_for(lock, milliseconds(wait), [&] { return revision_ > after; });
      for (const auto& [revision, json] : changes_) {
        if (revision > after) {
          add(json);
        }
      }
      return "{\"events\":[" + list + "],\"current_rev\":" + std::to_string(revision_) + "}";
    }
    for (const auto& [key, found] : items_) {
      if (key.starts_with(prefix)) {
        add(found.json);
      }
    }
    return "{\"items\":[" + list +
           "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}";
  }

  void Serve(stream& at) {
    while (const auto head = at.ReadHead(60'000)) {
      const std::string body = Answer(head->Word(1));
      if (!at.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<std::pair<std::uint64_t, std::string>> changes_;
  std::uint64_t revision_ = 100;
  listener listener_;
};

//==============================================================================
// Fills the settings template of the deploy file; knows the placeholders that it uses.
inline std::string Render(std::string text, const std::map<std::string, std::string>& json) {
  const auto value_of = [&](const std::string& name) {
    const auto found = json.find(name);
    return found == json.end() ? std::string() : found->second;
  };
  std::size_t at = 0;
  while ((at = text.find("{{#", at)) != std::string::npos) {
    const auto name_end = text.find("}}", at);
    const std::string name = text.substr(at + 3, name_end - at - 3);
    const std::string close = "{{/" + name + "}}";
    const auto end = text.find(close, at);
    std::string inner = text.substr(name_end + 2, end - name_end - 2);
    const std::string value = value_of(name);
    if (value.empty() || value == "false") {
      inner.clear();
    }
    for (auto dot = inner.find("{{.|json}}"); dot != std::string::npos;
         dot = inner.find("{{.|json}}")) {
      inner.replace(dot, 10, value);
    }
    text.replace(at, end + close.size() - at, inner);
  }
  while ((at = text.find("{{")) != std::string::npos) {
    const auto end = text.find("}}", at);
    std::string name = text.substr(at + 2, end - at - 2);
    std::string value;
    if (name.ends_with("|json")) {
      value = value_of(name.substr(0, name.size() - 5));
    } else {
      value = value_of(name);
      std::erase(value, '"');
    }
    text.replace(at, end + 2 - at, value);
  }
  return text;
}

struct service_spec {
  std::string name;
  int max_conns = 512;
};

// The platform of one small deployment: its store, the machines' settings and processes, and
// the heartbeats of the servers. A machine is a loopback address.
class platform {
 public:
  struct machine {
    std::string ip;
    std::string service;
    std::string zone;
    std::string target_id;
    int capacity = 16;
    pid_t pid = -1;
    std::string settings_path;
    bool registered = false;
    int sequence = 1;
  };

  // Bounds of the sheet that claim.txt names.
  std::map<std::string, std::string> bounds{{"budget_ratio", "0.2"},
                                            {"retry_slack", "48"},
                                            {"budget_window_s", "10"},
                                            {"drain_ms", "2000"},
                                            {"grace_s", "6"}};

  platform(std::string folder, record_file& record) : folder_(std::move(folder)), record_(record) {
    ChooseAddresses();
    store_ = std::make_unique<store_stand_in>(store_ip_, store_port);
  }

  ~platform() { StopAll(); }

  int outbound_port = 0;
  int ready_port = 0;
  int peer_port = 0;
  int control_port = 0;
  int app_port = 0;
  int store_port = 0;

  store_stand_in& store() { return *store_; }
  machine& at(std::size_t number) { return *machines_[number]; }

  std::size_t AddMachine(const std::string& service, const std::string& zone, int capacity) {
    auto added = std::make_unique<machine>();
    const std::size_t number = machines_.size();
    added->ip = subnet_ + std::to_string(number + 1);
    added->service = service;
    added->zone = zone;
    added->capacity = capacity;
    added->target_id = "i-" + Hash(added->ip + folder_).substr(0, 8);
    machines_.push_back(std::move(added));
    return number;
  }

  // Writes the entry of the machine's server, as the server's heartbeat does.
  void Register(std::size_t number) {
    machine& of = at(number);
    of.registered = true;
    store_->Put("servers/" + of.target_id,
                "{\"service\":\"" + of.service + "\",\"addr\":\"" + of.ip + ":" +
                    std::to_string(app_port) + "\",\"zone\":\"" + of.zone +
                    "\",\"version\":\"v1\",\"capacity\":" + std::to_string(of.capacity) +
                    ",\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":" +
                    std::to_string(of.sequence++) + "}");
  }

  void StartHeartbeats() {
    std::thread([this] {
      while (true) {
        Sleep(1'500);
        for (std::size_t number = 0; number < machines_.size(); ++number) {
          Register(number);
        }
      }
    }).detach();
  }

  // Starts the node of a machine with the command of the deploy file.
  void StartNode(std::size_t number) {
    machine& of = at(number);
    const auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
    const auto address = [&](int port) { return quoted(of.ip + ":" + std::to_string(port)); };
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, machines_.size()); ++i) {
      seeds += (i == 0 ? "" : ",") + quoted(at(i).ip + ":" + std::to_string(control_port));
    }
    std::map<std::string, std::string> json{
        {"node", quoted("side-" + std::to_string(number))},
        {"service", quoted(of.service)},
        {"zone", quoted(of.zone)},
        {"ip", quoted(of.ip)},
        {"listen.outbound", address(outbound_port)},
        {"listen.ready", address(ready_port)},
        {"listen.control", address(control_port)},
        {"internal_ports.0", std::to_string(peer_port)},
        {"app_addr", address(app_port)},
        {"platform.addr", quoted(store_ip_ + ":" + std::to_string(store_port))},
        {"seeds", "[" + seeds + "]"}};
    for (const auto& [name, value] : bounds) {
      json["bounds." + name] = value;
    }
    std::ifstream file("deploy/settings.json.template");
    std::stringstream text;
    text << file.rdbuf();
    of.settings_path = folder_ + "/side-" + std::to_string(number) + ".json";
    std::ofstream(of.settings_path) << Render(text.str(), json);
    const std::string log = folder_ + "/side-" + std::to_string(number) + ".log";
    const std::string boot = "CUMINFERRY_BOOT=" + of.settings_path;
    of.pid = ::fork();
    if (of.pid == 0) {
      // The node ends with this program, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* arguments[] = {kProgram, nullptr};
      const char* variables[] = {boot.c_str(), "PATH=/usr/bin:/bin", nullptr};
      ::execve(kProgram, const_cast<char**>(arguments), const_cast<char**>(variables));
      ::_exit(127);
    }
    record_.Line("node " + of.ip + " started");
  }

  bool IsReady(std::size_t number) {
    stream probe(Connect(at(number).ip, ready_port));
    if (probe.fd() < 0 || !probe.Send("GET /cuminferry/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto head = probe.ReadHead(500);
    return head && head->status() == 200;
  }

  bool AwaitReady(int millis = 15'000) {
    const auto until = steady::now() + milliseconds(millis);
    for (std::size_t number = 0; number < machines_.size(); ++number) {
      while (!IsReady(number)) {
        if (steady::now() > until) {
          return false;
        }
        Sleep(50);
      }
    }
    return true;
  }

  void Signal(std::size_t number, int signal) {
    if (at(number).pid > 0) {
      record_.Line("node " + at(number).ip + " gets signal " + std::to_string(signal));
      ::kill(at(number).pid, signal);
    }
  }

  // Waits for the process's end; returns false if it is still running after the time.
  bool AwaitEnd(std::size_t number, int millis) {
    machine& of = at(number);
    for (int waited = 0; waited < millis; waited += 10) {
      int status = 0;
      if (of.pid <= 0 || ::waitpid(of.pid, &status, WNOHANG) == of.pid) {
        record_.Line("node " + of.ip + " has ended, wait status " + std::to_string(status));
        of.pid = -1;
        return true;
      }
      Sleep(10);
    }
    return false;
  }

  void StopAll() {
    for (const auto& of : machines_) {
      if (of->pid > 0) {
        ::kill(of->pid, SIGKILL);
        ::waitpid(of->pid, nullptr, 0);
        of->pid = -1;
      }
    }
  }

 private:
  static constexpr int kMostMachines = 4;
  static constexpr const char* kProgram = "target/platform/cuminferry";
  static constexpr int kMetricsPort = 9464;

  // Chooses loopback addresses and ports that are free. The metrics' port is that of the deploy
  // file, the same at all addresses.
  void ChooseAddresses() {
    for (int tried = 0; tried < 200; ++tried) {
      const int number = ::getpid() + tried * 37;
      subnet_ = "127.0." + std::to_string(1 + number % 250) + ".";
      const int base = 20'000 + number % 500 * 20;
      bool is_free = true;
      for (int machine = 1; machine <= kMostMachines + 1; ++machine) {
        for (const int port :
             {base, base + 1, base + 2, base + 3, base + 4, base + 5, kMetricsPort}) {
          const int fd = Listen(subnet_ + std::to_string(machine), port);
          is_free = is_free && fd >= 0;
          ::close(fd);
        }
      }
      if (is_free) {
        outbound_port = base;
        ready_port = base + 1;
        peer_port = base + 2;
        control_port = base + 3;
        app_port = base + 4;
        store_port = base + 5;
        store_ip_ = subnet_ + std::to_string(kMostMachines + 1);
        return;
      }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
  }

  std::string subnet_;
  std::string store_ip_;
  std::string folder_;
  record_file& record_;
  std::unique_ptr<store_stand_in> store_;
  std::vector<std::unique_ptr<machine>> machines_;
};

//==============================================================================
struct route_spec {
  std::string name;
  std::string kind;
  std::string service;
  int timeout_ms;
  int slo_ms;
  int priority;
};

// A configuration in the form of the store's key op/config.
inline std::string Config(const std::vector<route_spec>& routes,
                          const std::vector<std::string>& services) {
  std::string list;
  for (const route_spec& route : routes) {
    list += "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + route.name +
            "\"},\"spec\":{\"host\":\"review.example\",\"prefix\":\"/" + route.name +
            "/\",\"kind\":\"" + route.kind +
            "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
            ",\"slo_ms\":" + std::to_string(route.slo_ms) +
            ",\"priority\":" + std::to_string(route.priority) + ",\"service\":\"" + route.service +
            "\",\"attempts\":2}},";
  }
  for (const std::string& service : services) {
    list += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":1198,\"protocol\":\"h1\","
            "\"tls\":false}},";
  }
  return "{\"version\":\"00000007\",\"base_version\":\"00000005\",\"resources\":[" + list +
         "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"header_bytes\":16384,\"body_bytes\":"
         "67108864,\"header_ms\":3000,\"idle_ms\":15000}}]}";
}

// Answers a health check and a request for another instance, like every sound server; true if
// the request was one of these.
inline bool AnswerCommon(stream& at, const message& head, const std::string& own_id) {
  if (head.Word(1) == "/healthz") {
    at.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCuminferry-Instance-Id: " + own_id +
            "\r\n\r\n");
    return true;
  }
  const std::string expected = head.Field("Cuminferry-Expect-Instance");
  if (!expected.empty() && expected != own_id) {
    std::string body;
    at.ReadBody(head, body, 5'000);
    at.Send("HTTP/1.1 421 Misdirected Request\r\nCuminferry-Request-Id: " +
            head.Field("Cuminferry-Request-Id") + "\r\nCuminferry-Instance-Id: " + own_id +
            "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  return false;
}

inline std::string SignedHead(const message& request, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nCuminferry-Request-Id: " + request.Field("Cuminferry-Request-Id") +
         "\r\nCuminferry-Response-Seal: seal." + request.Field("Cuminferry-Request-Id") + "\r\n" +
         framing + "\r\n";
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
