#include <cppunit/extensions/HelperMacros.h>

#include "relay/declaring_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All nodes together send this many requests a second.
constexpr double kLoad = 240.0;
constexpr int kNodes = 6;
constexpr char kTen[] = "Rate: 10\r\n";

// A target may get one and a half times what it declares in any window, and five requests more;
// the nodes are to stay within a tenth and a few.
int MostAllowed(double rate) {
  constexpr double kMaxRatio = 1.1;
  constexpr int kFew = 3;
  return static_cast<int>(kMaxRatio * rate * ToSeconds(declaring_fleet::kWindow)) + kFew;
}

}  // namespace

class declared_rate_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(declared_rate_path_test);
  CPPUNIT_TEST(Rate_DeclaredByTwoOfSix_IsKeptAndAllAreServed);
  CPPUNIT_TEST(Rate_DeclaredByAll_IsKeptAndUsed);
  CPPUNIT_TEST(Rate_OfZero_LeavesRoomForTriesOnly);
  CPPUNIT_TEST(Rate_DeclaredInRejections_IsKept);
  CPPUNIT_TEST(Rate_NodeBesideTheTargetRestarts_IsKept);
  CPPUNIT_TEST(Rate_NoLongerDeclared_TrafficIsBackWithinTwoSeconds);
  CPPUNIT_TEST(Leaving_DeclaredWhileListedAsReady_TargetGetsNothingMore);
  CPPUNIT_TEST(Leaving_OfAllTargets_RequestsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a target in need getting its usual share because it answers quickly.
  void Rate_DeclaredByTwoOfSix_IsKeptAndAllAreServed() {
    declaring_fleet world(kNodes);
    world.Declare(0, {.fields = kTen});
    world.Declare(1, {.fields = kTen});
    world.Send(kLoad, seconds(5));
    CPPUNIT_ASSERT(world.MostArrivals(0) <= MostAllowed(10));
    CPPUNIT_ASSERT(world.MostArrivals(1) <= MostAllowed(10));
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served());
  }

  // Guards against a service in need being sent all that clients ask for, and against it being
  // left idle.
  void Rate_DeclaredByAll_IsKeptAndUsed() {
    declaring_fleet world(kNodes);
    for (int target = 0; target < kNodes; ++target) {
      world.Declare(target, {.fields = kTen});
    }
    world.Send(kLoad, seconds(2));
    world.ForgetOutcomes();
    world.Send(kLoad, seconds(5));
    for (int target = 0; target < kNodes; ++target) {
      CPPUNIT_ASSERT(world.MostArrivals(target) <= MostAllowed(10));
    }
    constexpr double kMinUse = 0.9;
    CPPUNIT_ASSERT(world.served() >= static_cast<int>(kMinUse * kNodes * 10 * 5));
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served() + world.refused());
    CPPUNIT_ASSERT(world.all_refusals_have_retry_after());
  }

  // Guards against a target that takes nothing being sent its usual share.
  void Rate_OfZero_LeavesRoomForTriesOnly() {
    declaring_fleet world(kNodes);
    world.Declare(0, {.fields = "Rate: 0\r\n"});
    world.Send(kLoad, seconds(5));
    CPPUNIT_ASSERT(world.MostArrivals(0) <= 5);
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served());
  }

  // Guards against a rate that only the answers of rejected requests declare being overlooked.
  void Rate_DeclaredInRejections_IsKept() {
    declaring_fleet world(kNodes);
    for (int target = 0; target < kNodes; ++target) {
      world.Declare(target, {.fields = kTen, .rejects = true});
    }
    world.Send(kLoad, seconds(1));
    const instant told = world.now();
    world.Send(kLoad, seconds(4));
    for (int target = 0; target < kNodes; ++target) {
      CPPUNIT_ASSERT(world.ArrivalsSince(target, told) <= MostAllowed(10));
    }
  }

  // Guards against a node that starts anew beside a target in need knowing nothing of the rate that
  // all others were told.
  void Rate_NodeBesideTheTargetRestarts_IsKept() {
    declaring_fleet world(kNodes);
    world.Declare(0, {.fields = "Rate: 4\r\n"});
    for (int time = 0; time < 3; ++time) {
      world.Send(kLoad, milliseconds(1'500));
      world.RestartNode(0);
    }
    world.Send(kLoad, milliseconds(1'500));
    CPPUNIT_ASSERT(world.MostArrivals(0) <= MostAllowed(4));
  }

  // Guards against a target staying without traffic after its need is over.
  void Rate_NoLongerDeclared_TrafficIsBackWithinTwoSeconds() {
    declaring_fleet world(kNodes);
    world.Declare(0, {.fields = "Rate: 0\r\n"});
    world.Send(kLoad, seconds(2));
    world.Declare(0, {});
    world.Send(kLoad, seconds(2));
    const instant recovered = world.now();
    world.Send(kLoad, seconds(2));
    // Half of an equal share.
    CPPUNIT_ASSERT(world.ArrivalsSince(0, recovered) >= static_cast<int>(kLoad / kNodes));
  }

  // Guards against a target that leaves being sent requests until its node hears it from the
  // platform.
  void Leaving_DeclaredWhileListedAsReady_TargetGetsNothingMore() {
    declaring_fleet world(kNodes);
    world.Declare(0, {.fields = "Leaving: 1\r\n"});
    world.Send(kLoad, seconds(2));
    world.RestartNode(0);
    world.Send(kLoad, seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, world.ArrivalsAfterTold(0, milliseconds(200)));
    CPPUNIT_ASSERT_EQUAL(world.sent(), world.served());
  }

  void Leaving_OfAllTargets_RequestsAreRefused() {
    declaring_fleet world(kNodes);
    for (int target = 0; target < kNodes; ++target) {
      world.Declare(target, {.fields = "Leaving: 1\r\n"});
    }
    world.Send(kLoad, seconds(2));
    for (int target = 0; target < kNodes; ++target) {
      CPPUNIT_ASSERT_EQUAL(0, world.ArrivalsAfterTold(target, milliseconds(200)));
    }
    CPPUNIT_ASSERT(world.refused() > 0);
    CPPUNIT_ASSERT(world.all_refusals_have_retry_after());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_rate_path_test);

}  // namespace cuminferry::testing
