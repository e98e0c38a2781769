#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "cuminferry_relay/path/peer_answer.h"
#include "cuminferry_relay/path/send_trail.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

std::string AnswerText(int status, std::string_view fields) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n" +
         std::string(fields) + "\r\n";
}

int StatusOf(relay_fleet& fleet, const std::string& text) {
  const auto result = fleet.Send(0, text);
  CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
  return result->status();
}

std::string MetricsOf(relay_fleet& fleet, int node) {
  const auto result = fleet.SendTo(fleet.SettingsOf(node).metrics,
                                   "GET " + fleet.SettingsOf(node).metrics_path +
                                       " HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
  CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->ended; }));
  return result->bytes;
}

/** A node whose own backend server is silent, and a stand-in for the node of the other one. */
struct peer_stand_in {
  relay_fleet fleet{2};
  std::unique_ptr<scripted_target> peer;
  int runs = 0;

  /** @param answer  sent in place of an answer of the serving side, once the body has arrived */
  explicit peer_stand_in(const std::string& answer) {
    fleet.SetUnlisted({0});
    fleet.PublishToAll(1);
    fleet.StopNode(1);
    peer = std::make_unique<scripted_target>(fleet.loop(), fleet.PeerAddress(1));
    peer->on_head = [](scripted_target::scripted_request& at) {
      at.connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
    };
    peer->on_request = [this, answer](scripted_target::scripted_request& at) {
      const bool is_call = at.request.Find(kCallField) != nullptr;
      runs += is_call ? 1 : 0;
      at.connection.Write(is_call ? answer : AnswerText(400, ""));
    };
  }
};

/** A calling node that holds the bodies of its requests back, on one connection to a real node. */
struct holding_caller {
  relay_fleet fleet{1};
  std::vector<std::string> bodies_run;
  std::string answer_fields;
  std::shared_ptr<client_result> result = std::make_shared<client_result>();
  std::unique_ptr<tcp_connection> connection;

  holding_caller() {
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [this](scripted_target::scripted_request& at) {
      bodies_run.push_back(at.body);
      std::string answer = scripted_target::Answer(at.request);
      answer.insert(answer.find("\r\n") + 2, answer_fields);
      at.connection.Write(answer);
    };
    connection = fleet.ConnectTo(fleet.PeerAddress(0), result);
  }

  static std::string Head(std::string_view id) {
    const call_header header{.row = "once",
                             .repeat = repeat_rule::kOnce,
                             .objective = std::chrono::seconds(1),
                             .objective_left = std::chrono::seconds(1),
                             .awaits_release = true,
                             .framing = body_framing::kLength,
                             .body_length = 6};
    return "POST /once/x HTTP/1.1\r\nHost: h\r\nId: " + std::string(id) +
           "\r\nInstance: i-0\r\nDeadline: 2000\r\nTransfer-Encoding: chunked\r\nExpect: "
           "100-continue\r\n" +
           std::string(kCallField) + ": " + header.ToText() + "\r\n\r\n";
  }
  static std::string Body(std::string_view six_bytes) {
    return "6\r\n" + std::string(six_bytes) + "\r\n0\r\n\r\n";
  }
  /** Waits for the text, and forgets what came before its end. */
  void Await(std::string_view text) {
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains(text); }));
    result->bytes.erase(0, result->bytes.find(text) + text.size());
  }
};

const relay_header_names kNames{.request_id = "Id", .not_executed = "Not-Run"};

http_head PeerHead(int status, std::string_view outcome, std::string_view id = {}) {
  http_head head;
  head.status = status;
  head.Set(kLoadField, load_header{}.ToText());
  if (!outcome.empty()) {
    head.Set(kOutcomeField, std::string(outcome));
  }
  if (!id.empty()) {
    head.Set("Id", std::string(id));
  }
  return head;
}

}  // namespace

