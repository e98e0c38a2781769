#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr duration kService = milliseconds(20);
constexpr std::uint32_t kSlots = 100;
constexpr double kTop = 3.0;

}  // namespace

class admission_level_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_level_test);
  CPPUNIT_TEST(Step_NoWait_StaysOpen);
  CPPUNIT_TEST(Step_LongWaits_FallsByABoundedStep);
  CPPUNIT_TEST(Step_LoadGone_OpensWithinASecond);
  CPPUNIT_TEST(Step_FullSlotsWithoutWait_RisesSlowly);
  CPPUNIT_TEST(Aim_ManySlots_IsShort);
  CPPUNIT_TEST(Step_LoadComesLate_StepsAreSmaller);
  CPPUNIT_TEST(SetTop_BeforeAnyTable_OpensToTheTablesTop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Step_NoWait_StaysOpen() {
    admission_level level(kTop);
    level.Step(duration::zero(), 90, kSlots, kService);
    CPPUNIT_ASSERT(level.open());
  }

  void Step_LongWaits_FallsByABoundedStep() {
    admission_level level(kTop);
    level.Step(milliseconds(900), 100, kSlots, kService);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kTop - admission_level::kFallPerStep, level.level(), 1e-9);
  }

  // A second of cut links drives the level down; then the load is a quarter of the slots. With
  // the slow rise alone, maps were refused for seven seconds beside idle slots.
  void Step_LoadGone_OpensWithinASecond() {
    admission_level level(kTop);
    for (int step = 0; step < 17; ++step) {
      level.Step(milliseconds(400), 100, kSlots, kService);
    }
    CPPUNIT_ASSERT(level.level() < 1.4);
    for (int step = 0; step < 10; ++step) {
      level.Step(duration::zero(), 20, kSlots, kService);
    }
    CPPUNIT_ASSERT(level.open());
  }

  void Step_FullSlotsWithoutWait_RisesSlowly() {
    admission_level level(kTop);
    for (int step = 0; step < 10; ++step) {
      level.Step(milliseconds(400), 100, kSlots, kService);
    }
    const double low = level.level();
    level.Step(duration::zero(), 95, kSlots, kService);
    CPPUNIT_ASSERT(level.level() - low <= admission_level::kRisePerStep + 1e-9);
  }

  // Calls arrive a second after their requests were let in. Steps as large as in a quick graph
  // refuse everything of a row before the first of them shows, and then let too much in: parents
  // see every other two seconds refused beside free slots.
  void Step_LoadComesLate_StepsAreSmaller() {
    admission_level level(kTop);
    for (int arrival = 0; arrival < 1'000; ++arrival) {
      level.OnArrival(milliseconds(1'200));
    }
    for (int step = 0; step < 10; ++step) {
      level.Step(milliseconds(900), 100, kSlots, kService);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kTop - 10 * admission_level::kFallPerStep / 3, level.level(),
                                 0.01);
  }

  // A request makes five calls, one after the other, to a service with 300 slots a server. Aiming
  // at the wait that 23 slots need, each call waits twice as long as it has to, its parents hold
  // their slots meanwhile, and the services above are full before this one is.
  void Aim_ManySlots_IsShort() {
    const duration few = admission_level::Aim(23, milliseconds(22));
    CPPUNIT_ASSERT(few >= milliseconds(40) && few <= milliseconds(48));
    const duration many = admission_level::Aim(280, milliseconds(90));
    CPPUNIT_ASSERT(many >= admission_level::kLeastAim && many <= milliseconds(30));
  }

  // A node that starts knows no table yet. A level of its own making, told to others with the
  // first answers, would turn farmers away beside an idle backend server.
  void SetTop_BeforeAnyTable_OpensToTheTablesTop() {
    admission_level level(1000.0);
    level.Step(duration::zero(), 0, kSlots, kService);
    level.SetTop(kTop);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kTop, level.level(), 1e-9);
    CPPUNIT_ASSERT(level.open());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_level_test);

}  // namespace cuminferry::testing
