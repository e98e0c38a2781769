#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A script that makes backend servers answer each request after a fixed delay. */
class delayed_answers {
 public:
  delayed_answers(event_loop& loop, duration delay) : loop_(loop), delay_(delay) {}

  scripted_target::script script() {
    return [this](scripted_target::scripted_request& request_context) {
      timers_.push_back(std::make_unique<loop_timer>(loop_));
      timers_.back()->StartOnce(delay_,
                                [&connection = request_context.connection,
                                 answer = scripted_target::Answer(request_context.request)] {
                                  connection.Write(answer);
                                });
    };
  }

 private:
  event_loop& loop_;
  duration delay_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

// Enough requests that some are sent to each of two targets.
constexpr int kManyRequests = 12;

/** Two nodes of one failure domain. The second is replaced by a listener that accepts connections
   and sends only `reply` to each request, or resets the connection if `resets` is set. */
struct silent_peer {
  relay_fleet fleet{2, 1};
  std::vector<std::unique_ptr<tcp_connection>> accepted;
  std::unique_ptr<tcp_listener> listener;

  explicit silent_peer(std::string reply = "", bool resets = false) {
    fleet.PublishToAll(1);
    fleet.StopNode(1);
    auto new_listener = tcp_listener::Listen(
        fleet.loop(), fleet.PeerAddress(1), seconds(60),
        [this, reply, resets](std::unique_ptr<tcp_connection> connection) {
          accepted.push_back(std::move(connection));
          const std::size_t at = accepted.size() - 1;
          accepted.back()->SetHooks({.on_data =
                                         [this, reply, resets, at](std::string_view) {
                                           if (resets) {
                                             accepted[at]->ResetOnClose();
                                             accepted[at].reset();
                                           } else if (!reply.empty()) {
                                             accepted[at]->Write(reply);
                                           }
                                         },
                                     .on_end = [](close_reason) {},
                                     .on_writable = {},
                                     .on_connected = {}});
        });
    CPPUNIT_ASSERT(new_listener.ok());
    listener = std::move(*new_listener);
  }
};

/** Three nodes of one failure domain. The last two are replaced by listeners that reject each
   request as draining instances do, and store the call headers received. */
struct draining_peers {
  relay_fleet fleet{3, 1};
  std::vector<std::unique_ptr<tcp_connection>> accepted;
  std::vector<std::unique_ptr<tcp_listener>> listeners;
  std::vector<call_header> received_headers;

  draining_peers() {
    fleet.PublishToAll(1);
    for (int node = 1; node < 3; ++node) {
      fleet.StopNode(node);
      auto new_listener = tcp_listener::Listen(
          fleet.loop(), fleet.PeerAddress(node), seconds(60),
          [this](std::unique_ptr<tcp_connection> connection) {
            accepted.push_back(std::move(connection));
            tcp_connection& client = *accepted.back();
            client.SetHooks(
                {.on_data = [this, &client](std::string_view bytes) { Answer(client, bytes); },
                 .on_end = [](close_reason) {},
                 .on_writable = {},
                 .on_connected = {}});
          });
      CPPUNIT_ASSERT(new_listener.ok());
      listeners.push_back(std::move(*new_listener));
    }
  }

