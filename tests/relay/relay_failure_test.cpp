#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Lets backend servers answer each request after the same time. */
class late_answers {
 public:
  late_answers(event_loop& loop, duration after) : loop_(loop), after_(after) {}

  scripted_target::script script() {
    return [this](scripted_target::conversation& now) {
      timers_.push_back(std::make_unique<loop_timer>(loop_));
      timers_.back()->StartOnce(
          after_, [&connection = now.connection, answer = scripted_target::Answer(now.request)] {
            connection.Write(answer);
          });
    };
  }

 private:
  event_loop& loop_;
  duration after_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

// Enough that some are placed on either of two targets.
constexpr int kManyRequests = 12;

/** Two nodes of one failure domain; in place of the second, something accepts connections, says no
   more than `word` to each request, and ends them if it `dies`. */
struct silent_peer {
  relay_fleet fleet{2, 1};
  std::vector<std::unique_ptr<tcp_connection>> accepted;
  std::unique_ptr<tcp_listener> listener;

  explicit silent_peer(std::string word = "", bool dies = false) {
    fleet.PublishToAll(1);
    fleet.StopNode(1);
    auto listening = tcp_listener::Listen(
        fleet.loop(), fleet.PeerAddress(1), seconds(60),
        [this, word, dies](std::unique_ptr<tcp_connection> connection) {
          accepted.push_back(std::move(connection));
          const std::size_t at = accepted.size() - 1;
          accepted.back()->SetHooks({.on_data =
                                         [this, word, dies, at](std::string_view) {
                                           if (dies) {
                                             accepted[at]->ResetOnClose();
                                             accepted[at].reset();
                                           } else if (!word.empty()) {
                                             accepted[at]->Write(word);
                                           }
                                         },
                                     .on_end = [](connection_end) {},
                                     .on_drained = {},
                                     .on_connected = {}});
        });
    CPPUNIT_ASSERT(listening.ok());
    listener = std::move(*listening);
  }
};

/** Three nodes of one failure domain; in place of the last two, something turns each request away
    and keeps what it was told of it. */
struct leaving_peers {
  relay_fleet fleet{3, 1};
  std::vector<std::unique_ptr<tcp_connection>> accepted;
  std::vector<std::unique_ptr<tcp_listener>> listeners;
  std::vector<call_header> told;

  leaving_peers() {
    fleet.PublishToAll(1);
    for (int node = 1; node < 3; ++node) {
      fleet.StopNode(node);
      auto listening = tcp_listener::Listen(
          fleet.loop(), fleet.PeerAddress(node), seconds(60),
          [this](std::unique_ptr<tcp_connection> connection) {
            accepted.push_back(std::move(connection));
            tcp_connection& from = *accepted.back();
            from.SetHooks(
                {.on_data = [this, &from](std::string_view bytes) { Answer(from, bytes); },
                 .on_end = [](connection_end) {},
                 .on_drained = {},
                 .on_connected = {}});
          });
      CPPUNIT_ASSERT(listening.ok());
      listeners.push_back(std::move(*listening));
    }
  }

  void Answer(tcp_connection& from, std::string_view bytes) {
    const std::string mark = std::string(kCallField) + ": ";
    const auto at = bytes.find(mark);
    if (at == std::string_view::npos) {
      return;
    }
    const std::string_view field = bytes.substr(at + mark.size());
    told.push_back(call_header::Parse(field.substr(0, field.find("\r\n"))).value());
    from.Write("HTTP/1.1 503 Away\r\nRelay-Outcome: leaving\r\nContent-Length: 0\r\n\r\n");
  }
};

/** A signed answer of 500. */
std::string Failure(const http_head& request, std::string_view body = "broken") {
  std::string text = scripted_target::Answer(request, body);
  return text.replace(text.find("200 OK"), 6, "500 Internal Server Error");
}

/** Lets both backend servers of a fleet answer by turns as these scripts say, whichever is asked
    first. */
void AnswerInTurn(relay_fleet& fleet, std::vector<scripted_target::script> scripts) {
  auto turn = std::make_shared<std::size_t>(0);
  for (int node = 0; node < 2; ++node) {
    fleet.target(node).on_request = [turn, scripts](scripted_target::conversation& now) {
      scripts[(*turn)++ % scripts.size()](now);
    };
  }
}

const scripted_target::script kFails = [](scripted_target::conversation& now) {
  now.connection.Write(Failure(now.request));
};
const scripted_target::script kSucceeds = [](scripted_target::conversation& now) {
  now.connection.Write(scripted_target::Answer(now.request));
};

/** Slots that the first node counts as taken. */
unsigned SlotsRunning(relay_fleet& fleet) {
  const auto page =
      fleet.SendTo(fleet.SettingsOf(0).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
  const std::string mark = "\ncuminferry_slots_running ";
  CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->Has(mark); }));
  return static_cast<unsigned>(
      std::stoul(page->bytes.substr(page->bytes.find(mark) + mark.size())));
}

