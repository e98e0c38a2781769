#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <optional>

#include "backend/scripted_backend.h"
#include "ctl/fleet/node_client.h"
#include "cuminferry_caller/cuminferry_caller.h"
#include "cuminferry_node/backend/backend_client.h"
#include "cuminferry_node/fleet/platform_client.h"

namespace cuminferry::testing {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};
// The stated aim is "at once".
constexpr duration kAtOnce = std::chrono::milliseconds(500);
constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Length: 5\r\n\r\nsound";
constexpr char kChunks[] = "Transfer-Encoding: chunked\r\n\r\n";

/** A reader of answers outside of the platform's program: sends a request and returns the body of
    its answer, or nothing if it got none. */
struct http_reader {
  std::string name;
  std::function<std::optional<std::string>(endpoint)> get;
  /** Whether the close of a connection may end an answer, and interim answers may come. */
  bool takes_any_sound_answer = true;
};

// Number of times that the own interface said what came in the place of an answer.
std::atomic<int> reported_answers = 0;

void OnInvalidAnswer(std::string_view /*problem*/) { ++reported_answers; }

std::optional<std::string> AskBackend(endpoint at) {
  backend_client client({.backend = at, .on_invalid_answer = OnInvalidAnswer});
  backend_request request;
  request.method = "GET";
  request.target = "/x";
  request.idempotent = true;
  request.deadline = boot_clock::Now() + kTimeout;
  cancel_token cancel;
  const backend_answer answer = client.Send(request, cancel);
  return answer.outcome == backend_outcome::kAnswered ? std::optional(answer.body) : std::nullopt;
}

std::optional<std::string> AskPlatform(endpoint at) {
  platform_client client(std::span(&at, 1), OnInvalidAnswer);
  const auto value = client.Read("key", kTimeout);
  return value.ok() ? std::optional(*value) : std::nullopt;
}

std::optional<std::string> AskAsCaller(endpoint at) {
  const transport_answer answer = MakeHttpTransport()(
      {.to = at, .method = "GET", .path = "/x", .headers = {}, .body = {}, .timeout = kTimeout});
  return answer.outcome == transport_outcome::kAnswered ? std::optional(answer.body) : std::nullopt;
}

std::optional<std::string> AskFromCommandLine(endpoint at) {
  const auto answer = ctl::Get(at, "/x", kTimeout);
  return answer.ok() ? std::optional(answer->body) : std::nullopt;
}

std::optional<std::string> PostFromCommandLine(endpoint at) {
  const auto answer = ctl::Post(at, "/x", kTimeout);
  return answer.ok() ? std::optional(answer->body) : std::nullopt;
}

std::vector<http_reader> AllReaders() {
  return {{"own interface to backend", AskBackend, false},
          {"own interface to platform", AskPlatform},
          {"caller", AskAsCaller},
          {"command line, GET", AskFromCommandLine},
          {"command line, POST", PostFromCommandLine}};
}

/** Sends these bytes to a reader and ends the connection. Returns what the reader took for the
    body; "late" if it took no answer, but only later than at once. */
std::optional<std::string> ReadOf(const http_reader& reader, const std::string& bytes,
                                  bool is_reset) {
  scripted_backend server([&](raw_connection& connection, int) {
    connection.ReadHead();
    connection.Write(bytes);
    if (is_reset) {
      connection.Reset();
    } else if (bytes.find("until close") == std::string::npos) {
      connection.AwaitClose();
    }
  });
  const instant began = boot_clock::Now();
  const auto body = reader.get(server.address());
  const bool is_late = !body && boot_clock::Now() - began > kAtOnce;
  return is_late ? std::optional<std::string>("late") : body;
}

