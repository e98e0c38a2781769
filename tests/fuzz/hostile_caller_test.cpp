#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "cuminferry_node/http/http_server.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;

/** A caller that sends arbitrary bytes over a TCP socket. */
class raw_caller {
 public:
  explicit raw_caller(endpoint to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.address);
    address.sin_port = htons(to.port);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~raw_caller() { ::close(socket_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  /** Returns false once the server has closed the connection. */
  bool Send(std::string_view bytes) {
    return connected_ && ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
  }

  /** Returns all bytes that arrive until the server closes the connection. */
  std::string ReadToEnd() {
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t got = 0; (got = ::recv(socket_, part.data(), part.size(), 0)) > 0;) {
      text.append(part.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

 private:
  int socket_;
  bool connected_ = false;
};

}  // namespace

class hostile_caller_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hostile_caller_test);
  CPPUNIT_TEST(Server_EndlessHeaders_ClosesTheConnection);
  CPPUNIT_TEST(Server_HeadInSingleBytes_ClosesTheConnection);
  CPPUNIT_TEST(Server_AnyHead_ServesTheNextCaller);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::chrono::seconds kReadTimeout{1};

  http_server server_{{.threads = 2, .read_timeout = kReadTimeout},
                      [](const http_request&, http_response& response) { response.body = "ok"; }};
  endpoint at_{kLoopback, 0};

  void AssertServes() {
    raw_caller caller(at_);
    caller.Send("GET /map HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadToEnd().starts_with("HTTP/1.1 200"));
  }

 public:
  void setUp() override { CPPUNIT_ASSERT(server_.Start(at_).ok()); }
  void tearDown() override { server_.Stop(); }

  // A caller sends headers without end. The HTTP library stores each of them; without a limit, one
  // caller would exhaust the node's memory until the operating system kills the process.
  void Server_EndlessHeaders_ClosesTheConnection() {
    constexpr std::size_t kExcessiveBytes = 64 << 20;
    std::string fields;
    for (int field = 0; field < 1000; ++field) {
      fields += "X-" + std::to_string(field) + ": 0123456789\r\n";
    }
    raw_caller caller(at_);
    caller.Send("GET / HTTP/1.1\r\n");
    std::size_t sent = 0;
    while (sent < kExcessiveBytes && caller.Send(fields)) {
      sent += fields.size();
    }
    CPPUNIT_ASSERT(sent < kExcessiveBytes);
    AssertServes();
  }

  // A caller sends single bytes at intervals. Each byte restarts the library's timeout, so a few
  // such callers would occupy all threads, and no other caller would be served.
  void Server_HeadInSingleBytes_ClosesTheConnection() {
    raw_caller caller(at_);
    const instant give_up_at = boot_clock::Now() + 10 * kReadTimeout;
    while (boot_clock::Now() < give_up_at && caller.Send("x")) {
      ::usleep(20'000);
    }
    CPPUNIT_ASSERT(boot_clock::Now() < give_up_at);
    AssertServes();
  }

  void Server_AnyHead_ServesTheNextCaller() {
    CheckProperty("the server survives any head", [this](const std::string& bytes) {
      raw_caller caller(at_);
      caller.Send("POST /permits HTTP/1.1\r\nContent-Length: 1\r\n" + bytes + "\r\n\r\n");
    });
    AssertServes();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hostile_caller_test);

}  // namespace cuminferry::testing