/** What an entry tells of a request with an objective of one second.
    @param held  with a body of six bytes, held back until there is a slot */
std::string CallOf(const std::string& row, bool held) {
  return call_header{.row = row,
                     .repeat = repeat_rule::kIdempotent,
                     .objective = seconds(1),
                     .objective_left = seconds(1),
                     .held = held,
                     .framing = held ? body_framing::kLength : body_framing::kNone,
                     .length = held ? 6U : 0U}
      .ToText();
}

}  // namespace

class relay_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_failure_test);
  CPPUNIT_TEST(Answer_OfAnEarlierRequest_IsDropped);
  CPPUNIT_TEST(Answer_CutShort_LooksCutToTheClient);
  CPPUNIT_TEST(Answer_Unsigned_IsNotPassedOnAsSuccess);
  CPPUNIT_TEST(Answer_BeforeTheBodyIsIn_IsPassedOnAtOnce);
  CPPUNIT_TEST(Once_ConnectionLost_IsNotSentAgain);
  CPPUNIT_TEST(Safe_ConnectionLost_GoesToAnotherTarget);
  CPPUNIT_TEST(Safe_LostAtEveryTarget_IsNotSaidToBeRefused);
  CPPUNIT_TEST(Safe_BackendFails_AnotherTargetIsAsked);
  CPPUNIT_TEST(Safe_EveryBackendFails_FailureIsPassedOnAsItWas);
  CPPUNIT_TEST(Safe_OtherTargetIsLost_FailureIsPassedOnAsItWas);
  CPPUNIT_TEST(Safe_LongFailure_IsPassedOnAsItCame);
  CPPUNIT_TEST(Safe_ManyFail_NothingIsRunAgain);
  CPPUNIT_TEST(Once_BackendFails_IsNotRunAgain);
  CPPUNIT_TEST(Once_TurnedAwayUnrun_IsRefusedWithAReturnTime);
  CPPUNIT_TEST(Once_OtherInstanceAtTheAddress_IsNeverRun);
  CPPUNIT_TEST(Target_Replaced_IsAskedOnceForTheFormerOne);
  CPPUNIT_TEST(Target_LeftBeforeItCounted_NextOneCounts);
  CPPUNIT_TEST(Target_Unreachable_RequestGoesElsewhere);
  CPPUNIT_TEST(Target_BackendDown_IsNotTriedByEachRequest);
  CPPUNIT_TEST(Timeout_TargetSilent_IsAnsweredInTime);
  CPPUNIT_TEST(Safe_PeerSilent_GoesElsewhereSoon);
  CPPUNIT_TEST(Safe_LongRun_IsNotTakenForSilence);
  CPPUNIT_TEST(Safe_LongRunAfterALongWait_IsNotTakenForSilence);
  CPPUNIT_TEST(Once_PeerSilent_RunsElsewhereOnce);
  CPPUNIT_TEST(Once_PeerSilentOnceLet_EndsUnknown);
  CPPUNIT_TEST(Once_PeerDiesBeforeItIsLet_RunsElsewhere);
  CPPUNIT_TEST(Once_EntryNeverLetsIt_SlotIsFreeAgain);
  CPPUNIT_TEST(Once_BodyHeldBack_ArrivesAsItWasSent);
  CPPUNIT_TEST(Once_TurnedAwayWhileHeld_ConnectionIsKept);
  CPPUNIT_TEST(Client_LeavesSafeRequest_TargetIsToldSoon);
  CPPUNIT_TEST(Client_LeavesFiledPermit_TargetFinishes);
  CPPUNIT_TEST(Client_LeavesWaitingPermit_ItNeverRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // One call among the dozen that a request needs fails, once. Passed on, it fails the whole
  // request, which may not run again; asked of another backend server it is whole.
  void Safe_BackendFails_AnotherTargetIsAsked() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kFails, kSucceeds});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.TotalRequests());
  }

  // The failure is the backend server's own word. In place of it an answer of the node would hide
  // what went wrong from whoever has to mend it.
  void Safe_EveryBackendFails_FailureIsPassedOnAsItWas() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kFails});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT(result->Has("Signature: signed"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.TotalRequests());
  }

  // The second backend server dies over the request. The first one's answer is there and is given.
  void Safe_OtherTargetIsLost_FailureIsPassedOnAsItWas() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kFails, [](scripted_target::conversation& now) {
                           now.connection.Write("garbage that is no answer\r\n\r\n");
                         }});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT(result->Has("Signature: signed"));
  }

  // A failure with a long page. Kept whole for each failed request, such pages fill the memory of
  // the node.
  void Safe_LongFailure_IsPassedOnAsItCame() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    const std::string page(100'000, 'x');
    AnswerInTurn(fleet, {[&page](scripted_target::conversation& now) {
                   now.connection.Write(Failure(now.request, page));
                 }});
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has(page); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // Everything fails, for a cause further down. Each level that runs all of it again doubles the
  // load on what is broken.
  void Safe_ManyFail_NothingIsRunAgain() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kFails});
    constexpr int kRequests = 40;
    for (int sent = 0; sent < kRequests; ++sent) {
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(sent)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("broken"); }));
    }
    // The first few are tried again, until it is known.
    CPPUNIT_ASSERT(fleet.TotalRequests() <= kRequests + 6);
  }

  void Once_BackendFails_IsNotRunAgain() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    AnswerInTurn(fleet, {kFails, kSucceeds});
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("broken"); }));
    CPPUNIT_ASSERT_EQUAL(500, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // A backend server sends a second answer late, where the next one is due. The farmer who asks
  // next would see a stranger's reading.
  void Answer_OfAnEarlierRequest_IsDropped() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      if (now.number == 2) {
        http_head stale = now.request;
        stale.Set("Id", "old");
        now.connection.Write(scripted_target::Answer(stale, "stranger's"));
      }
      now.connection.Write(scripted_target::Answer(now.request, "own"));
    };
    const auto first = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return first->Has("own"); }));
    const auto second = fleet.Send(0, relay_fleet::Get("/safe/x", "2"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return second->Has("own"); }));
    CPPUNIT_ASSERT(!second->Has("stranger's"));
  }

  void Answer_CutShort_LooksCutToTheClient() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    std::unique_ptr<loop_timer> cut;
    fleet.target(0).on_request = [&](scripted_target::conversation& now) {
      now.connection.Write("HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nhalf of");
      now.connection.ResetOnClose();
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("half"); }));
    // The node's deadline ends the answer that never ends itself.
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->ended; }));
    CPPUNIT_ASSERT(result->reset);
  }

  void Answer_Unsigned_IsNotPassedOnAsSuccess() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      now.connection.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "b"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Has("bad\r\n"));
    CPPUNIT_ASSERT(!result->Has("Retry-After"));
  }

  // A backend server rejects a long upload from its head alone. The cooperative's client goes on
  // sending; it must get the answer and not a reset.
  void Answer_BeforeTheBodyIsIn_IsPassedOnAtOnce() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_head = [](scripted_target::conversation& now) {
      now.connection.Write(
          "HTTP/1.1 413 Too Large\r\nId: 1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = std::make_shared<client_result>();
    const auto client = fleet.Connect(0, result);
    const std::string whole = relay_fleet::Post("/once/x", "1", std::string(500'000, 'b'));
    client->Write(std::string_view(whole).substr(0, 100'000));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(413, result->status());
    CPPUNIT_ASSERT(result->Has("Connection: close"));
    client->Write(std::string_view(whole).substr(100'000));
    fleet.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!result->reset);
  }

  // The connection breaks while a permit is being filed. Sent again it could be filed twice; said
  // to be refused it could be filed once more by the farmer.
  void Once_ConnectionLost_IsNotSentAgain() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [](scripted_target::conversation& now) {
        now.connection.Write("garbage that is no answer\r\n\r\n");
      };
    }
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Has("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  void Safe_ConnectionLost_GoesToAnotherTarget() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      now.connection.Write("garbage that is no answer\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.target(1).ids.size());
  }

  // Every backend server of a service breaks off a request that it may have run, until none is left
  // to ask. A caller who is then told "refused" counts on work that never began, and sends it
  // again.
  void Safe_LostAtEveryTarget_IsNotSaidToBeRefused() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      now.connection.Write("garbage that is no answer\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(502, result->status());
    CPPUNIT_ASSERT(!result->Has("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  void Once_TurnedAwayUnrun_IsRefusedWithAReturnTime() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      now.connection.Write("HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, result->status());
    CPPUNIT_ASSERT(result->Has("Retry-After"));
  }

  void Once_OtherInstanceAtTheAddress_IsNeverRun() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      now.connection.Write("HTTP/1.1 421 Other\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto result = fleet.Send(0, relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, result->status());
  }

  // Guards against load that no target counts: all that was sent to one that is gone first.
  void Target_LeftBeforeItCounted_NextOneCounts() {
    leaving_peers peers;
    for (int i = 0; i < kManyRequests; ++i) {
      const auto result = peers.fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(peers.fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(peers.told.size() >= 2);
    for (const call_header& about : peers.told) {
      CPPUNIT_ASSERT(!about.counted_before);
    }
  }

  // All instances lost power and came back as others, which the lists don't know yet. Each request
  // that asks a backend server for the one before it uses up the bound on repeats, and soon nothing
  // may be sent a second time, for seconds.
  void Target_Replaced_IsAskedOnceForTheFormerOne() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation& now) {
      http_head other;
      other.status = 421;
      other.reason = "Other";
      other.Set("Id", *now.request.Find("Id"));
      other.framing = body_framing::kLength;
      now.connection.Write(other.ToResponseText(false));
    };
    for (int i = 0; i < 5; ++i) {
      const auto result = fleet.SendTo(
          fleet.PeerAddress(0),
          "GET /safe/x HTTP/1.1\r\nHost: h\r\nInstance: i-0\r\nId: " + std::to_string(i) +
              "\r\nRelay-Call: " + CallOf("safe", false) + "\r\n\r\n");
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(503, result->status());
      CPPUNIT_ASSERT(result->Has(i == 0 ? "other-instance" : "leaving"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.target(0).ids.size());
  }

  void Target_Unreachable_RequestGoesElsewhere() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopNode(0);
    for (int i = 0; i < 5; ++i) {
      const auto result = fleet.Send(1, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
  }

  // A backend server crashes; its node lives, has nothing to do and says so. Tried first by each
  // request, it adds a way there and back to every one of them.
  void Target_BackendDown_IsNotTriedByEachRequest() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(1);
    const auto turned_away = [&] {
      const auto page =
          fleet.SendTo(fleet.SettingsOf(1).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->Has("cuminferry_queue"); }));
      const std::string mark = "cuminferry_served_total{outcome=\"down\",row=\"once\"} ";
      const auto at = page->bytes.find(mark);
      return at == std::string::npos ? 0 : std::stoi(page->bytes.substr(at + mark.size()));
    };
    for (int i = 0; i < 40; ++i) {
      const auto result = fleet.Send(1, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(turned_away() <= 3);
  }

  void Timeout_TargetSilent_IsAnsweredInTime() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation&) {};
    const instant began = fleet.loop().Now();
    const auto result = fleet.Send(0, relay_fleet::Post("/short/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(504, result->status());
    CPPUNIT_ASSERT(fleet.loop().Now() - began < milliseconds(450));
  }

  // Connections to another instance go silent for good, and nothing says so. Every reading that is
  // placed there would wait until its client gives up.
  void Safe_PeerSilent_GoesElsewhereSoon() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopNode(1);
    // It accepts and never says anything.
    std::vector<std::unique_ptr<tcp_connection>> accepted;
    auto silent = tcp_listener::Listen(fleet.loop(), fleet.PeerAddress(1), seconds(60),
                                       [&](std::unique_ptr<tcp_connection> connection) {
                                         accepted.push_back(std::move(connection));
                                       });
    CPPUNIT_ASSERT(silent.ok());
    for (int i = 0; i < 8; ++i) {
      const instant began = fleet.loop().Now();
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(fleet.loop().Now() - began < milliseconds(400));
    }
    CPPUNIT_ASSERT(accepted.size() <= 2);
  }

  void Safe_LongRun_IsNotTakenForSilence() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    late_answers later(fleet.loop(), milliseconds(400));
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = later.script();
    }
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.TotalRequests());
  }

  // A request waits for a slot, is let run and then runs for long. Taken for lost after a moment
  // without a word, it is cut off while the backend server works on it, and run again elsewhere.
  void Safe_LongRunAfterALongWait_IsNotTakenForSilence() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    late_answers later(fleet.loop(), milliseconds(350));
    fleet.target(1).on_request = later.script();
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

  // An instance is cut off just as a permit is sent there. Nobody knows whether it got the permit;
  // the farmer is told "unknown" and may not file again. Its node was never let run it, so another
  // may.
  void Once_PeerSilent_RunsElsewhereOnce() {
    silent_peer at;
    for (int i = 0; i < kManyRequests; ++i) {
      const instant began = at.fleet.loop().Now();
      const auto result =
          at.fleet.Send(0, relay_fleet::Post("/once/x", std::to_string(i), "permit"));
      CPPUNIT_ASSERT(at.fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(at.fleet.loop().Now() - began < milliseconds(400));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kManyRequests}, at.fleet.TotalRequests());
    CPPUNIT_ASSERT(!at.accepted.empty());
  }

  // The other node was let run the permit and then went silent. Whether it ran is unknown: a second
  // send could file it twice.
  void Once_PeerSilentOnceLet_EndsUnknown() {
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

  void Once_PeerDiesBeforeItIsLet_RunsElsewhere() {
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

  // The entry is gone before it lets the request run. Slots held for such requests would be lost to
  // everyone, one by one.
  void Once_EntryNeverLetsIt_SlotIsFreeAgain() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    const auto result = fleet.SendTo(fleet.PeerAddress(0),
                                     "POST /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                                     "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
                                     "Relay-Call: " +
                                         CallOf("once", true) + "\r\n\r\n");
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("100 Continue"); }));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("unconfirmed"); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.TotalRequests());
    CPPUNIT_ASSERT_EQUAL(0U, SlotsRunning(fleet));
  }

  // Between nodes a held body comes in chunks. A backend server that is sent another framing than
  // the client's sees a request that nobody made.
  void Once_BodyHeldBack_ArrivesAsItWasSent() {
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
    fleet.target(1).on_request = [&](scripted_target::conversation& now) {
      bodies.push_back(now.body);
      now.connection.Write(scripted_target::Answer(now.request));
    };
    for (const std::string& request : requests) {
      const auto result = fleet.Send(0, request);
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
    }
    CPPUNIT_ASSERT(bodies == (std::vector<std::string>{"permit", large, "", "permit"}));
    const std::vector<http_head>& heads = fleet.target(1).heads;
    CPPUNIT_ASSERT(heads[0].framing == body_framing::kLength && heads[0].length == 6);
    CPPUNIT_ASSERT(heads[1].framing == body_framing::kLength && heads[1].length == large.size());
    CPPUNIT_ASSERT(heads[2].framing == body_framing::kLength && heads[2].length == 0);
    CPPUNIT_ASSERT(heads[3].framing == body_framing::kChunked);
    for (const http_head& head : heads) {
      CPPUNIT_ASSERT(head.Find("Expect") == nullptr);
    }
  }

  // A full node turns requests away whose bodies it has not asked for. Closing the connection each
  // time would make every refusal cost a new one, when there is least to spare.
  void Once_TurnedAwayWhileHeld_ConnectionIsKept() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    const std::string held =
        "POST /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nInstance: other\r\n"
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
        "Relay-Call: " +
        CallOf("once", true) + "\r\n\r\n";
    fleet.StopTarget(1);
    const auto result = std::make_shared<client_result>();
    const auto peer = fleet.ConnectTo(fleet.PeerAddress(1), result);
    // The backend server is down: the first try finds that out, the next are turned away at once.
    peer->Write(held + "6\r\npermit\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("503"); }));
    result->bytes.clear();
    peer->Write(held);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("503"); }));
    CPPUNIT_ASSERT(!result->Has("Connection: close"));
    peer->Write("0\r\n\r\n");
    result->bytes.clear();
    peer->Write(held);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->Has("503"); }));
    CPPUNIT_ASSERT(!result->ended);
  }

  // Farmers close the page. The backend server would go on working for nobody.
  void Client_LeavesSafeRequest_TargetIsToldSoon() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [](scripted_target::conversation&) {};
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

  void Client_LeavesFiledPermit_TargetFinishes() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::conversation&) {};
    const auto result = std::make_shared<client_result>();
    auto client = fleet.Connect(0, result);
    client->Write(relay_fleet::Post("/once/x", "1", "permit"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.TotalRequests() == 1; }));
    client.reset();
    fleet.RunFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, fleet.target(0).closed_while_running);
  }

  // A farmer gives up while the permit still waits for a slot. Run a second later, it is filed for
  // someone who was never told and has filed it anew.
  void Client_LeavesWaitingPermit_ItNeverRuns() {
    relay_fleet fleet(2);
    fleet.PublishToAll(1);
    fleet.StopTarget(0);
    late_answers later(fleet.loop(), milliseconds(400));
    fleet.target(1).on_request = later.script();
    // As many as the backend server has slots in use.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_failure_test);

}  // namespace cuminferry::testing
