#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "relay/raw_server.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

// The stated aim is "at once"; requests have 4 s.
constexpr duration kAtOnce = milliseconds(500);
constexpr char kFields[] = "Id: 1\r\nSignature: signed\r\n";
constexpr char kOfBrokenAnswer[] = "of-the-broken-answer";
constexpr char kLaterAnswer[] =
    "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: signed\r\nContent-Length: 5\r\n\r\nlater";
constexpr char kSoundAnswer[] =
    "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: signed\r\nContent-Length: 5\r\n\r\nsound";

/** Two nodes of one failure domain. The first request that either backend server gets is answered
    by a test's bytes, later ones by a sound answer. */
struct raw_targets {
  relay_fleet fleet{2, 1};
  int asked = 0;
  std::array<std::unique_ptr<raw_server>, 2> targets;

  explicit raw_targets(const std::string& first_answer) {
    fleet.PublishToAll(1);
    for (int node = 0; node < 2; ++node) {
      fleet.StopTarget(node);
      targets.at(static_cast<std::size_t>(node)) =
          std::make_unique<raw_server>(fleet.loop(), fleet.SettingsOf(node).backend,
                                       [this, first_answer](raw_server& target, std::string_view) {
                                         target.Send(++asked == 1 ? first_answer : kSoundAnswer);
                                       });
    }
  }

  /** Sends a request and returns its answer, if one comes at once. */
  std::shared_ptr<client_result> Get(const std::string& path) {
    const auto result = fleet.Send(0, relay_fleet::Get(path, "1"));
    fleet.RunUntil([&] { return result->status() != 0 || result->ended; }, kAtOnce);
    return result;
  }

  int ended_connections() const { return targets[0]->ended() + targets[1]->ended(); }