  void Answer(tcp_connection& client, std::string_view bytes) {
    const std::string marker = std::string(kCallField) + ": ";
    const auto at = bytes.find(marker);
    if (at == std::string_view::npos) {
      return;
    }
    const std::string_view field = bytes.substr(at + marker.size());
    received_headers.push_back(call_header::Parse(field.substr(0, field.find("\r\n"))).value());
    client.Write("HTTP/1.1 503 Away\r\nRelay-Outcome: leaving\r\nContent-Length: 0\r\n\r\n");
  }
};

/** Returns a signed answer with status 500. */
std::string Failure(const http_head& request, std::string_view body = "broken") {
  std::string text = scripted_target::Answer(request, body);
  return text.replace(text.find("200 OK"), 6, "500 Internal Server Error");
}

/** Makes the backend servers of a fleet of two answer by these scripts in turn, whichever of them
    receives the next request. */
void AnswerInTurn(relay_fleet& fleet, std::vector<scripted_target::script> scripts) {
  auto turn = std::make_shared<std::size_t>(0);
  for (int node = 0; node < 2; ++node) {
    fleet.target(node).on_request = [turn,
                                     scripts](scripted_target::scripted_request& request_context) {
      scripts[(*turn)++ % scripts.size()](request_context);
    };
  }
}

const scripted_target::script kAnswerFailure =
    [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write(Failure(request_context.request));
    };
const scripted_target::script kAnswerSuccess =
    [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write(scripted_target::Answer(request_context.request));
    };

/** Returns the number of slots in use that the first node reports in its metrics. */
unsigned SlotsRunning(relay_fleet& fleet) {
  const auto page =
      fleet.SendTo(fleet.SettingsOf(0).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
  const std::string marker = "\ncuminferry_slots_running ";
  CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->Contains(marker); }));
  return static_cast<unsigned>(
      std::stoul(page->bytes.substr(page->bytes.find(marker) + marker.size())));
}

/** Returns the call header that an ingress node sends for a request with an objective of one
   second.
    @param awaits_release  whether the request has a body of six bytes that is held back until
                           there is a slot */
std::string CallHeaderFor(const std::string& row, bool awaits_release) {
  return call_header{.row = row,
                     .repeat = repeat_rule::kIdempotent,
                     .objective = seconds(1),
                     .objective_left = seconds(1),
                     .awaits_release = awaits_release,
                     .framing = awaits_release ? body_framing::kLength : body_framing::kNone,
                     .body_length = awaits_release ? 6U : 0U}
      .ToText();
}

}  // namespace

