#include "cuminferry_node/backend/backend_client.h"

#include <absl/synchronization/notification.h>

#include <optional>
#include <string>

#include "backend/scripted_backend.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr std::chrono::seconds kAmple{20};
constexpr std::chrono::milliseconds kShort{150};
/** As the node's workers have it. */
constexpr std::size_t kWorkerStack = 256 * 1024;
constexpr char kHello[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

backend_request Filing() {
  backend_request request;
  request.method = "POST";
  request.target = "/permits";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = R"({"litres":40000})";
  request.deadline = boot_clock::Now() + kAmple;
  request.idempotent = false;
  return request;
}

backend_request Reading() {
  backend_request request;
  request.method = "GET";
  request.target = "/map";
  request.deadline = boot_clock::Now() + kAmple;
  return request;
}

/** Reads one filing whole and then plays `answer` and closes. */
scripted_backend::script AnswerWith(std::string answer) {
  return [answer = std::move(answer)](raw_connection& connection, int) {
    connection.ReadHead();
    connection.ReadBody(Filing().body.size());
    connection.Write(answer);
  };
}

}  // namespace

class backend_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(backend_client_test);
  CPPUNIT_TEST(Send_WholeAnswer_IsPassedOn);
  CPPUNIT_TEST(Send_ClosedUnread_IsNotSentAgain);
  CPPUNIT_TEST(Send_ClosedAfterReading_IsBrokenOffAndNotSentAgain);
  CPPUNIT_TEST(Send_AnswerCutAnywhere_IsNeverAnswered);
  CPPUNIT_TEST(Send_ChunksCutAnywhere_AreNeverAnswered);
  CPPUNIT_TEST(Send_DamagedChunkEnd_IsBrokenOff);
  CPPUNIT_TEST(Send_DoubtfulFraming_IsBrokenOff);
  CPPUNIT_TEST(Send_Swallowed_TimesOutAndIsNotSentAgain);
  CPPUNIT_TEST(Send_AnswerTrickles_EndsAtDeadline);
  CPPUNIT_TEST(Send_LateAnswer_IsNotTakenForTheNextOne);
  CPPUNIT_TEST(Send_MoreThanTheStatedLength_IsBrokenOffAndNotKept);
  CPPUNIT_TEST(Send_IdleConnectionResetAsRequestGoes_IsNotSentAgain);
  CPPUNIT_TEST(Send_IdleConnectionClosed_UsesNewOne);
  CPPUNIT_TEST(Send_NonIdempotent_NeverUsesAnOldConnection);
  CPPUNIT_TEST(Send_RedirectAndChallenge_AreAnswers);
  CPPUNIT_TEST(Send_InterimAnswer_IsBrokenOff);
  CPPUNIT_TEST(Send_ShedDuringUpload_IsShed);
  CPPUNIT_TEST(Send_UploadOfUnknownLength_ArrivesWhole);
  CPPUNIT_TEST(Send_UploadBrokenOff_LeavesBodyUnfinished);
  CPPUNIT_TEST(Send_Cancelled_EndsAtOnce);
  CPPUNIT_TEST(Send_AnswerTooLarge_IsBounded);
  CPPUNIT_TEST(Send_HostileHead_IsBounded);
  CPPUNIT_TEST(Send_AnyBytesAsAnswer_EndsOnce);
  CPPUNIT_TEST(Send_LineBreakInHeader_IsNotSent);
  CPPUNIT_TEST(Send_NobodyListens_IsNotSent);
  CPPUNIT_TEST(AskHealth_AnyText_IsRead);
  CPPUNIT_TEST_SUITE_END();

  static backend_answer SendTo(const scripted_backend& backend, const backend_request& request) {
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    return client.Send(request, cancel);
  }

  static void AssertEnd(backend_end expected, const backend_answer& answer) {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(answer.end));
  }

 public:
  void Send_WholeAnswer_IsPassedOn() {
    scripted_backend backend(AnswerWith(
        "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\nX-Field: 7\r\nKeep-Alive: 3\r\n\r\nhello"));
    const backend_answer answer = SendTo(backend, Filing());
    AssertEnd(backend_end::kAnswered, answer);
    CPPUNIT_ASSERT_EQUAL(404, answer.http_status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.body);
    CPPUNIT_ASSERT_EQUAL(DigestOf("hello"), answer.body_digest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.headers.size());
  }

  // A backend server that restarts accepts a connection and closes it unread.
  // A client library that tries again by itself would file the permit twice,
  // once the first copy turns out to have been read after all.
  void Send_ClosedUnread_IsNotSentAgain() {
    scripted_backend backend([](raw_connection& connection, int) { connection.Reset(); });
    const backend_answer answer = SendTo(backend, Filing());
    CPPUNIT_ASSERT(answer.end == backend_end::kNotSent || answer.end == backend_end::kBrokenOff);
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // The backend server dies with the request in its hands. Whether the permit
  // was filed cannot be known, so the answer must not be "not sent".
  void Send_ClosedAfterReading_IsBrokenOffAndNotSentAgain() {
    scripted_backend backend(AnswerWith(""));
    AssertEnd(backend_end::kBrokenOff, SendTo(backend, Filing()));
    CPPUNIT_ASSERT_EQUAL(1, backend.arrivals());
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // A connection may end after any byte of an answer. A caller that is given
  // the part before it reads a permit that lacks its last lines.
  void Send_AnswerCutAnywhere_IsNeverAnswered() {
    CheckProperty("a cut answer is no answer", [] {
      const std::string whole = kHello;
      const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
      scripted_backend backend(AnswerWith(whole.substr(0, length)));
      RC_ASSERT(SendTo(backend, Filing()).end == backend_end::kBrokenOff);
      RC_ASSERT(backend.arrivals() == 1);
    });
  }

  // The same for an answer in chunks, which has no length to compare with.
  void Send_ChunksCutAnywhere_AreNeverAnswered() {
    CheckProperty("cut chunks are no answer", [] {
      const std::string whole =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n";
      const auto length = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
      scripted_backend backend(AnswerWith(whole.substr(0, length)));
      const backend_answer answer = SendTo(backend, Filing());
      RC_ASSERT((answer.end == backend_end::kAnswered) == (length == whole.size()));
      RC_ASSERT(answer.body == (length == whole.size() ? "helloyou" : ""));
    });
  }

  // A chunk is longer than its length says. The HTTP library stops there and
  // calls what it has the whole answer; the caller would get a part.
  void Send_DamagedChunkEnd_IsBrokenOff() {
    scripted_backend backend(AnswerWith(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloyou\r\n0\r\n\r\n"));
    AssertEnd(backend_end::kBrokenOff, SendTo(backend, Filing()));
  }

  // Two lengths, a length that is no number, or none: which bytes are the
  // answer is open, and a caller could get a part or somebody else's.
  void Send_DoubtfulFraming_IsBrokenOff() {
    for (const char* fields :
         {"Content-Length: 2\r\nContent-Length: 5\r\n", "Content-Length: 5x\r\n",
          "Content-Length: -1\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\n", "X-None: 1\r\n"}) {
      scripted_backend backend(
          AnswerWith(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nhello"));
      AssertEnd(backend_end::kBrokenOff, SendTo(backend, Filing()));
      CPPUNIT_ASSERT_EQUAL(1, backend.arrivals());
    }
  }

  // The backend server took the request and says nothing, ever. The caller
  // waits to its deadline, and the request must not go out a second time.
  void Send_Swallowed_TimesOutAndIsNotSentAgain() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.AwaitClose();
    });
    for (const bool idempotent : {false, true}) {
      backend_request request = Filing();
      request.idempotent = idempotent;
      request.deadline = boot_clock::Now() + kShort;
      AssertEnd(backend_end::kTimedOut, SendTo(backend, request));
    }
    CPPUNIT_ASSERT_EQUAL(2, backend.arrivals());
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  // An answer that drips byte by byte renews the library's own time-out with
  // each byte: the call would hold its worker long after the caller has gone.
  void Send_AnswerTrickles_EndsAtDeadline() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
      for (int sent = 0; sent < 200; ++sent) {
        connection.Write("x");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
    backend_request request = Reading();
    request.deadline = boot_clock::Now() + kShort;
    AssertEnd(backend_end::kTimedOut, SendTo(backend, request));
    CPPUNIT_ASSERT(boot_clock::Now() < request.deadline + std::chrono::seconds(1));
  }

  // An answer comes after its request timed out. On a connection that is used
  // again, the next caller would read it as its own.
  void Send_LateAnswer_IsNotTakenForTheNextOne() {
    absl::Notification timed_out;
    scripted_backend backend([&](raw_connection& connection, int number) {
      connection.ReadHead();
      if (number == 0) {
        timed_out.WaitForNotification();
      }
      connection.Write(number == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate" : kHello);
    });
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    backend_request first = Reading();
    first.deadline = boot_clock::Now() + kShort;
    AssertEnd(backend_end::kTimedOut, client.Send(first, cancel));
    timed_out.Notify();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), client.Send(Reading(), cancel).body);
  }

  // A wrong length cuts the answer, and its rest would be read as the head of
  // the next answer on the same connection.
  void Send_MoreThanTheStatedLength_IsBrokenOffAndNotKept() {
    scripted_backend backend([](raw_connection& connection, int number) {
      connection.ReadHead();
      connection.Write(number == 0 ? std::string(kHello) + kHello : kHello);
      connection.AwaitClose();
    });
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    AssertEnd(backend_end::kBrokenOff, client.Send(Reading(), cancel));
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  // The backend server ends an idle connection just as a request goes out on
  // it. Whether it read the request is open: a repeat by the library would run
  // it twice, and "not sent" would be a guess.
  void Send_IdleConnectionResetAsRequestGoes_IsNotSentAgain() {
    scripted_backend backend([](raw_connection& connection, int) {
      connection.ReadHead();
      connection.Write(kHello);
      connection.AwaitBytes();
      connection.Reset();
    });
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    AssertEnd(backend_end::kBrokenOff, client.Send(Reading(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  // It ended the idle connection some time before: that can be seen, and costs
  // the caller nothing but a new connection.
  void Send_IdleConnectionClosed_UsesNewOne() {
    absl::Notification closed;
    scripted_backend backend([&](raw_connection& connection, int number) {
      connection.ReadHead();
      connection.Write(kHello);
      if (number == 0) {
        connection.Reset();
        closed.Notify();
      }
    });
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    closed.WaitForNotification();
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    CPPUNIT_ASSERT_EQUAL(2, backend.connections());
  }

  void Send_NonIdempotent_NeverUsesAnOldConnection() {
    scripted_backend backend([](raw_connection& connection, int) {
      while (!connection.ReadHead().empty()) {
        connection.Write(kHello);
      }
    });
    backend_client client({.backend = backend.at()});
    cancel_token cancel;
    backend_request filing = Filing();
    filing.body.clear();
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    AssertEnd(backend_end::kAnswered, client.Send(Reading(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
    AssertEnd(backend_end::kAnswered, client.Send(filing, cancel));
    AssertEnd(backend_end::kAnswered, client.Send(filing, cancel));
    CPPUNIT_ASSERT_EQUAL(3, backend.connections());
    CPPUNIT_ASSERT_EQUAL(4, backend.arrivals());
  }

  // Libraries answer a redirect or a challenge by sending the request again.
  void Send_RedirectAndChallenge_AreAnswers() {
    for (const char* status : {"302 Found\r\nLocation: /permits", "307 Again\r\nLocation: /permits",
                               "401 Who\r\nWWW-Authenticate: Digest realm=\"r\", nonce=\"n\"",
                               "407 Who\r\nProxy-Authenticate: Digest realm=\"r\"",
                               "503 Later\r\nRetry-After: 0", "304 Not Modified"}) {
      scripted_backend backend(
          AnswerWith(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n"));
      AssertEnd(backend_end::kAnswered, SendTo(backend, Filing()));
      CPPUNIT_ASSERT_EQUAL(1, backend.arrivals());
      CPPUNIT_ASSERT_EQUAL(1, backend.connections());
    }
  }

  void Send_InterimAnswer_IsBrokenOff() {
    scripted_backend backend(AnswerWith(std::string("HTTP/1.1 100 Continue\r\n\r\n") + kHello));
    AssertEnd(backend_end::kBrokenOff, SendTo(backend, Filing()));
    CPPUNIT_ASSERT_EQUAL(1, backend.arrivals());
  }

  // A backend server sheds a season upload after its head and reads no further.
  // Pushing the rest at it would end in a reset that destroys its refusal, and
  // the cooperative would be told "unknown" of an upload that did not run.
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
      backend_request request = Filing();
      if (length_known) {
        request.headers.push_back({"Content-Length", "400000000"});
      }
      request.more_body = [&](std::string& part) {
        answered.WaitForNotification();
        part.assign(100'000, 'x');
        return ++parts < 4000;
      };
      AssertEnd(backend_end::kShed, SendTo(backend, request));
      CPPUNIT_ASSERT(parts < 1000);
    }
  }

  void Send_UploadOfUnknownLength_ArrivesWhole() {
    const std::string expected = "10\r\n{\"litres\":40000}\r\n3\r\nabc\r\n0\r\n\r\n";
    std::string arrived;
    scripted_backend backend([&](raw_connection& connection, int) {
      connection.ReadHead();
      arrived = connection.ReadBody(expected.size());
      connection.Write(kHello);
    });
    backend_request request = Filing();
    request.more_body = [given = false](std::string& part) mutable {
      part = given ? "" : "abc";
      given = true;
      return true;
    };
    AssertEnd(backend_end::kAnswered, SendTo(backend, request));
    CPPUNIT_ASSERT_EQUAL(expected, arrived);
  }

  // A caller goes away in the middle of an upload. If the body were closed
  // properly, the backend server would file half a season as a whole one.
  void Send_UploadBrokenOff_LeavesBodyUnfinished() {
    std::string arrived;
    {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        arrived = connection.ReadBody(1000);
      });
      backend_request request = Filing();
      request.more_body = [](std::string&) { return false; };
      AssertEnd(backend_end::kCancelled, SendTo(backend, request));
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
    backend_client client({.backend = backend.at()});
    AssertEnd(backend_end::kCancelled, client.Send(Filing(), cancel));
    AssertEnd(backend_end::kNotSent, client.Send(Filing(), cancel));
    CPPUNIT_ASSERT_EQUAL(1, backend.connections());
  }

  void Send_AnswerTooLarge_IsBounded() {
    for (const char* answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\nhello!\r\n"}) {
      scripted_backend backend(AnswerWith(answer));
      backend_request request = Filing();
      request.largest_answer = 10;
      AssertEnd(backend_end::kTooLarge, SendTo(backend, request));
    }
  }

  // A backend server that sends headers without end, or a status line without
  // end, would fill the node's memory or overflow a worker's small stack.
  void Send_HostileHead_IsBounded() {
    std::string many = "HTTP/1.1 200 OK\r\n";
    for (int field = 0; field < 20'000; ++field) {
      many += "X-Field-" + std::to_string(field) + ": 1\r\n";
    }
    const std::string long_line = "HTTP/1.1 200 " + std::string(1'000'000, 'O') + "\r\n\r\n";
    for (const std::string& answer : {many, long_line}) {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        connection.Write(answer);
      });
      joined_thread worker("worker", kWorkerStack,
                           [&] { AssertEnd(backend_end::kBrokenOff, SendTo(backend, Filing())); });
    }
  }

  // A backend server that is broken, or something else that listens on its port,
  // sends whatever it likes. The node must end the call, and go on.
  void Send_AnyBytesAsAnswer_EndsOnce() {
    CheckProperty("any bytes end the call", [] {
      const std::string valid =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
      std::string answer = *rc::gen::element(valid, std::string(kHello));
      const int changes = *rc::gen::inRange(1, 8);
      for (int change = 0; change < changes; ++change) {
        answer[*rc::gen::inRange<std::size_t>(0, answer.size())] = *rc::gen::arbitrary<char>();
      }
      scripted_backend backend(AnswerWith(answer));
      const backend_answer got = SendTo(backend, Filing());
      RC_ASSERT(got.end == backend_end::kAnswered || got.end == backend_end::kBrokenOff ||
                got.end == backend_end::kTooLarge);
      RC_ASSERT(backend.arrivals() == 1);
    });
  }

  // A line break in a header value, passed on as it is, begins a second request
  // on the connection, which nobody has weighed or counted.
  void Send_LineBreakInHeader_IsNotSent() {
    scripted_backend backend(AnswerWith(kHello));
    backend_request value = Filing();
    value.headers.push_back({"X-Note", "a\r\n\r\nPOST /permits HTTP/1.1"});
    backend_request name = Filing();
    name.headers.push_back({"X-Note: a\r\nX", "b"});
    backend_request target = Filing();
    target.target = "/permits HTTP/1.1\r\n\r\nPOST /permits";
    for (const backend_request& request : {value, name, target}) {
      AssertEnd(backend_end::kNotSent, SendTo(backend, request));
    }
    CPPUNIT_ASSERT_EQUAL(0, backend.connections());
  }

  void Send_NobodyListens_IsNotSent() {
    std::optional<scripted_backend> backend(std::in_place, AnswerWith(kHello));
    const endpoint gone = backend->at();
    backend.reset();
    backend_client client({.backend = gone});
    cancel_token cancel;
    AssertEnd(backend_end::kNotSent, client.Send(Filing(), cancel));
  }

  void AskHealth_AnyText_IsRead() {
    const auto ask = [](const std::string& body) {
      scripted_backend backend([&](raw_connection& connection, int) {
        connection.ReadHead();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
      });
      return backend_client({.backend = backend.at()}).AskHealth(kAmple);
    };
    const backend_health full = ask(R"({"state":"draining","load":7.5,"slots":160})");
    CPPUNIT_ASSERT(full.reachable && full.draining && !full.starting);
    CPPUNIT_ASSERT_EQUAL(1.0, full.load);
    CPPUNIT_ASSERT_EQUAL(160U, full.slots);
    for (const char* odd : {"", "[", "[]", R"({"state":1,"load":"x","slots":-4})", "null"}) {
      const backend_health health = ask(odd);
      CPPUNIT_ASSERT(health.reachable && !health.draining && health.slots == 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_client_test);

}  // namespace cuminferry::testing
