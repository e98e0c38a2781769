#include "cuminferry_node/backend/backend_client.h"

#include <absl/synchronization/notification.h>

#include <optional>
#include <string>

#include "backend/scripted_backend.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr std::chrono::seconds kLongTimeout{20};
constexpr std::chrono::milliseconds kShortTimeout{150};
/** The stack size of the node's worker threads. */
constexpr std::size_t kWorkerStackBytes = 256 * 1024;
constexpr char kHelloAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

backend_request PostRequest() {
  backend_request request;
  request.method = "POST";
  request.target = "/permits";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = R"({"litres":40000})";
  request.deadline = boot_clock::Now() + kLongTimeout;
  request.idempotent = false;
  return request;
}

backend_request GetRequest() {
  backend_request request;
  request.method = "GET";
  request.target = "/map";
  request.deadline = boot_clock::Now() + kLongTimeout;
  return request;
}

/** A script that reads one PostRequest() completely, writes `answer` and closes. */
scripted_backend::script AnswerWith(std::string answer) {
  return [answer = std::move(answer)](raw_connection& connection, int) {
    connection.ReadHead();
    connection.ReadBody(PostRequest().body.size());
    connection.Write(answer);
  };
}

}  // namespace

class backend_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(backend_client_test);
  CPPUNIT_TEST(Send_WholeAnswer_IsPassedOn);
  CPPUNIT_TEST(Send_ClosedUnread_IsNotResent);
  CPPUNIT_TEST(Send_ClosedAfterReading_HasNoCompleteAnswerAndIsNotResent);
  CPPUNIT_TEST(Send_AnswerCutAnywhere_IsNeverAnswered);
  CPPUNIT_TEST(Send_ChunksCutAnywhere_AreNeverAnswered);
  CPPUNIT_TEST(Send_InvalidChunkEnd_HasNoCompleteAnswer);
  CPPUNIT_TEST(Send_AmbiguousFraming_HasNoCompleteAnswer);
  CPPUNIT_TEST(Send_NeverAnswered_TimesOutAndIsNotResent);
  CPPUNIT_TEST(Send_AnswerTrickles_EndsAtDeadline);
  CPPUNIT_TEST(Send_LateAnswer_IsNotReadAsTheNextAnswer);
  CPPUNIT_TEST(Send_MoreThanTheStatedLength_HasNoCompleteAnswerAndConnectionIsClosed);
  CPPUNIT_TEST(Send_IdleConnectionResetDuringRequest_IsNotResent);
  CPPUNIT_TEST(Send_IdleConnectionClosed_UsesNewOne);
  CPPUNIT_TEST(Send_NonIdempotent_NeverReusesAConnection);
  CPPUNIT_TEST(Send_RedirectAndChallenge_AreAnswers);
  CPPUNIT_TEST(Send_InterimAnswer_HasNoCompleteAnswer);
  CPPUNIT_TEST(Send_ShedDuringUpload_IsShed);
  CPPUNIT_TEST(Send_UploadOfUnknownLength_ArrivesWhole);
  CPPUNIT_TEST(Send_UploadAborted_LeavesBodyUnterminated);
  CPPUNIT_TEST(Send_Cancelled_EndsAtOnce);
  CPPUNIT_TEST(Send_AnswerTooLarge_IsBounded);
  CPPUNIT_TEST(Send_HostileHead_IsBounded);
  CPPUNIT_TEST(Send_AnyBytesAsAnswer_EndsOnce);
  CPPUNIT_TEST(Send_LineBreakInHeader_IsNotSent);
  CPPUNIT_TEST(Send_PortNotListening_IsNotSent);
  CPPUNIT_TEST(QueryHealth_AnyText_IsParsed);
  CPPUNIT_TEST_SUITE_END();

  static backend_answer SendTo(const scripted_backend& backend, const backend_request& request) {
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    return client.Send(request, cancel);
  }

  static void AssertOutcome(backend_outcome expected, const backend_answer& answer) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(answer.outcome));
  }

 public:
  void Send_WholeAnswer_IsPassedOn() {
    scripted_backend backend(AnswerWith(
        "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\nX-Field: 7\r\nKeep-Alive: 3\r\n\r\nhello"));
    const backend_answer answer = SendTo(backend, PostRequest());
    AssertOutcome(backend_outcome::kAnswered, answer);
    CPPUNIT_ASSERT_EQUAL(404, answer.http_status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.body);
    CPPUNIT_ASSERT_EQUAL(DigestOf("hello"), answer.body_digest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.headers.size());
  }

  // A restarting backend server accepts a connection and closes it unread. A client library that
  // resends the request by itself would file the permit twice if the first copy was read after
  // all.
  void Send_ClosedUnread_IsNotResent() {
    scripted_backend backend([](raw_connection& connection, int) { connection.Reset(); });
    const backend_answer answer = SendTo(backend, PostRequest());
    CPPUNIT_ASSERT(answer.outcome == backend_outcome::kNotSent ||
                   answer.outcome == backend_outcome::kNoCompleteAnswer);
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // The backend server crashes after it has read the request. It is unknown whether the permit was
  // filed, so the outcome must not be kNotSent.
  void Send_ClosedAfterReading_HasNoCompleteAnswerAndIsNotResent() {
    scripted_backend backend(AnswerWith(""));
    AssertOutcome(backend_outcome::kNoCompleteAnswer, SendTo(backend, PostRequest()));
    CPPUNIT_ASSERT_EQUAL(1, backend.request_count());
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // A connection can close after any byte of an answer. If the part before it were returned as the
  // answer, the caller would read a permit without its last lines.
  void Send_AnswerCutAnywhere_IsNeverAnswered() {
    CheckProperty("a truncated answer is never returned", [] {
      const std::string whole = kHelloAnswer;
      const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
      scripted_backend backend(AnswerWith(whole.substr(0, length)));
      RC_ASSERT(SendTo(backend, PostRequest()).outcome == backend_outcome::kNoCompleteAnswer);
      RC_ASSERT(backend.request_count() == 1);
    });
  }

  // The same as the test before, for a chunked answer, which has no length to compare with.
  void Send_ChunksCutAnywhere_AreNeverAnswered() {
    CheckProperty("truncated chunks are never returned", [] {
      const std::string whole =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n";
      const auto length = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
      scripted_backend backend(AnswerWith(whole.substr(0, length)));
      const backend_answer answer = SendTo(backend, PostRequest());
      RC_ASSERT((answer.outcome == backend_outcome::kAnswered) == (length == whole.size()));
      RC_ASSERT(answer.body == (length == whole.size() ? "helloyou" : ""));
    });
  }

  // If a chunk is longer than its stated length, the HTTP library stops there and returns the bytes
  // read so far as the complete answer, although it is truncated.
  void Send_InvalidChunkEnd_HasNoCompleteAnswer() {
    scripted_backend backend(AnswerWith(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloyou\r\n0\r\n\r\n"));
    AssertOutcome(backend_outcome::kNoCompleteAnswer, SendTo(backend, PostRequest()));
  }

  // With two lengths, an invalid length or none, it is ambiguous which bytes belong to the answer.
  // The caller could receive a truncated answer or a part of another one.
  void Send_AmbiguousFraming_HasNoCompleteAnswer() {
    for (const char* fields :
         {"Content-Length: 2\r\nContent-Length: 5\r\n", "Content-Length: 5x\r\n",
          "Content-Length: -1\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\n", "X-None: 1\r\n"}) {
      scripted_backend backend(
          AnswerWith(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nhello"));
      AssertOutcome(backend_outcome::kNoCompleteAnswer, SendTo(backend, PostRequest()));
      CPPUNIT_ASSERT_EQUAL(1, backend.request_count());
    }
  }

  // The backend server reads the request and never answers. The caller waits until its deadline,
  // and the request must not be sent a second time.
  void Send_NeverAnswered_TimesOutAndIsNotResent() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.AwaitClose();
    });
    for (const bool idempotent : {false, true}) {
      backend_request request = PostRequest();
      request.idempotent = idempotent;
      request.deadline = boot_clock::Now() + kShortTimeout;
      AssertOutcome(backend_outcome::kTimedOut, SendTo(backend, request));
    }
    CPPUNIT_ASSERT_EQUAL(2, backend.request_count());
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  // An answer that arrives byte by byte restarts the library's own timeout with each byte. The call
  // would occupy its worker long after the caller's deadline.
  void Send_AnswerTrickles_EndsAtDeadline() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
      for (int sent = 0; sent < 200; ++sent) {
        connection.Write("x");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
    backend_request request = GetRequest();
    request.deadline = boot_clock::Now() + kShortTimeout;
    AssertOutcome(backend_outcome::kTimedOut, SendTo(backend, request));
    CPPUNIT_ASSERT(boot_clock::Now() < request.deadline + std::chrono::seconds(1));
  }

  // An answer arrives after its request timed out. If the connection were reused, the next caller
  // would receive that answer.
  void Send_LateAnswer_IsNotReadAsTheNextAnswer() {
    absl::Notification timed_out;
    scripted_backend backend([&](raw_connection& connection, int number) {
      connection.ReadHead();
      if (number == 0) {
        timed_out.WaitForNotification();
      }
      connection.Write(number == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
                                   : kHelloAnswer);
    });
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    backend_request first = GetRequest();
    first.deadline = boot_clock::Now() + kShortTimeout;
    AssertOutcome(backend_outcome::kTimedOut, client.Send(first, cancel));
    timed_out.Notify();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), client.Send(GetRequest(), cancel).body);
  }

  // A length that is too small truncates the answer, and the remaining bytes would be read as the
  // head of the next answer on the same connection.
  void Send_MoreThanTheStatedLength_HasNoCompleteAnswerAndConnectionIsClosed() {
    scripted_backend backend([](raw_connection& connection, int number) {
      connection.ReadHead();
      connection.Write(number == 0 ? std::string(kHelloAnswer) + kHelloAnswer : kHelloAnswer);
      connection.AwaitClose();
    });
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    AssertOutcome(backend_outcome::kNoCompleteAnswer, client.Send(GetRequest(), cancel));
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  // The backend server closes an idle connection while a request is being sent on it. It is unknown
  // whether it read the request: if the library resent it, it could run twice, and kNotSent could
  // be wrong.
  void Send_IdleConnectionResetDuringRequest_IsNotResent() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.Write(kHelloAnswer);
      connection.AwaitBytes();
      connection.Reset();
    });
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    AssertOutcome(backend_outcome::kNoCompleteAnswer, client.Send(GetRequest(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // The backend server closed the idle connection before the request. The client detects this and
  // opens a new connection.
  void Send_IdleConnectionClosed_UsesNewOne() {
    absl::Notification closed;
    scripted_backend backend([&](raw_connection& connection, int number) {
      connection.ReadHead();
      connection.Write(kHelloAnswer);
      if (number == 0) {
        connection.Reset();
        closed.Notify();
      }
    });
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    closed.WaitForNotification();
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  void Send_NonIdempotent_NeverReusesAConnection() {
    scripted_backend backend([](raw_connection& connection, int) {
      while (!connection.ReadHead().empty()) {
        connection.Write(kHelloAnswer);
      }
    });
    backend_client client({.backend = backend.address()});
    cancel_token cancel;
    backend_request post = PostRequest();
    post.body.clear();
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    AssertOutcome(backend_outcome::kAnswered, client.Send(GetRequest(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
    AssertOutcome(backend_outcome::kAnswered, client.Send(post, cancel));
    AssertOutcome(backend_outcome::kAnswered, client.Send(post, cancel));
    CPPUNIT_ASSERT_EQUAL(3, backend.connections());
    CPPUNIT_ASSERT_EQUAL(4, backend.request_count());
  }

  // Many HTTP libraries react to a redirect or an authentication challenge by resending the
  // request, which could then run twice.
  void Send_RedirectAndChallenge_AreAnswers() {
    for (const char* status : {"302 Found\r\nLocation: /permits", "307 Again\r\nLocation: /permits",
                               "401 Who\r\nWWW-Authenticate: Digest realm=\"r\", nonce=\"n\"",
                               "407 Who\r\nProxy-Authenticate: Digest realm=\"r\"",
                               "503 Later\r\nRetry-After: 0", "304 Not Modified"}) {
      scripted_backend backend(
          AnswerWith(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n"));
      AssertOutcome(backend_outcome::kAnswered, SendTo(backend, PostRequest()));
      CPPUNIT_ASSERT_EQUAL(1, backend.request_count());
      CPPUNIT_ASSERT_EQUAL(1, backend.connections());
    }
  }

  void Send_InterimAnswer_HasNoCompleteAnswer() {
    scripted_backend backend(
        AnswerWith(std::string("HTTP/1.1 100 Continue\r\n\r\n") + kHelloAnswer));
    AssertOutcome(backend_outcome::kNoCompleteAnswer, SendTo(backend, PostRequest()));
    CPPUNIT_ASSERT_EQUAL(1, backend.request_count());
  }

  // A backend server rejects a long upload after its head and stops reading. Sending the rest would
  // cause a connection reset that discards the rejection, and the caller would get the outcome
  // "unknown" for an upload that did not run.
  void Send_ShedDuringUpload_IsShed() {
    for (const bool length_known : {false, true}) {
      absl::Notification answered;
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        connection.Write("HTTP/1.1 503 Full\r\nCuminferry-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        answered.Notify();
        connection.AwaitClose();
      });
      int parts = 0;
      backend_request request = PostRequest();
      if (length_known) {
        request.headers.push_back({"Content-Length", "400000000"});
      }
      request.more_body = [&](std::string& part) {
        answered.WaitForNotification();
        part.assign(100'000, 'x');
        return ++parts < 4000;
      };
      AssertOutcome(backend_outcome::kShed, SendTo(backend, request));
      CPPUNIT_ASSERT(parts < 1000);
    }
  }

  void Send_UploadOfUnknownLength_ArrivesWhole() {
    const std::string expected = "10\r\n{\"litres\":40000}\r\n3\r\nabc\r\n0\r\n\r\n";
    std::string arrived;
    scripted_backend backend([&](raw_connection& connection, int) {
      connection.ReadHead();
      arrived = connection.ReadBody(expected.size());
      connection.Write(kHelloAnswer);
    });
    backend_request request = PostRequest();
    request.more_body = [was_supplied = false](std::string& part) mutable {
      part = was_supplied ? "" : "abc";
      was_supplied = true;
      return true;
    };
    AssertOutcome(backend_outcome::kAnswered, SendTo(backend, request));
    CPPUNIT_ASSERT_EQUAL(expected, arrived);
  }

  // A caller disconnects during an upload. If the chunked body were terminated properly, the
  // backend server would store the first part as a complete upload.
  void Send_UploadAborted_LeavesBodyUnterminated() {
    std::string arrived;
    {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        arrived = connection.ReadBody(1000);
      });
      backend_request request = PostRequest();
      request.more_body = [](std::string&) { return false; };
      AssertOutcome(backend_outcome::kCancelled, SendTo(backend, request));
    }
    CPPUNIT_ASSERT(arrived.find("\r\n0\r\n") == std::string::npos);
  }

  void Send_Cancelled_EndsAtOnce() {
    cancel_token cancel;
    scripted_backend backend([&](raw_connection& connection, int) {
      connection.ReadHead();
      cancel.Cancel();
      connection.AwaitClose();
    });
    backend_client client({.backend = backend.address()});
    AssertOutcome(backend_outcome::kCancelled, client.Send(PostRequest(), cancel));
    AssertOutcome(backend_outcome::kNotSent, client.Send(PostRequest(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  void Send_AnswerTooLarge_IsBounded() {
    for (const char* answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\nhello!\r\n"}) {
      scripted_backend backend(AnswerWith(answer));
      backend_request request = PostRequest();
      request.max_answer_bytes = 10;
      AssertOutcome(backend_outcome::kAnswerTooLarge, SendTo(backend, request));
    }
  }

  // A backend server that sends an endless list of headers or an endless status line would exhaust
  // the node's memory or overflow a worker's small stack.
  void Send_HostileHead_IsBounded() {
    std::string many_headers = "HTTP/1.1 200 OK\r\n";
    for (int field = 0; field < 20'000; ++field) {
      many_headers += "X-Field-" + std::to_string(field) + ": 1\r\n";
    }
    const std::string long_status_line = "HTTP/1.1 200 " + std::string(1'000'000, 'O') + "\r\n\r\n";
    for (const std::string& answer : {many_headers, long_status_line}) {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        connection.Write(answer);
      });
      joined_thread worker("worker", kWorkerStackBytes, [&] {
        AssertOutcome(backend_outcome::kNoCompleteAnswer, SendTo(backend, PostRequest()));
      });
    }
  }

  // A faulty backend server, or another program that listens on its port, can send any bytes. The
  // node must complete the call with one outcome and keep working.
  void Send_AnyBytesAsAnswer_EndsOnce() {
    CheckProperty("any bytes complete the call", [] {
      const std::string valid =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
      std::string answer = *rc::gen::element(valid, std::string(kHelloAnswer));
      const int changes = *rc::gen::inRange(1, 8);
      for (int change = 0; change < changes; ++change) {
        answer[*rc::gen::inRange<std::size_t>(0, answer.size())] = *rc::gen::arbitrary<char>();
      }
      scripted_backend backend(AnswerWith(answer));
      const backend_answer received = SendTo(backend, PostRequest());
      RC_ASSERT(received.outcome == backend_outcome::kAnswered ||
                received.outcome == backend_outcome::kNoCompleteAnswer ||
                received.outcome == backend_outcome::kAnswerTooLarge);
      RC_ASSERT(backend.request_count() == 1);
    });
  }

  // A line break in a header value that is forwarded unchanged starts a second request on the
  // connection, which has passed no admission.
  void Send_LineBreakInHeader_IsNotSent() {
    scripted_backend backend(AnswerWith(kHelloAnswer));
    backend_request value = PostRequest();
    value.headers.push_back({"X-Note", "a\r\n\r\nPOST /permits HTTP/1.1"});
    backend_request name = PostRequest();
    name.headers.push_back({"X-Note: a\r\nX", "b"});
    backend_request target = PostRequest();
    target.target = "/permits HTTP/1.1\r\n\r\nPOST /permits";
    for (const backend_request& request : {value, name, target}) {
      AssertOutcome(backend_outcome::kNotSent, SendTo(backend, request));
    }
    CPPUNIT_ASSERT_EQUAL(0, backend.connections());
  }

  void Send_PortNotListening_IsNotSent() {
    std::optional<scripted_backend> backend(std::in_place, AnswerWith(kHelloAnswer));
    const endpoint unused_address = backend->address();
    backend.reset();
    backend_client client({.backend = unused_address});
    cancel_token cancel;
    AssertOutcome(backend_outcome::kNotSent, client.Send(PostRequest(), cancel));
  }

  void QueryHealth_AnyText_IsParsed() {
    const auto query_health = [](const std::string& body) {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
      });
      return backend_client({.backend = backend.address()}).QueryHealth(kLongTimeout);
    };
    const backend_health reported = query_health(R"({"state":"draining","load":7.5,"slots":160})");
    CPPUNIT_ASSERT(reported.reachable && reported.draining && !reported.starting);
    CPPUNIT_ASSERT_EQUAL(1.0, reported.load);
    CPPUNIT_ASSERT_EQUAL(160U, reported.slots);
    for (const char* malformed : {"", "[", "[]", R"({"state":1,"load":"x","slots":-4})", "null"}) {
      const backend_health health = query_health(malformed);
      CPPUNIT_ASSERT(health.reachable && !health.draining && health.slots == 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_client_test);

}  // namespace cuminferry::testing