class relay_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_failure_test);
  CPPUNIT_TEST(Answer_ToAnEarlierRequest_IsDiscarded);
  CPPUNIT_TEST(Answer_Truncated_ClientConnectionIsReset);
  CPPUNIT_TEST(Answer_Unsigned_IsNotForwardedAsSuccess);
  CPPUNIT_TEST(Answer_BeforeEndOfRequestBody_IsForwardedImmediately);
  CPPUNIT_TEST(Once_ConnectionLost_IsNotRepeated);
  CPPUNIT_TEST(Safe_ConnectionLost_IsSentToAnotherTarget);
  CPPUNIT_TEST(Safe_LostAtEveryTarget_IsNotReportedAsRefused);
  CPPUNIT_TEST(Safe_BackendFails_IsSentToAnotherTarget);
  CPPUNIT_TEST(Safe_EveryBackendFails_FailureIsForwardedUnchanged);
  CPPUNIT_TEST(Safe_OtherTargetIsLost_FailureIsForwardedUnchanged);
  CPPUNIT_TEST(Safe_LongFailure_IsForwardedUnchanged);
  CPPUNIT_TEST(Safe_ManyFail_RepeatsStop);
  CPPUNIT_TEST(Once_BackendFails_IsNotRepeated);
  CPPUNIT_TEST(Once_RejectedWithoutRunning_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Once_OtherInstanceAtTheAddress_IsNeverRun);
  CPPUNIT_TEST(Target_Replaced_FormerInstanceIsTriedOnce);
  CPPUNIT_TEST(Target_Draining_NextTargetCountsTheCall);
  CPPUNIT_TEST(Target_Unreachable_RequestIsSentElsewhere);
  CPPUNIT_TEST(Target_BackendDown_IsNotTriedByEachRequest);
  CPPUNIT_TEST(Timeout_TargetSilent_IsAnsweredAtTheTimeout);
  CPPUNIT_TEST(Safe_PeerSilent_IsSentElsewhereSoon);
  CPPUNIT_TEST(Safe_LongRun_IsNotTreatedAsLost);
  CPPUNIT_TEST(Safe_LongRunAfterALongWait_IsNotTreatedAsLost);
  CPPUNIT_TEST(Once_PeerSilent_RunsElsewhereOnce);
  CPPUNIT_TEST(Once_PeerSilentAfterPermission_OutcomeIsUnknown);
  CPPUNIT_TEST(Once_PeerResetsBeforePermission_RunsElsewhere);
  CPPUNIT_TEST(Once_IngressNeverPermitsRun_SlotIsFreed);
  CPPUNIT_TEST(Once_BodyHeldBack_ArrivesWithItsOwnFraming);
  CPPUNIT_TEST(Once_RefusedWhileBodyIsHeldBack_ConnectionStaysOpen);
  CPPUNIT_TEST(Client_DisconnectsDuringSafeRequest_TargetIsDisconnectedSoon);
  CPPUNIT_TEST(Client_DisconnectsDuringOnceRequest_TargetFinishes);
  CPPUNIT_TEST(Client_DisconnectsWhileRequestWaits_RequestNeverRuns);
  CPPUNIT_TEST(Queue_FullByImportance_LeastImportantIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a single failed call failing a whole request. A request makes a dozen calls and
  // may not be repeated itself; another backend server can answer the call that failed.
  void Safe_BackendFails_IsSentToAnotherTarget() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kAnswerFailure, kAnswerSuccess});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.TotalRequests());
  }

  // Guards against the node replacing a backend server's error answer by its own, which would hide
  // the cause from the people who have to fix it.
  void Safe_EveryBackendFails_FailureIsForwardedUnchanged() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kAnswerFailure});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT(result->Contains("Signature: signed"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.TotalRequests());
  }

  // The connection to the second backend server fails during the request. The client must receive
  // the answer that the first one has already sent.
  void Safe_OtherTargetIsLost_FailureIsForwardedUnchanged() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kAnswerFailure, [](scripted_target::scripted_request& request_context) {
                           request_context.connection.Write("garbage that is no answer\r\n\r\n");
                         }});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT(result->Contains("Signature: signed"));
  }

  // Guards against long error pages filling the memory of the node, which happens if it stores the
  // complete page of each failed request.
  void Safe_LongFailure_IsForwardedUnchanged() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    const std::string page(100'000, 'x');
    AnswerInTurn(fleet, {[&page](scripted_target::scripted_request& request_context) {
                   request_context.connection.Write(Failure(request_context.request, page));
                 }});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains(page); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // Guards against retry amplification. If every request fails because of a fault deeper in the
  // call graph, each level that repeats all requests doubles the load on the failing service.
  void Safe_ManyFail_RepeatsStop() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kAnswerFailure});
    constexpr int kRequests = 40;
    for (int sent = 0; sent < kRequests; ++sent) {
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(sent)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("broken"); }));
    }
    // The first few requests are repeated until the failure rate is known.
    CPPUNIT_ASSERT(fleet.TotalRequests() <= kRequests + 6);
  }

  void Once_BackendFails_IsNotRepeated() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kAnswerFailure, kAnswerSuccess});
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // Guards against answers for another user. A backend server sends a late second answer to an
  // earlier request on the connection on which the next answer is due.
  void Answer_ToAnEarlierRequest_IsDiscarded() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      if (request_context.sequence_number == 2) {
        http_head stale = request_context.request;
        stale.Set("Id", "old");
        request_context.connection.Write(scripted_target::Answer(stale, "stranger's"));
      }
      request_context.connection.Write(scripted_target::Answer(request_context.request, "own"));
    };
    const auto first = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return first->Contains("own"); }));
    const auto second = fleet.Send(0, relay_fleet::Get("/safe/x", "2"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return second->Contains("own"); }));
    CPPUNIT_ASSERT(!second->Contains("stranger's"));
  }

  void Answer_Truncated_ClientConnectionIsReset() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    std::unique_ptr<loop_timer> cut;
    fleet.target(0).on_request = [&](scripted_target::scripted_request& request_context) {
      request_context.connection.Write("HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nhalf of");
      request_context.connection.ResetOnClose();
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("half"); }));
    // The answer does not end by itself, so the node aborts it at the deadline.
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->ended; }));
    CPPUNIT_ASSERT(result->reset);
  }

  void Answer_Unsigned_IsNotForwardedAsSuccess() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "b"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Contains("bad\r\n"));
    CPPUNIT_ASSERT(!result->Contains("Retry-After"));
  }

  // A backend server rejects a long upload as soon as it has received the head. The client goes on
  // sending the body and must receive the answer, not a reset.
  void Answer_BeforeEndOfRequestBody_IsForwardedImmediately() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_head = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write(
          "HTTP/1.1 413 Too Large\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = std::make_shared<client_result>();
    const auto client = fleet.Connect(0, result);
    const std::string whole = relay_fleet::Post("/once/x", "1", std::string(500'000, 'b'));
    client->Write(std::string_view(whole).substr(0, 100'000));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(413, result->status());
    CPPUNIT_ASSERT(result->Contains("Connection: close"));
    client->Write(std::string_view(whole).substr(100'000));
    fleet.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!result->reset);
  }

  // Guards against requests that run twice. The connection is lost while a request that must run at
  // most once may be running. A repeat by the node could run it again, and so could the client if
  // it received a refusal.
  void Once_ConnectionLost_IsNotRepeated() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [](scripted_target::scripted_request& request_context) {
        request_context.connection.Write("garbage that is no answer\r\n\r\n");
      };
    }
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Contains("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  void Safe_ConnectionLost_IsSentToAnotherTarget() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write("garbage that is no answer\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.target(1).request_ids.size());
  }

  // Every backend server of a service closes the connection during a request that it may have run,
  // until no target is left. If the caller then received a refusal, it would assume that the
  // request never ran, and send it again.
  void Safe_LostAtEveryTarget_IsNotReportedAsRefused() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write("garbage that is no answer\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Contains("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  void Once_RejectedWithoutRunning_IsRefusedWithRetryAfter() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write(
          "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, result->status());
    CPPUNIT_ASSERT(result->Contains("Retry-After"));
  }

  void Once_OtherInstanceAtTheAddress_IsNeverRun() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      request_context.connection.Write("HTTP/1.1 421 Other\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, result->status());
  }

  // Guards against load that no target counts because the first target of each request is draining.
  void Target_Draining_NextTargetCountsTheCall() {
    draining_peers peers;
    for (int i = 0; i < kManyRequests; ++i) {
      const auto result = peers.fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(peers.fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(peers.received_headers.size() >= 2);
    for (const call_header& header : peers.received_headers) {
      CPPUNIT_ASSERT(!header.is_already_counted);
    }
  }

  // Guards against exhausted repeats. After a power loss all instances are replaced by new ones
  // that are not listed yet. If each request were sent to a backend server under its predecessor's
  // id, the rejections would soon use up the allowance for repeats, and nothing could be repeated
  // for seconds.
  void Target_Replaced_FormerInstanceIsTriedOnce() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& request_context) {
      http_head other;
      other.status = 421;
      other.reason = "Other";
      other.Set("Id", *request_context.request.Find("Id"));
      other.framing = body_framing::kLength;
      request_context.connection.Write(other.ToResponseText(false));
    };
    for (int i = 0; i < 5; ++i) {
      const auto result = fleet.SendTo(
          fleet.PeerAddress(0),
          "GET /safe/x HTTP/1.1\r\nHost: h\r\nInstance: i-0\r\nId: " + std::to_string(i) +
              "\r\nRelay-Call: " + CallHeaderFor("safe", false) + "\r\n\r\n");
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(503, result->status());
      CPPUNIT_ASSERT(result->Contains(i == 0 ? "other-instance" : "leaving"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.target(0).request_ids.size());
  }

  void Target_Unreachable_RequestIsSentElsewhere() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopNode(0);
    for (int i = 0; i < 5; ++i) {
      const auto result = fleet.Send(1, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
  }

  // A backend server crashes while its node stays up and reports that it is idle. If each request
  // tried this target first, every request would take an additional round trip.
  void Target_BackendDown_IsNotTriedByEachRequest() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(1);
    const auto refused_count = [&] {
      const auto page =
          fleet.SendTo(fleet.SettingsOf(1).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->Contains("cuminferry_queue"); }));
      const std::string marker = "cuminferry_served_total{outcome=\"down\",row=\"once\"} ";
      const auto at = page->bytes.find(marker);
      return at == std::string::npos ? 0 : std::stoi(page->bytes.substr(at + marker.size()));
    };
    for (int i = 0; i < 40; ++i) {
      const auto result = fleet.Send(1, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(refused_count() <= 3);
  }

  void Timeout_TargetSilent_IsAnsweredAtTheTimeout() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request&) {};
    const instant started = fleet.loop().Now();
    const auto result = fleet.Send(0, relay_fleet::Post("/short/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(504, result->status());
    CPPUNIT_ASSERT(fleet.loop().Now() - started < milliseconds(450));
  }

  // The connections to another instance stop working permanently without an error. Each request
  // that is sent there would wait until its client gives up.
  void Safe_PeerSilent_IsSentElsewhereSoon() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopNode(1);
    // The listener accepts connections and never sends anything.
    std::vector<std::unique_ptr<tcp_connection>> accepted;
    auto silent_listener = tcp_listener::Listen(fleet.loop(), fleet.PeerAddress(1), seconds(60),
                                                [&](std::unique_ptr<tcp_connection> connection) {
                                                  accepted.push_back(std::move(connection));
                                                });
    CPPUNIT_ASSERT(silent_listener.ok());
    for (int i = 0; i < 8; ++i) {
      const instant started = fleet.loop().Now();
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(fleet.loop().Now() - started < milliseconds(400));
    }
    CPPUNIT_ASSERT(accepted.size() <= 2);
  }

  void Safe_LongRun_IsNotTreatedAsLost() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    delayed_answers delayed(fleet.loop(), milliseconds(400));
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = delayed.script();
    }
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // A request waits for a slot, starts and then runs for a long time. If the ingress node took the
  // silence for a lost connection, it would cancel the request while the backend server works on
  // it, and run it again elsewhere.
  void Safe_LongRunAfterALongWait_IsNotTreatedAsLost() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    delayed_answers delayed(fleet.loop(), milliseconds(350));
    fleet.target(1).on_request = delayed.script();
    // More than the slots of the one backend server.
    constexpr int kRequests = 24;
    std::vector<std::shared_ptr<client_result>> results;
    for (int i = 0; i < kRequests; ++i) {
      results.push_back(fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i))));
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] {
      return std::all_of(results.begin(), results.end(),
                         [](const auto& result) { return result->status() != 0; });
    }));
    for (const auto& result : results) {
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kRequests}, fleet.TotalRequests());
    CPPUNIT_ASSERT_EQUAL(0, fleet.target(1).closed_while_running);
  }

  // An instance becomes unreachable while a request that must run at most once is sent to it. Its
  // node was not yet permitted to run the request, so another instance may run it. Otherwise the
  // client would receive an unknown outcome and could not send the request again.
  void Once_PeerSilent_RunsElsewhereOnce() {
    silent_peer at;
    for (int i = 0; i < kManyRequests; ++i) {
      const instant started = at.fleet.loop().Now();
      const auto result =
          at.fleet.Send(0, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(at.fleet.loop().Now() - started < milliseconds(400));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kManyRequests}, at.fleet.TotalRequests());
    CPPUNIT_ASSERT(!at.accepted.empty());
  }

  // The other node was permitted to run the request and then became unreachable. It is unknown
  // whether the request ran, so sending it again could run it twice.
  void Once_PeerSilentAfterPermission_OutcomeIsUnknown() {
    silent_peer at("HTTP/1.1 100 Continue\r\n\r\n");
    std::vector<std::shared_ptr<client_result>> results;
    for (int i = 0; i < kManyRequests; ++i) {
      results.push_back(
          at.fleet.Send(0, relay_fleet::Post("/short/x", std::to_string(i), "permit")));
    }
    CPPUNIT_ASSERT(at.fleet.RunUntil([&] {
      return std::all_of(results.begin(), results.end(),
                         [](const auto& result) { return result->status() != 0; });
    }));
    const auto unknown = std::count_if(results.begin(), results.end(),
                                       [](const auto& result) { return result->status() == 504; });
    CPPUNIT_ASSERT(unknown > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kManyRequests},
                         at.fleet.TotalRequests() + static_cast<std::uint64_t>(unknown));
  }

  void Once_PeerResetsBeforePermission_RunsElsewhere() {
    silent_peer at("", true);
    for (int i = 0; i < kManyRequests; ++i) {
      const auto result =
          at.fleet.Send(0, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kManyRequests}, at.fleet.TotalRequests());
    CPPUNIT_ASSERT(!at.accepted.empty());
  }

  // Guards against leaked slots. The ingress node disappears before it permits the request to run,
  // and the slot reserved for the request must become free again.
  void Once_IngressNeverPermitsRun_SlotIsFreed() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    const auto result = fleet.SendTo(fleet.PeerAddress(0),
                                     "POST /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                                     "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
                                     "Relay-Call: " +
                                         CallHeaderFor("once", true) + "\r\n\r\n");
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("100 Continue"); }));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("unconfirmed"); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.TotalRequests());
    CPPUNIT_ASSERT_EQUAL(0U, SlotsRunning(fleet));
  }

  // Nodes transfer a body that is held back in chunks. The backend server must receive the framing
  // that the client used, since a different framing would be a different request.
  void Once_BodyHeldBack_ArrivesWithItsOwnFraming() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    const std::string large(200'000, 'b');
    const std::vector<std::string> requests{
        relay_fleet::Post("/once/x", "1", "permit"), relay_fleet::Post("/once/x", "2", large),
        relay_fleet::Post("/once/x", "3", ""),
        "POST /once/x HTTP/1.1\r\nHost: h\r\nId: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        "6\r\npermit\r\n0\r\n\r\n"};
    std::vector<std::string> bodies;
    fleet.target(1).on_request = [&](scripted_target::scripted_request& request_context) {
      bodies.push_back(request_context.body);
      request_context.connection.Write(scripted_target::Answer(request_context.request));
    };
    for (const std::string& request : requests) {
      const auto result = fleet.Send(0, request);
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(bodies == (std::vector<std::string>{"permit", large, "", "permit"}));
    const std::vector<http_head>& request_heads = fleet.target(1).request_heads;
    CPPUNIT_ASSERT(request_heads[0].framing == body_framing::kLength &&
                   request_heads[0].length == 6);
    CPPUNIT_ASSERT(request_heads[1].framing == body_framing::kLength &&
                   request_heads[1].length == large.size());
    CPPUNIT_ASSERT(request_heads[2].framing == body_framing::kLength &&
                   request_heads[2].length == 0);
    CPPUNIT_ASSERT(request_heads[3].framing == body_framing::kChunked);
    for (const http_head& head : request_heads) {
      CPPUNIT_ASSERT(head.Find("Expect") == nullptr);
    }
  }

  // A node without free slots refuses requests whose bodies it has not asked for. If it closed the
  // connection each time, every refusal would cost a new connection while the node is overloaded.
  void Once_RefusedWhileBodyIsHeldBack_ConnectionStaysOpen() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    const std::string awaits_release =
        "POST /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nInstance: other\r\n"
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
        "Relay-Call: " +
        CallHeaderFor("once", true) + "\r\n\r\n";
    fleet.StopTarget(1);
    const auto result = std::make_shared<client_result>();
    const auto peer = fleet.ConnectTo(fleet.PeerAddress(1), result);
    // The backend server is down. The first attempt detects this, and the node refuses the
    // following requests immediately.
    peer->Write(awaits_release + "6\r\npermit\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("503"); }));
    result->bytes.clear();
    peer->Write(awaits_release);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("503"); }));
    CPPUNIT_ASSERT(!result->Contains("Connection: close"));
    peer->Write("0\r\n\r\n");
    result->bytes.clear();
    peer->Write(awaits_release);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Contains("503"); }));
    CPPUNIT_ASSERT(!result->ended);
  }

  // Guards against wasted work. After a client disconnects, the backend server would go on working
  // on an answer that nobody receives.
  void Client_DisconnectsDuringSafeRequest_TargetIsDisconnectedSoon() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [](scripted_target::scripted_request&) {};
    }
    const auto result = std::make_shared<client_result>();
    auto client = fleet.Connect(0, result);
    client->Write(relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.TotalRequests() == 1; }));
    client.reset();
    CPPUNIT_ASSERT(fleet.RunUntil(
        [&] {
          return fleet.target(0).closed_while_running + fleet.target(1).closed_while_running == 1;
        },
        milliseconds(500)));
  }

  void Client_DisconnectsDuringOnceRequest_TargetFinishes() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request&) {};
    const auto result = std::make_shared<client_result>();
    auto client = fleet.Connect(0, result);
    client->Write(relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.TotalRequests() == 1; }));
    client.reset();
    fleet.RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, fleet.target(0).closed_while_running);
  }

  // A client disconnects while its request waits for a slot. If the request ran a second later, it
  // could run twice, because the client was never informed and may have sent it again.
  void Client_DisconnectsWhileRequestWaits_RequestNeverRuns() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    delayed_answers delayed(fleet.loop(), milliseconds(400));
    fleet.target(1).on_request = delayed.script();
    // The number of slots of the backend server that the node uses.
    constexpr int kRunning = 18;
    std::vector<std::shared_ptr<client_result>> running;
    for (int i = 0; i < kRunning; ++i) {
      running.push_back(fleet.Send(0, relay_fleet::Post("/once/x", std::to_string(i), "permit")));
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.TotalRequests() == kRunning; }));
    const auto result = std::make_shared<client_result>();
    auto client = fleet.Connect(0, result);
    client->Write(relay_fleet::Post("/once/x", "waiting", "permit"));
    fleet.RunFor(milliseconds(100));
    client.reset();
    fleet.RunFor(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kRunning}, fleet.TotalRequests());
  }

  // The order is changed by reloaded settings, and the queue is full of less important requests.
  // Guards against a displaced request whose client waits until its timeout, and against one that
  // runs after it was refused.
  void Queue_FullByImportance_LeastImportantIsRefusedAtOnce() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    relay_settings changed = fleet.SettingsOf(0);
    changed.order = queue_order::kImportance;
    CPPUNIT_ASSERT(fleet.node(0).ApplySettings(changed));
    fleet.RunFor(milliseconds(200));
    fleet.target(0).on_request = [](scripted_target::scripted_request&) {};
    constexpr std::size_t kLimit = 18;
    constexpr std::size_t kHeld = kLimit * (1 + slot_gate::kMaxQueuedPerSlot);
    const auto send = [&](const std::string& id, std::uint32_t priority) {
      const call_header header{.row = "safe",
                               .priority = priority,
                               .repeat = repeat_rule::kIdempotent,
                               .objective = seconds(5),
                               .objective_left = seconds(5)};
      return fleet.SendTo(fleet.PeerAddress(0),
                          "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: " + id +
                              "\r\nDeadline: 5000\r\nRelay-Call: " + header.ToText() + "\r\n\r\n");
    };
    std::vector<std::shared_ptr<client_result>> less_important;
    for (std::size_t i = 0; i < kHeld; ++i) {
      less_important.push_back(send("less-" + std::to_string(i), 2));
    }
    const auto refused = [&] {
      return std::ranges::count_if(less_important, [](const auto& result) {
        return result->Contains("Relay-Outcome: full");
      });
    };
    fleet.RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, refused());
    const auto important = send("important", 0);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return refused() == 1; }, milliseconds(300)));
    CPPUNIT_ASSERT(!important->Contains("full"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kLimit}, fleet.TotalRequests());
    const auto page =
        fleet.SendTo(fleet.SettingsOf(0).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    CPPUNIT_ASSERT(fleet.RunUntil([&] {
      return page->Contains("cuminferry_queue_displaced_total{kind=\"client\"} 1") &&
             page->Contains("cuminferry_queue_waiting{kind=\"client\"} 144");
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_failure_test);

}  // namespace cuminferry::testing