std::vector<std::string> BrokenAnswers() {
  const std::string ok = kOk;
  std::vector<std::string> answers;
  for (const std::string status : {"000 OK", "099 OK", "600 OK", "999 OK", "20 OK", "0200 OK",
                                   "101 Switching Protocols", "200 O\x01K"}) {
    answers.push_back("HTTP/1.1 " + status + "\r\n" + kLength);
  }
  answers.push_back("HTTP/2.0 200 OK\r\n" + std::string(kLength));
  for (const std::string field : {"Bad Name: x", "Bad : x", " Bad: x", "B\001ad: x", "B\xC3\xA9: x",
                                  ": x", "Bad", "Bad: x\x01y", "Bad: x\nOther: z"}) {
    answers.push_back(ok + field + "\r\n" + kLength);
  }
  answers.push_back(ok + "Content-Length : 5\r\n\r\nsound");
  answers.push_back(ok + "Transfer-Encoding: chunkedx\r\n\r\n5\r\nsound\r\n0\r\n\r\n");
  for (const std::string body : {"5 0\r\nsound\r\n0\r\n\r\n", "5\r\nsoundXY0\r\n\r\n",
                                 "5\r\nsound\r\n0\r\nBad Name: x\r\n\r\n"}) {
    answers.push_back(ok + kChunks + body);
  }
  return answers;
}

}  // namespace

class broken_answer_clients_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_answer_clients_test);
  CPPUNIT_TEST(Answer_ThatHttpDoesNotAllow_IsNoAnswer);
  CPPUNIT_TEST(OwnInterface_BrokenAnswer_IsReported);
  CPPUNIT_TEST(Answer_CutByAReset_IsNoAnswer);
  CPPUNIT_TEST(Answer_ThatHttpAllows_IsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reader that takes bytes for an answer which mean nothing, or something else to
  // the next reader.
  void Answer_ThatHttpDoesNotAllow_IsNoAnswer() {
    std::string problems;
    for (const http_reader& reader : AllReaders()) {
      for (const std::string& bytes : BrokenAnswers()) {
        if (const auto body = ReadOf(reader, bytes, false)) {
          problems += "\n" + reader.name + " read '" + *body + "' from " + bytes.substr(0, 60);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }

  // Guards against a fault of the backend server, or of the platform, that no operator is told of.
  void OwnInterface_BrokenAnswer_IsReported() {
    for (const auto& ask : {AskBackend, AskPlatform}) {
      reported_answers = 0;
      CPPUNIT_ASSERT(
          !ReadOf({.name = "", .get = ask}, std::string("HTTP/1.1 000 OK\r\n") + kLength, false));
      CPPUNIT_ASSERT_EQUAL(1, reported_answers.load());
    }
  }

  // Guards against a part of an answer that is taken for the whole.
  void Answer_CutByAReset_IsNoAnswer() {
    std::string problems;
    for (const http_reader& reader : AllReaders()) {
      for (const std::string rest : {"\r\nsou", "Content-Length: 5\r\n\r\nsou",
                                     "Transfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n"}) {
        if (const auto body = ReadOf(reader, kOk + rest, true)) {
          problems += "\n" + reader.name + " read '" + *body + "' from " + rest;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }

  void Answer_ThatHttpAllows_IsRead() {
    std::string problems;
    const std::string answer = std::string(kOk) + kLength;
    for (const http_reader& reader : AllReaders()) {
      std::vector<std::string> sound{
          answer, std::string(kOk) + kChunks + "5;x=y\r\nsound\r\n0\r\n\r\n",
          "HTTP/1.1 200\r\nA!#$%&'*+-.^_`|~: \xC3\xA9 \r\n" + std::string(kLength)};
      if (reader.takes_any_sound_answer) {
        sound.push_back(std::string(kOk) + "X: until close\r\n\r\nsound");
        sound.push_back("HTTP/1.1 100 Continue\r\n\r\n" + answer);
        sound.push_back("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer);
      }
      for (const std::string& bytes : sound) {
        const auto body = ReadOf(reader, bytes, false);
        if (body != "sound") {
          problems += "\n" + reader.name + " read '" + body.value_or("nothing") + "' from " + bytes;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_clients_test);

}  // namespace cuminferry::testing
