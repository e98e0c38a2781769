#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "cuminferry_caller/cuminferry_caller.h"
#include "stand_ins/http/http_host.h"
#include "support/property.h"

namespace cuminferry {
namespace {

constexpr endpoint kAnyLocal{0x7F000001, 0};

// A server that accepts one connection, sends a fixed text and closes the connection.
class raw_server {
 public:
  explicit raw_server(std::string text) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    static_cast<void>(::bind(socket_, reinterpret_cast<sockaddr*>(&address), size));
    ::listen(socket_, 1);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    at_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
    thread_ = std::thread([this, text = std::move(text)] { AnswerOne(text); });
  }
  ~raw_server() {
    thread_.join();
    ::close(socket_);
  }
  endpoint address() const { return at_; }

 private:
  void AnswerOne(const std::string& text) const {
    const int connection = ::accept(socket_, nullptr, nullptr);
    char request[2048];
    static_cast<void>(!::read(connection, request, sizeof(request)));
    static_cast<void>(!::write(connection, text.data(), text.size()));
    ::close(connection);
  }

  int socket_;
  endpoint at_;
  std::thread thread_;
};

transport_request PostTo(endpoint to) {
  return {.to = to, .method = "POST", .path = "/permits", .headers = {}, .body = "draw"};
}

}  // namespace

class http_transport_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_transport_test);
  CPPUNIT_TEST(Answer_Complete_IsReturnedWithHeaders);
  CPPUNIT_TEST(Answer_Truncated_IsNoAnswer);
  CPPUNIT_TEST(Answer_ConnectionClosedFirst_IsNoAnswerAndNotSentAgain);
  CPPUNIT_TEST(Answer_TooLarge_IsNoAnswer);
  CPPUNIT_TEST(Port_NothingListens_IsNotConnected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Answer_Complete_IsReturnedWithHeaders() {
    stand_ins::http_host host({});
    host.SetHandler([](const stand_ins::incoming_request& request, httplib::Response& response) {
      response.set_header(header_names::kOutcome, "completed");
      response.set_content(request.head.method + request.body, "text/plain");
    });
    CPPUNIT_ASSERT(host.Start(kAnyLocal).ok());
    const transport_answer answer = MakeHttpTransport()(PostTo(host.address()));
    CPPUNIT_ASSERT(answer.outcome == transport_outcome::kAnswered);
    CPPUNIT_ASSERT(answer.Header("cuminferry-end") == "completed");
    CPPUNIT_ASSERT_EQUAL(std::string("POSTdraw"), answer.body);
  }

  // Guards against a truncated answer, from a node that crashed while sending, being used as a
  // complete one.
  void Answer_Truncated_IsNoAnswer() {
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf a m");
    const transport_answer answer = MakeHttpTransport()(PostTo(server.address()));
    CPPUNIT_ASSERT(answer.outcome == transport_outcome::kNoAnswer);
  }

  // Guards against an HTTP library that sends the request again when the node closes the connection
  // without an answer. The server accepts only one connection, so a second request would time out.
  void Answer_ConnectionClosedFirst_IsNoAnswerAndNotSentAgain() {
    const raw_server server("");
    const transport_answer answer = MakeHttpTransport()(PostTo(server.address()));
    CPPUNIT_ASSERT(answer.outcome == transport_outcome::kNoAnswer);
  }

  // Guards against an unbounded answer filling the caller's memory.
  void Answer_TooLarge_IsNoAnswer() {
    stand_ins::http_host host({});
    host.SetHandler([](const stand_ins::incoming_request&, httplib::Response& response) {
      response.set_content(std::string(5000, 'x'), "text/plain");
    });
    CPPUNIT_ASSERT(host.Start(kAnyLocal).ok());
    const transport_answer answer = MakeHttpTransport(4000)(PostTo(host.address()));
    CPPUNIT_ASSERT(answer.outcome == transport_outcome::kNoAnswer);
  }

  void Port_NothingListens_IsNotConnected() {
    endpoint closed_endpoint;
    {
      stand_ins::http_host host({});
      host.SetHandler([](const stand_ins::incoming_request&, httplib::Response&) {});
      CPPUNIT_ASSERT(host.Start(kAnyLocal).ok());
      closed_endpoint = host.address();
    }
    CPPUNIT_ASSERT(MakeHttpTransport()(PostTo(closed_endpoint)).outcome ==
                   transport_outcome::kNotConnected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_transport_test);

}  // namespace cuminferry
