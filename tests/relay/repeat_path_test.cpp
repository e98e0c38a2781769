#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

constexpr char kTurnedAway[] =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** Sum of a node's metrics whose lines begin with this text. */
double MetricOf(relay_fleet& fleet, int node, const std::string& line_begin) {
  const auto page = fleet.SendTo(fleet.SettingsOf(node).metrics,
                                 "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
  CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->ended; }));
  double sum = 0.0;
  const std::string mark = "\n" + line_begin;
  for (std::size_t at = page->bytes.find(mark); at != std::string::npos;
       at = page->bytes.find(mark, at + 1)) {
    sum += std::stod(page->bytes.substr(page->bytes.find(' ', at)));
  }
  return sum;
}

}  // namespace

/** Real nodes: which requests the node beside a backend server takes for repeats. */
class repeat_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repeat_path_test);
  CPPUNIT_TEST(Send_TurnedAwayThenNoConnection_NextSendIsARepeat);
  CPPUNIT_TEST(Call_OfARunThatItsNodeSentAgain_IsCharged);
  CPPUNIT_TEST(Settings_Reloaded_RepeatsStayCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second arrival that counts as a first one and even earns further repeats.
  void Send_TurnedAwayThenNoConnection_NextSendIsARepeat() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    int turned_away_by = -1;
    // Ends the backend server before its node reads the answer.
    loop_timer stop(fleet.loop());
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [&, node](scripted_target::scripted_request& exchange) {
        if (turned_away_by >= 0) {
          exchange.connection.Write(scripted_target::Answer(exchange.request));
          return;
        }
        turned_away_by = node;
        exchange.connection.Write(kTurnedAway);
        stop.StartOnce(duration::zero(), [&fleet, node] { fleet.StopTarget(node); });
      };
    }
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    CPPUNIT_ASSERT_EQUAL(1.0, MetricOf(fleet, 1 - turned_away_by, "cuminferry_repeats_total"));
  }

  // Guards against calls that a service gets twice and that nobody counts as repeats there.
  void Call_OfARunThatItsNodeSentAgain_IsCharged() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& exchange) {
      if (exchange.sequence_number == 1) {
        exchange.connection.Write(kTurnedAway);
      } else if (exchange.sequence_number > 2) {
        exchange.connection.Write(scripted_target::Answer(exchange.request));
      }
    };
    const auto run = fleet.Send(0, relay_fleet::Get("/safe/run", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.target(0).request_ids.size() == 2; }));
    const auto call = fleet.Send(0, relay_fleet::Get("/safe/call", "2"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return call->status() != 0; }));
    CPPUNIT_ASSERT_EQUAL(2.0, MetricOf(fleet, 0, "cuminferry_repeat_budget{part=\"used\"}"));
  }

  // Guards against a reload that lets a window's repeats be spent once more.
  void Settings_Reloaded_RepeatsStayCounted() {
    relay_fleet fleet(1);
    fleet.PublishToAll(1);
    fleet.target(0).on_request = [](scripted_target::scripted_request& exchange) {
      exchange.connection.Write(exchange.sequence_number == 1
                                    ? std::string(kTurnedAway)
                                    : scripted_target::Answer(exchange.request));
    };
    const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", "1"));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    relay_settings changed = fleet.SettingsOf(0);
    changed.repeat_allowance += 1.0;
    fleet.node(0).ApplySettings(changed);
    CPPUNIT_ASSERT_EQUAL(1.0, MetricOf(fleet, 0, "cuminferry_repeat_budget{part=\"used\"}"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_path_test);

}  // namespace cuminferry::testing
