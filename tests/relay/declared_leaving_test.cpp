#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "relay/declaring_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLoad = 240.0;
constexpr char kLeaving[] = "Leaving: 1\r\n";

service_instance Listed(std::int64_t started_millis) {
  return {.id = "i-1",
          .started_millis = started_millis,
          .service = "maps",
          .backend = {.address = 1, .port = 1},
          .failure_domain = "one",
          .slots = 20};
}

}  // namespace

/** A node's record of the targets that declare that they leave. */
class declared_leaving_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(declared_leaving_test);
  CPPUNIT_TEST(Leaving_DeclaredWhileRequestsWait_NoneOfThemIsSent);
  CPPUNIT_TEST(Leaving_DeclaredInRejectionsOnly_TargetGetsNothingMore);
  CPPUNIT_TEST(Leaving_EarlierRunDeclaredIt_LaterRunGetsRequests);
  CPPUNIT_TEST(Leaving_DeclarationOfEarlierRunArrivesLate_LaterRunKeepsItsRequests);
  CPPUNIT_TEST(Leaving_ListedAnewAfterItsRemoval_StaysWithoutRequests);
  CPPUNIT_TEST(Leaving_AnyHistory_OnlyALaterRunIsPicked);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that wait for a slot being sent to a target after it declared that it
  // leaves.
  void Leaving_DeclaredWhileRequestsWait_NoneOfThemIsSent() {
    declaring_fleet world(1);
    world.Declare(0, {.fields = kLeaving});
    const instant begin = world.now();
    world.Send(4'000.0, milliseconds(20));
    constexpr int kSlots = 20;
    CPPUNIT_ASSERT(world.sent() > kSlots);
    CPPUNIT_ASSERT(world.ArrivalsSince(0, begin) <= kSlots);
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served() + world.refused());
    CPPUNIT_ASSERT(world.all_refusals_have_retry_after());
  }

  // Guards against a declaration being overlooked because its answer is not passed on.
  void Leaving_DeclaredInRejectionsOnly_TargetGetsNothingMore() {
    declaring_fleet world(4);
    world.Declare(0, {.fields = kLeaving, .rejects = true});
    world.Send(kLoad, milliseconds(500));
    const instant told = world.now();
    world.Send(kLoad, seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, world.ArrivalsSince(0, told));
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served());
  }

  // Guards against a restarted target staying without requests because it has kept its id.
  void Leaving_EarlierRunDeclaredIt_LaterRunGetsRequests() {
    List(Listed(1'000));
    CPPUNIT_ASSERT(board_.OnDeclaredLeaving("maps", "i-1", 1'000));
    CPPUNIT_ASSERT(!IsPicked());
    List(Listed(2'000));
    CPPUNIT_ASSERT(IsPicked());
    CPPUNIT_ASSERT(!board_.IsLeavingOrRemoved("i-1"));
  }

  // Guards against a node that lists the earlier run still taking the later one out everywhere.
  void Leaving_DeclarationOfEarlierRunArrivesLate_LaterRunKeepsItsRequests() {
    List(Listed(2'000));
    CPPUNIT_ASSERT(!board_.OnDeclaredLeaving("maps", "i-1", 1'000));
    CPPUNIT_ASSERT(IsPicked());
  }

  // Guards against the platform's list overruling the target, as after an outage of the platform.
  void Leaving_ListedAnewAfterItsRemoval_StaysWithoutRequests() {
    List(Listed(1'000));
    List(std::nullopt);
    CPPUNIT_ASSERT(board_.OnDeclaredLeaving("maps", "i-1", board_.RunOf("i-1")));
    List(Listed(1'000));
    CPPUNIT_ASSERT(!IsPicked());
    CPPUNIT_ASSERT(board_.IsLeavingOrRemoved("i-1"));
  }

  void Leaving_AnyHistory_OnlyALaterRunIsPicked() {
    const bool holds = rc::check("a listed run is picked unless it or a later one leaves", [this] {
      List(std::nullopt);
      const auto first = last_run_ + 1;
      std::int64_t leaving = 0;
      std::optional<std::int64_t> listed;
      const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
      for (const int step : steps) {
        const std::int64_t known = std::max(first, last_run_);
        if (step == 0) {
          listed.reset();
        } else if (step <= 2) {
          last_run_ = known + (step == 1 ? 1 : 0);
          listed = last_run_;
        } else {
          // A node whose list is newer or older than this one's was told.
          const std::int64_t run = known + *rc::gen::inRange(-1, 2);
          board_.OnDeclaredLeaving("maps", "i-1", run);
          leaving = run >= board_.RunOf("i-1") ? std::max(leaving, run) : leaving;
        }
        List(listed ? std::optional(Listed(*listed)) : std::nullopt);
        RC_ASSERT(IsPicked() == (listed && *listed > leaving));
      }
      last_run_ += 2;
    });
    CPPUNIT_ASSERT(holds);
  }

 private:
  void List(std::optional<service_instance> instance) {
    board_.ApplyInstances(
        {{.backend = {.address = 1, .port = 1}, .instance = std::move(instance)}});
  }

  bool IsPicked() {
    return board_.PickerOf("maps")
        .Pick({.tried_targets = {}, .own_domain = "one"}, loop_.Now(), board_.random)
        .has_value();
  }

  event_loop loop_;
  // The latest run that was listed; later histories continue from there.
  std::int64_t last_run_ = 0;
  relay_board board_{loop_, {.instance = "node", .service = "permits"}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_leaving_test);

}  // namespace cuminferry::testing