  /** Whether one of the nodes counts an answer of its backend server as no answer. */
  bool CountsInvalidAnswer() {
    std::array<std::shared_ptr<client_result>, 2> metrics;
    for (int node = 0; node < 2; ++node) {
      metrics.at(static_cast<std::size_t>(node)) =
          fleet.SendTo(fleet.SettingsOf(node).metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    return fleet.RunUntil(
        [&] {
          return std::ranges::any_of(metrics, [](const auto& text) {
            return text->Contains("cuminferry_invalid_answers_total{from=\"backend\"");
          });
        },
        kAtOnce);
  }
};

/** An answer with this head, a body, and another answer behind it. */
std::string BrokenAnswer(const std::string& first_line, const std::string& fields) {
  return first_line + "\r\n" + fields + "Content-Length: 20\r\n\r\n" + kOfBrokenAnswer +
         kLaterAnswer;
}

/** Sends answers to a client by way of a node, and collects which of them were taken for answers.
 */
class refusal_check {
 public:
  /** Neither an answer nor an interim one may come of these bytes, and nothing of what is behind
      them. */
  void Add(const std::string& name, const std::string& bytes) {
    raw_targets once(bytes);
    const auto unknown = once.Get("/once/x");
    const bool is_failed_at_once = unknown->status() == 502 && once.asked == 1;
    const bool is_silent = !unknown->Contains(kOfBrokenAnswer) && !unknown->Contains("later");
    const bool is_connection_ended =
        once.fleet.RunUntil([&] { return once.ended_connections() == 1; }, kAtOnce);
    const bool is_counted = once.CountsInvalidAnswer();
    raw_targets safe(bytes);
    const bool is_served_elsewhere = safe.Get("/safe/x")->Contains("sound") && safe.asked == 2;
    if (!is_failed_at_once || !is_silent || !is_connection_ended || !is_counted ||
        !is_served_elsewhere) {
      problems_ += "\n" + name + ": status " + std::to_string(unknown->status()) +
                   (is_silent ? "" : ", passed on") +
                   (is_connection_ended ? "" : ", connection kept") +
                   (is_counted ? "" : ", not counted") +
                   (is_served_elsewhere ? "" : ", not served elsewhere");
    }
  }

  const std::string& problems() const { return problems_; }

 private:
  std::string problems_;
};

}  // namespace

class broken_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_head_test);
  CPPUNIT_TEST(Status_ThatHttpDoesNotHave_IsNoAnswer);
  CPPUNIT_TEST(Head_ThatHttpAllows_ArrivesWhole);
  CPPUNIT_TEST(Field_ThatHttpDoesNotAllow_IsNoAnswer);
  CPPUNIT_TEST(Coding_ThatNobodyAskedFor_IsNoAnswer);
  CPPUNIT_TEST(ChunkLine_ThatHttpDoesNotAllow_EndsTheAnswer);
  CPPUNIT_TEST(InterimAnswer_WithALength_HasNoBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer whose status means nothing, passed on to a client or taken for an
  // interim one, so that the request waits until its deadline or gets what comes behind.
  void Status_ThatHttpDoesNotHave_IsNoAnswer() {
    refusal_check check;
    for (const std::string status : {"000 OK", "010 OK", "099 OK", "600 OK", "999 OK", "20 OK",
                                     "2 OK", "0200 OK", "2000 OK", "-200 OK", "2OO OK", "200OK",
                                     "OK", "101 Switching Protocols", "200 O\x01K", "200 O\rK"}) {
      check.Add(status, BrokenAnswer("HTTP/1.1 " + status, kFields));
    }
    for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1.10", "HTTP"}) {
      check.Add(version, BrokenAnswer(version + " 200 OK", kFields));
    }
    check.Add("000 without a length",
              std::string("HTTP/1.1 000 OK\r\n") + kFields + "\r\n" + kOfBrokenAnswer);
    check.Add("000 in chunks", std::string("HTTP/1.1 000 OK\r\n") + kFields +
                                   "Transfer-Encoding: chunked\r\n\r\n14\r\n" + kOfBrokenAnswer +
                                   "\r\n0\r\n\r\n" + kLaterAnswer);
    check.Add("000 behind an interim answer",
              "HTTP/1.1 103 Early Hints\r\n\r\n" + BrokenAnswer("HTTP/1.1 000 OK", kFields));
    CPPUNIT_ASSERT_EQUAL(std::string(), check.problems());
  }

  // Guards against a head that two readers understand differently, passed on with a line that its
  // client can't read, or with a body of another length than the one that the target meant.
  void Field_ThatHttpDoesNotAllow_IsNoAnswer() {
    refusal_check check;
    const std::string status = "HTTP/1.1 200 OK";
    for (const std::string field :
         {"Bad Name: x", "Bad : x", "Bad\t: x", "\001Bad: x", "B\001ad: x", "Bad\x7F: x",
          "B\xC3\xA9: x", "B(ad): x", ": x", "Bad", "Bad: x\x01y", "Bad: x\x7F", "Bad: x\ry: z",
          "Bad: x\nOther: z", "Not-Run : 1", "Content Length: 4"}) {
      check.Add(field, BrokenAnswer(status, std::string(kFields) + field + "\r\n"));
      check.Add(field + " as the first one",
                BrokenAnswer(status, std::string(field) + "\r\n" + kFields));
      check.Add(field + " of an interim answer", "HTTP/1.1 103 Early Hints\r\n" +
                                                     std::string(field) + "\r\n\r\n" +
                                                     BrokenAnswer(status, kFields));
    }
    for (const std::string first : {" Bad: x", "\tBad: x", " "}) {
      check.Add(first + " as the first line", BrokenAnswer(status, first + "\r\n" + kFields));
    }
    const std::string nul(1, '\0');
    check.Add("NUL in a name", BrokenAnswer(status, kFields + ("B" + nul) + "ad: x\r\n"));
    check.Add("NUL in a value", BrokenAnswer(status, kFields + ("Bad: " + nul) + "x\r\n"));
    for (const std::string length :
         {"Content-Length : 20", "Content-Length: 20\r\nContent-Length: 21", "Content-Length: -20",
          "Content-Length: 20 0"}) {
      check.Add(length,
                status + "\r\n" + kFields + length + "\r\n\r\n" + kOfBrokenAnswer + kLaterAnswer);
    }
    check.Add("no line feed at the end", status + "\r\n" + kFields + "Content-Length: 20\r\n\rX" +
                                             kOfBrokenAnswer + kLaterAnswer);
    CPPUNIT_ASSERT_EQUAL(std::string(), check.problems());
  }

  // Guards against a body that arrives with its coding, as the field that names it applies to one
  // connection alone.
  void Coding_ThatNobodyAskedFor_IsNoAnswer() {
    refusal_check check;
    const std::string chunks =
        std::string("\r\n\r\n14\r\n") + kOfBrokenAnswer + "\r\n0\r\n\r\n" + kLaterAnswer;
    for (const std::string coding :
         {"chunkedx", "xchunked", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "chunked\r\nTransfer-Encoding: chunked", "identity", "",
          "chunked\r\nContent-Length: 20"}) {
      check.Add(coding, std::string("HTTP/1.1 200 OK\r\n") + kFields +
                            "Transfer-Encoding: " + coding + chunks);
    }
    check.Add("chunks before HTTP/1.1",
              std::string("HTTP/1.0 200 OK\r\n") + kFields + "Transfer-Encoding: chunked" + chunks);
    check.Add("a blank before the colon", std::string("HTTP/1.1 200 OK\r\n") + kFields +
                                              "Transfer-Encoding : chunked" + chunks);
    CPPUNIT_ASSERT_EQUAL(std::string(), check.problems());
  }

  // Guards against a body whose chunks were read otherwise than they were meant, and that arrives
  // with a last chunk all the same.
  void ChunkLine_ThatHttpDoesNotAllow_EndsTheAnswer() {
    std::string problems;
    const std::string head =
        std::string("HTTP/1.1 200 OK\r\n") + kFields + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string body :
         {"5 0\r\nsound\r\n0\r\n\r\n", "5\rXsound\r\n0\r\n\r\n", "5\r\nsoundXY0\r\n\r\n",
          "5\r\nsound\r\n0\r\n\rX", "5\r\nsound\r\n0\rX\r\n", "5;\x01\r\nsound\r\n0\r\n\r\n",
          "5\r\nsound\r\n0\r\nBad Name: x\r\n\r\n", "5\nsound\n0\n\n", " 5\r\nsound\r\n0\r\n\r\n",
          "\r\nsound\r\n0\r\n\r\n", "-5\r\nsound\r\n0\r\n\r\n", "0x5\r\nsound\r\n0\r\n\r\n"}) {
      raw_targets at(head + body);
      const auto result = at.Get("/once/x");
      at.fleet.RunUntil([&] { return result->ended; }, kAtOnce);
      const bool is_cut = result->status() == 502 || result->reset;
      const bool has_last_chunk = result->Contains("\r\n0\r\n\r\n");
      if (!is_cut || has_last_chunk || !at.CountsInvalidAnswer()) {
        problems += "\n" + body;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
  }

  // Guards against an interim answer that takes the first bytes of the final one for its body.
  void InterimAnswer_WithALength_HasNoBody() {
    for (const std::string field : {"Content-Length: 5", "Transfer-Encoding: chunked"}) {
      raw_targets at("HTTP/1.1 100 Continue\r\n" + field + "\r\n\r\n" + kSoundAnswer);
      const auto result = at.Get("/once/x");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 200, result->status());
      CPPUNIT_ASSERT_MESSAGE(field, result->bytes.ends_with("sound"));
    }
  }

  void Head_ThatHttpAllows_ArrivesWhole() {
    const std::string fields = kFields;
    const std::string length = "Content-Length: 5\r\n\r\nsound";
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string final_answer = status + fields + length;
    for (const std::string& bytes :
         {final_answer, "HTTP/1.0 200 OK\r\n" + fields + length,
          "HTTP/1.1 200\r\n" + fields + length,
          "HTTP/1.1 299 \xC3\xA9t\xC3\xA9\t!\r\n" + fields + length,
          status + fields + "!#$%&'*+-.^_`|~09azAZ: \xC3\xA9 \t\"\r\n" + length,
          status + fields + "Folded: first\r\n second\r\n\tthird\r\nEmpty:\r\n" + length,
          std::string("HTTP/1.1 200 OK\nId: 1\nSignature: signed\nContent-Length: 5\n\nsound"),
          status + fields + "Transfer-Encoding: Chunked\r\n\r\n5 ;x=y\r\nsound\r\n0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n" + final_answer,
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 \r\n\r\n" + final_answer}) {
      raw_targets at(bytes);
      const auto result = at.Get("/once/x");
      CPPUNIT_ASSERT_MESSAGE(bytes, result->status() == 200 || result->status() == 299);
      CPPUNIT_ASSERT_MESSAGE(bytes, at.fleet.RunUntil([&] { return result->Contains("sound"); }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_head_test);

}  // namespace cuminferry::testing
