#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "relay/crashing_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// By the users' rule a request may end three targets; of a service of four, it may take two.
constexpr int kMostEnds = 2;
constexpr duration kAway = milliseconds(300);
// Nodes in touch know within this what another has found out.
constexpr duration kKnownEverywhere = seconds(1);
// A timer of the loop and a round trip.
constexpr duration kAskSlack = milliseconds(200);

// Nodes that each one tells what is new to it.
constexpr double kToldOfEach = 3.0;

constexpr char kCrashing[] = "/safe/crash";

}  // namespace

class crashing_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crashing_request_test);
  CPPUNIT_TEST(Request_EndsItsTargets_TwoOfFourEndAtMost);
  CPPUNIT_TEST(Request_ComesAgainAtEachEntry_NoFurtherTargetEnds);
  CPPUNIT_TEST(Request_ThatMayRunOnceComesAgain_TwoTargetsEndAtMost);
  CPPUNIT_TEST(Request_SameButForItsBody_IsServed);
  CPPUNIT_TEST(Neighbours_RunBesideIt_AreServed);
  CPPUNIT_TEST(Neighbour_AskedAllTheTime_IsNotRefused);
  CPPUNIT_TEST(Fleet_OfForty_TwoTargetsEndAtMost);
  CPPUNIT_TEST(Node_StartedLater_KnowsWithinASecond);
  CPPUNIT_TEST(Node_HeardNothing_EndsNoFurtherTarget);
  CPPUNIT_TEST(Neighbour_AnswersThatItFailed_IsNoSuspectAnyMore);
  CPPUNIT_TEST(Connection_Reset_SuspectsNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request being sent on until all targets of its service have ended.
  void Request_EndsItsTargets_TwoOfFourEndAtMost() {
    crashing_fleet world(4, 2, seconds(20));
    SendAndWait(world, 0, kCrashing);
    SendAndWait(world, 0, kCrashing);
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
  }

  // Guards against a request that ended its targets being new at each entry that it comes to.
  void Request_ComesAgainAtEachEntry_NoFurtherTargetEnds() {
    crashing_fleet world(4, 2, kAway);
    for (int round = 0; round < 3; ++round) {
      for (int entry = 0; entry < 4; ++entry) {
        SendAndWait(world, entry, kCrashing);
        world.fleet().RunFor(round == 0 && entry == 0 ? kKnownEverywhere : 2 * kAway);
      }
    }
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
  }

  // Guards against ends that are seconds apart, each with other requests beside, telling nothing.
  void Request_ThatMayRunOnceComesAgain_TwoTargetsEndAtMost() {
    crashing_fleet world(4, 2, kAway);
    for (int time = 0; time < 5; ++time) {
      auto neighbours = SendNeighbours(world, "time" + std::to_string(time));
      auto crashing = world.fleet().Send(
          time % 4, relay_fleet::Post("/once/x", "p" + std::to_string(time), "crash"));
      world.fleet().RunUntil([&] { return crashing->status() != 0; });
      world.fleet().RunFor(kKnownEverywhere);
    }
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
  }

  // Guards against a whole path being refused for one request.
  void Request_SameButForItsBody_IsServed() {
    crashing_fleet world(4, 2, kAway);
    for (int time = 0; time < 3; ++time) {
      auto crashing = world.fleet().Send(
          time, relay_fleet::Post("/safe/x", "p" + std::to_string(time), "crash"));
      world.fleet().RunUntil([&] { return crashing->status() != 0; });
      world.fleet().RunFor(kKnownEverywhere);
    }
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
    auto other = world.fleet().Send(0, relay_fleet::Post("/safe/x", "other", "body"));
    world.fleet().RunUntil([&] { return other->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(200, other->status());
  }

  // Guards against all that ran at the target being taken for the one that ended it.
  void Neighbours_RunBesideIt_AreServed() {
    crashing_fleet world(4, 2, seconds(20));
    EarnRepeats(world);
    auto neighbours = SendNeighbours(world, "first");
    auto crashing = world.fleet().Send(0, relay_fleet::Get(kCrashing, "p"));
    world.fleet().RunUntil([&] { return AllAnswered(neighbours) && crashing->status() != 0; });
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
    CPPUNIT_ASSERT_EQUAL(neighbours.size(), CountServed(neighbours));
    world.fleet().RunFor(kKnownEverywhere);
    // At most: an end and a clearing for each, told on by each node.
    const double most = 2.0 * static_cast<double>(neighbours.size() + 1) * kToldOfEach;
    for (int node = 0; node < 4; ++node) {
      CPPUNIT_ASSERT(Told(world, node) <= most);
    }
    auto again = SendNeighbours(world, "again");
    world.fleet().RunUntil([&] { return AllAnswered(again); });
    CPPUNIT_ASSERT_EQUAL(again.size(), CountServed(again));
  }

  // Guards against the most frequent request of a service being refused for another one.
  void Neighbour_AskedAllTheTime_IsNotRefused() {
    crashing_fleet world(4, 2, kAway);
    EarnRepeats(world);
    std::vector<std::shared_ptr<client_result>> asked;
    for (int step = 0; step < 150; ++step) {
      const std::string number = std::to_string(step);
      for (int entry = 0; entry < 4; ++entry) {
        asked.push_back(world.fleet().Send(entry, relay_fleet::Get("/safe/often", "n" + number)));
      }
      if (step % 50 == 10) {
        world.fleet().Send(step % 4, relay_fleet::Get(kCrashing + number, "p" + number));
      }
      world.fleet().RunFor(milliseconds(20));
    }
    world.fleet().RunUntil([&] { return AllAnswered(asked); });
    CPPUNIT_ASSERT_EQUAL(asked.size(), CountServed(asked));
  }

  void Fleet_OfForty_TwoTargetsEndAtMost() {
    crashing_fleet world(40, 4, kAway);
    for (int time = 0; time < 5; ++time) {
      SendAndWait(world, 7 * time, kCrashing);
      world.fleet().RunFor(kKnownEverywhere);
    }
    CPPUNIT_ASSERT(world.ends() <= kMostEnds);
  }

  // Guards against requests that fail of themselves running one by one for minutes.
  void Neighbour_AnswersThatItFailed_IsNoSuspectAnyMore() {
    crashing_fleet world(4, 2, kAway);
    world.Fail("failing");
    EarnRepeats(world);
    for (int sent = 0; sent < 8; ++sent) {
      world.fleet().Send(sent % 4, relay_fleet::Get("/once/failing", "f" + std::to_string(sent)));
    }
    world.fleet().RunFor(milliseconds(8));
    for (int node = 0; node < 4; ++node) {
      world.End(node);
    }
    world.fleet().RunFor(2 * kAway);
    auto first = world.fleet().Send(0, relay_fleet::Get("/once/failing", "first"));
    world.fleet().RunUntil([&] { return first->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(500, first->status());
    world.fleet().RunFor(milliseconds(100));
    results all;
    const instant began = world.fleet().loop().Now();
    for (int sent = 0; sent < 16; ++sent) {
      all.push_back(
          world.fleet().Send(sent % 4, relay_fleet::Get("/once/failing", std::to_string(sent))));
    }
    world.fleet().RunUntil([&] { return AllAnswered(all); });
    // One by one they would take sixteen run times.
    CPPUNIT_ASSERT(world.fleet().loop().Now() - began < 8 * crashing_fleet::kRunTime);
  }

  // Guards against each restart of a node letting the request in again.
  void Node_StartedLater_KnowsWithinASecond() {
    crashing_fleet world(4, 2, kAway);
    SendAndWait(world, 0, kCrashing);
    const int ends = world.ends();
    RestartNode(world, 3);
    world.fleet().RunFor(kKnownEverywhere + kAskSlack);
    auto sent = world.fleet().Send(3, relay_fleet::Get(kCrashing, "later"));
    world.fleet().RunUntil([&] { return sent->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(503, sent->status());
    CPPUNIT_ASSERT(!sent->Has("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(ends, world.ends());
  }

  // Guards against an entry that has not heard yet taking a third target.
  void Node_HeardNothing_EndsNoFurtherTarget() {
    crashing_fleet world(4, 2, kAway);
    SendAndWait(world, 0, kCrashing);
    const int ends = world.ends();
    RestartNode(world, 3);
    world.fleet().RunFor(2 * kAway);
    auto sent = world.fleet().Send(3, relay_fleet::Get(kCrashing, "at once"));
    world.fleet().RunUntil([&] { return sent->status() != 0; });
    CPPUNIT_ASSERT(world.ends() <= ends + 1);
    CPPUNIT_ASSERT(world.ends() <= 3);
  }

  // Guards against a request being suspected for what a network did.
  void Connection_Reset_SuspectsNobody() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(1);
    int resets = 4;
    for (int node = 0; node < 2; ++node) {
      fleet.target(node).on_request = [&resets](scripted_target::conversation& now) {
        if (resets-- > 0) {
          now.connection.ResetOnClose();
          now.connection.FinishWriting();
        } else {
          now.connection.Write(scripted_target::Answer(now.request));
        }
      };
    }
    for (int time = 0; time < 3; ++time) {
      auto sent = fleet.Send(0, relay_fleet::Get("/safe/a", "a" + std::to_string(time)));
      fleet.RunUntil([&] { return sent->status() != 0; });
    }
    auto last = fleet.Send(1, relay_fleet::Get("/safe/a", "last"));
    fleet.RunUntil([&] { return last->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(200, last->status());
  }

 private:
  using results = std::vector<std::shared_ptr<client_result>>;

  static void SendAndWait(crashing_fleet& world, int entry, const std::string& path) {
    static int last = 0;
    auto sent =
        world.fleet().Send(entry, relay_fleet::Get(path, "crashing" + std::to_string(++last)));
    world.fleet().RunUntil([&] { return sent->status() != 0; });
  }

  // It knows nothing then but what is published.
  static void RestartNode(crashing_fleet& world, int node) {
    world.fleet().StopNode(node);
    world.fleet().StartNode(node);
    world.fleet().PublishTo(node, 1);
  }

  // What is repeated is bounded by what came before.
  static void EarnRepeats(crashing_fleet& world) {
    for (const char* round : {"a", "b", "c"}) {
      auto earlier = SendNeighbours(world, round);
      world.fleet().RunUntil([&] { return AllAnswered(earlier); });
    }
  }

  // So many that each target runs some.
  static results SendNeighbours(crashing_fleet& world, const std::string& name) {
    results sent;
    for (int number = 0; number < 24; ++number) {
      const std::string id = name + std::to_string(number);
      sent.push_back(world.fleet().Send(number % 4, relay_fleet::Get("/safe/" + id, id)));
    }
    // They are placed before whatever comes next.
    world.fleet().RunFor(milliseconds(8));
    return sent;
  }

  /** Messages by which a node told others of suspects. */
  static double Told(crashing_fleet& world, int node) {
    const std::string mark = "\ncuminferry_suspects_told ";
    const auto page = world.fleet().SendTo(world.fleet().SettingsOf(node).metrics,
                                           "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    CPPUNIT_ASSERT(world.fleet().RunUntil([&] { return page->Has(mark); }));
    return std::stod(page->bytes.substr(page->bytes.find(mark) + mark.size()));
  }

  static bool AllAnswered(const results& sent) {
    return std::ranges::all_of(sent, [](const auto& one) { return one->status() != 0; });
  }

  static std::size_t CountServed(const results& sent) {
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [](const auto& one) { return one->status() == 200; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_test);

}  // namespace cuminferry::testing