/** What nodes take for proof that a request has not run. */
class not_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(not_run_test);
  CPPUNIT_TEST(Server_PromisesWithoutSayingSo_ClientGetsNoPromise);
  CPPUNIT_TEST(Server_SaysNotRun_ClientGetsThePromise);
  CPPUNIT_TEST(Peer_HttpLayerTimesOutAfterTheBody_ClientGetsNoPromise);
  CPPUNIT_TEST(Peer_PassesOnAPromisingStatus_ClientGetsNoPromise);
  CPPUNIT_TEST(Peer_OutcomeOfAnotherRequest_IsNotBelieved);
  CPPUNIT_TEST(Peer_OutcomeOfALaterRelease_IsNoPromise);
  CPPUNIT_TEST(Peer_BodyHeldBack_NoAnswerIsNeeded);
  CPPUNIT_TEST(Grant_BodyComesAfterItExpired_OnlyTheNextRequestRuns);
  CPPUNIT_TEST(Grant_WithdrawnWhileTheBodyIsSent_RequestNeverRuns);
  CPPUNIT_TEST(Rejection_AnswerFollowsOnTheIdleConnection_IsCounted);
  CPPUNIT_TEST(Rejection_AnswerFollowsBeforeTheNextOne_IsCounted);
  CPPUNIT_TEST(Trail_SentTwice_SaysWhoseWordEndedEachSend);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that ran and whose server answers 503, 429 or 408 by itself: the
  // client would take that for the promise that it has not run, and send it again.
  void Server_PromisesWithoutSayingSo_ClientGetsNoPromise() {
    for (const int status : {408, 429, 503}) {
      relay_fleet fleet(2);
      fleet.PublishToAll(1);
      for (const int node : {0, 1}) {
        fleet.target(node).on_request = [status](scripted_target::scripted_request& at) {
          at.connection.Write(
              AnswerText(status, "Id: " + *at.request.Find("Id") + "\r\nSignature: s\r\n"));
        };
      }
      CPPUNIT_ASSERT_EQUAL(502, StatusOf(fleet, relay_fleet::Post("/once/x", "1", "permit")));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
    }
  }

  void Server_SaysNotRun_ClientGetsThePromise() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& at) {
      at.connection.Write(AnswerText(503, "Id: " + *at.request.Find("Id") + "\r\nNot-Run: 1\r\n"));
    };
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, relay_fleet::Post("/once/x", "1", "permit")));
  }

  // Guards against a node's own 408 between nodes, which the calling node would pass on as a
  // promise though its target's node has got the body.
  void Peer_HttpLayerTimesOutAfterTheBody_ClientGetsNoPromise() {
    peer_stand_in world(AnswerText(408, ""));
    CPPUNIT_ASSERT_EQUAL(502, StatusOf(world.fleet, relay_fleet::Post("/once/x", "1", "permit")));
    CPPUNIT_ASSERT_EQUAL(1, world.runs);
  }

  // Guards against a node of the previous release, which passes on whatever its server answers.
  void Peer_PassesOnAPromisingStatus_ClientGetsNoPromise() {
    peer_stand_in world(AnswerText(503, std::string(kLoadField) + ": " + load_header{}.ToText() +
                                            "\r\nId: 1\r\nSignature: s\r\n"));
    CPPUNIT_ASSERT_EQUAL(502, StatusOf(world.fleet, relay_fleet::Post("/once/x", "1", "permit")));
    CPPUNIT_ASSERT_EQUAL(1, world.runs);
  }

  // Guards against the outcome of an earlier request on the same connection between two nodes.
  void Peer_OutcomeOfAnotherRequest_IsNotBelieved() {
    const asked_request asked{.request_id = "2", .body_released = true};
    const peer_answer other = ReadPeerAnswer(PeerHead(503, "full", "1"), asked, kNames);
    CPPUNIT_ASSERT(!other.is_conclusive && other.outcome == relay_outcome::kLost);
    const peer_answer own = ReadPeerAnswer(PeerHead(503, "full", "2"), asked, kNames);
    CPPUNIT_ASSERT(own.is_conclusive && own.outcome == relay_outcome::kFull);
    const peer_answer previous_release = ReadPeerAnswer(PeerHead(503, "full"), asked, kNames);
    CPPUNIT_ASSERT(previous_release.is_conclusive &&
                   previous_release.outcome == relay_outcome::kFull);
  }

  // Guards against a reason that this release doesn't know being passed on as a promise.
  void Peer_OutcomeOfALaterRelease_IsNoPromise() {
    const peer_answer meaning = ReadPeerAnswer(PeerHead(503, "reason-to-come"),
                                               {.request_id = "1", .body_released = true}, kNames);
    CPPUNIT_ASSERT(!meaning.is_conclusive && meaning.outcome == relay_outcome::kLost);
  }

  void Peer_BodyHeldBack_NoAnswerIsNeeded() {
    http_head of_http_layer;
    of_http_layer.status = 408;
    const peer_answer meaning =
        ReadPeerAnswer(of_http_layer, {.request_id = "1", .body_released = false}, kNames);
    CPPUNIT_ASSERT(!meaning.is_conclusive && meaning.outcome == relay_outcome::kUnconfirmed);
  }

  // Guards against a late body that starts a request which was answered as not run, or that is
  // taken for the body of the next request on its connection.
  void Grant_BodyComesAfterItExpired_OnlyTheNextRequestRuns() {
    holding_caller caller;
    caller.connection->Write(holding_caller::Head("1"));
    caller.Await("100 Continue");
    caller.Await("unconfirmed");
    caller.connection->Write(holding_caller::Body("first.") + holding_caller::Head("2"));
    caller.Await("100 Continue");
    caller.connection->Write(holding_caller::Body("second"));
    caller.Await("200 OK");
    CPPUNIT_ASSERT(caller.bodies_run == std::vector<std::string>{"second"});
  }

  // Guards against a granted request that runs though it was withdrawn from a server that leaves.
  void Grant_WithdrawnWhileTheBodyIsSent_RequestNeverRuns() {
    holding_caller caller;
    caller.connection->Write(holding_caller::Head("1"));
    caller.Await("100 Continue");
    caller.answer_fields = "Leaving: 1\r\n";
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller.fleet, relay_fleet::Get("/safe/x", "0")));
    caller.connection->Write(holding_caller::Body("first."));
    caller.Await("leaving");
    caller.fleet.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, caller.bodies_run.size());
  }

  // Guards against a server that rejects a request and runs it nevertheless, without a trace.
  void Rejection_AnswerFollowsOnTheIdleConnection_IsCounted() {
    for (const std::string before : {"", "HTTP/1.1 102 Processing\r\n\r\n"}) {
      relay_fleet fleet(1);
      fleet.PublishToAll(1);
      std::vector<std::unique_ptr<loop_timer>> timers;
      fleet.target(0).on_request = [&](scripted_target::scripted_request& at) {
        at.connection.Write(
            AnswerText(503, "Id: " + *at.request.Find("Id") + "\r\nNot-Run: 1\r\n"));
        timers.push_back(std::make_unique<loop_timer>(fleet.loop()));
        timers.back()->StartOnce(
            milliseconds(20),
            [&connection = at.connection, answer = before + scripted_target::Answer(at.request)] {
              connection.Write(answer);
            });
      };
      CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, relay_fleet::Post("/once/x", "1", "permit")));
      fleet.RunFor(milliseconds(100));
      CPPUNIT_ASSERT(MetricsOf(fleet, 0).find("cuminferry_rejections_disproved_total " +
                                              std::to_string(fleet.TotalRequests())) !=
                     std::string::npos);
    }
  }

  void Rejection_AnswerFollowsBeforeTheNextOne_IsCounted() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    std::string owed;
    fleet.target(0).on_request = [&](scripted_target::scripted_request& at) {
      if (*at.request.Find("Id") == "1") {
        owed = scripted_target::Answer(at.request);
        at.connection.Write(AnswerText(503, "Id: 1\r\nNot-Run: 1\r\n"));
      } else {
        at.connection.Write(std::exchange(owed, {}) + scripted_target::Answer(at.request));
      }
    };
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, relay_fleet::Post("/once/x", "1", "permit")));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, relay_fleet::Post("/once/x", "2", "permit")));
    CPPUNIT_ASSERT(MetricsOf(fleet, 0).find("cuminferry_rejections_disproved_total 1") !=
                   std::string::npos);
  }

  void Trail_SentTwice_SaysWhoseWordEndedEachSend() {
    send_trail trail;
    trail.OnSend("i-1", {.number = 4, .requests_before = 2, .idle = milliseconds(1)},
                 milliseconds(3));
    trail.OnWord("turned-away", send_trail::source::kAnswer, 503, milliseconds(2));
    trail.OnSend("i-2", {.number = 9}, milliseconds(5));
    trail.OnWord("connection-lost", send_trail::source::kNode, 0, milliseconds(7));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"([{"target":"i-1","at_us":3000,"connection":4,"carried":2,"idle_us":1000,)"
                    R"("word":"turned-away","by":"answer","age_us":2000,"status":503},)"
                    R"({"target":"i-2","at_us":5000,"connection":9,"carried":0,"idle_us":0,)"
                    R"("word":"connection-lost","by":"node","age_us":7000}])"),
        trail.ToJson().dump());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(not_run_test);

}  // namespace cuminferry::testing
