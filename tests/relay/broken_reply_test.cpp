#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "cuminferry_relay/path/health_probe.h"
#include "cuminferry_relay/path/peer_queries.h"
#include "relay/raw_server.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr duration kAtOnce = milliseconds(500);
constexpr endpoint kAnyPort{.address = 0x7F000001, .port = 0};
constexpr char kOfBrokenAnswer[] = "of-the-broken-answer";

/** Answers whose heads HTTP doesn't allow, with a body and another answer behind it. */
std::vector<std::string> BrokenAnswers() {
  const std::string fields = "Id: 1\r\nSignature: signed\r\n";
  const std::string rest = fields + "Content-Length: 20\r\n\r\n" + kOfBrokenAnswer +
                           "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nlater";
  return {"HTTP/1.1 000 OK\r\n" + rest, "HTTP/1.1 600 OK\r\n" + rest,
          "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + rest, "HTTP/1.1 200 OK\r\nBad : x\r\n" + rest,
          "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunkedx\r\n\r\n" + kOfBrokenAnswer};
}

/** Two nodes of which the second one is a stand-in; requests at the first one go there. */
struct raw_peer_fleet {
  relay_fleet fleet{2};
  std::unique_ptr<raw_server> peer;

  explicit raw_peer_fleet(raw_server::data_hook on_data) {
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    fleet.StopNode(1);
    peer = std::make_unique<raw_server>(fleet.loop(), fleet.PeerAddress(1), std::move(on_data));
  }

  std::shared_ptr<client_result> Get() {
    const auto result = fleet.Send(0, relay_fleet::Get("/once/x", "1"));
    fleet.RunUntil([&] { return result->status() != 0 || result->ended; }, kAtOnce);
    return result;
  }
};

}  // namespace

class broken_reply_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_reply_test);
  CPPUNIT_TEST(AnswerOfAnotherNode_HeadThatHttpDoesNotAllow_IsNoAnswer);
  CPPUNIT_TEST(AnswerOfAnotherNode_ResetWithItsFirstPart_LooksIncomplete);
  CPPUNIT_TEST(ReplyOfAnotherNode_Broken_IsNoReply);
  CPPUNIT_TEST(HealthAnswer_Broken_IsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a broken answer that reaches a client by way of another node, say of another
  // release, which takes it for one.
  void AnswerOfAnotherNode_HeadThatHttpDoesNotAllow_IsNoAnswer() {
    for (const std::string& answer : BrokenAnswers()) {
      // Before the other node has asked for the request's release, it can't run the request.
      CheckIsNoAnswer(answer, 503);
      CheckIsNoAnswer("HTTP/1.1 100 Continue\r\n\r\n" + answer, 502);
    }
  }

  // Guards against a part of an answer that arrives as the whole: the other node's process ends,
  // and its kernel resets the connection.
  void AnswerOfAnotherNode_ResetWithItsFirstPart_LooksIncomplete() {
    raw_peer_fleet at([](raw_server& peer, std::string_view bytes) {
      if (bytes.starts_with("GET /once/")) {
        peer.SendAndReset("HTTP/1.1 200 OK\r\nId: 1\r\nSignature: signed\r\n" +
                          std::string(kResetsIfCutField) + ": 1\r\n\r\nfirst part");
      }
    });
    const auto result = at.Get();
    CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->ended; }, kAtOnce));
    CPPUNIT_ASSERT(result->status() != 200 || result->reset);
  }

  // Guards against a reply between nodes that is taken for one, or for an interim one until its
  // time is over.
  void ReplyOfAnotherNode_Broken_IsNoReply() {
    std::vector<std::string> replies = BrokenAnswers();
    // Nodes state the length of their replies.
    replies.emplace_back("HTTP/1.1 200 OK\r\n\r\nuntil the close");
    for (const std::string& reply : replies) {
      event_loop loop;
      relay_board board(loop, {});
      peer_queries queries(board, "test");
      raw_server peer(loop, kAnyPort,
                      [&reply](raw_server& at, std::string_view) { at.SendAndReset(reply); });
      std::optional<std::optional<std::string>> received;
      queries.Send({.peer = peer.address(), .target = "/relay/test", .limit = 2 * kAtOnce},
                   [&](std::optional<std::string> found) {
                     received = std::move(found);
                     loop.Stop();
                   });
      const instant began = loop.Now();
      loop.Run();
      CPPUNIT_ASSERT_MESSAGE(reply, received.has_value() && !received->has_value());
      CPPUNIT_ASSERT_MESSAGE(reply, loop.Now() - began < kAtOnce);
    }
  }

  // Guards against a backend server that is taken for healthy, or for another instance, by bytes
  // that are no answer.
  void HealthAnswer_Broken_IsNoAnswer() {
    std::vector<std::string> answers = BrokenAnswers();
    answers.emplace_back("HTTP/1.1 200 OK\r\n\r\ni-1");
    for (const std::string& answer : answers) {
      event_loop loop;
      raw_server backend(loop, kAnyPort,
                         [&answer](raw_server& at, std::string_view) { at.SendAndReset(answer); });
      bool was_answered = true;
      int invalid = 0;
      health_probe probe(
          loop, backend.address(),
          [&](const health_probe::answer* found) {
            was_answered = found != nullptr;
            loop.Stop();
          },
          [&](const invalid_answer& found) {
            invalid += found.server == backend.address() ? 1 : 0;
          });
      probe.Send("/health");
      loop.Run();
      CPPUNIT_ASSERT_MESSAGE(answer, !was_answered);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, answer == answers.back() ? 0 : 1, invalid);
    }
  }

 private:
  static void CheckIsNoAnswer(const std::string& bytes, int status) {
    raw_peer_fleet at([&bytes](raw_server& peer, std::string_view request) {
      if (request.starts_with("GET /once/")) {
        peer.Send(bytes);
      }
    });
    const auto result = at.Get();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, status, result->status());
    CPPUNIT_ASSERT_MESSAGE(bytes, !result->Contains(kOfBrokenAnswer));
    const auto metrics =
        at.fleet.SendTo(at.fleet.SettingsOf(0).metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(bytes, at.fleet.RunUntil([&] {
      return metrics->Contains("cuminferry_invalid_answers_total{from=\"peer\"");
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_reply_test);

}  // namespace cuminferry::testing
