#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_core/cuminferry_core.h"
#include "support/property.h"

namespace cuminferry {

class hybrid_clock_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(hybrid_clock_test);
  CPPUNIT_TEST(Clock_AnyWallTimes_TimesOnlyIncrease);
  CPPUNIT_TEST(Clock_PeerFarAhead_IsIgnored);
  CPPUNIT_TEST(EventLog_Full_DropsTheOldest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Clock_AnyWallTimes_TimesOnlyIncrease() {
    testing::CheckProperty("times only go up", [](const std::vector<std::int32_t>& wall_times) {
      hybrid_clock clock;
      hybrid_time last;
      for (const std::int32_t wall_time : wall_times) {
        const hybrid_time next = wall_time % 2 == 0
                                     ? clock.Tick(wall_time)
                                     : clock.Observe(wall_time, {std::int64_t{wall_time} + 5, 3});
        RC_ASSERT(next > last || last == hybrid_time{});
        last = next;
      }
    });
  }

  // Guards against one machine's wall clock, a day ahead, advancing the times of all events in the
  // fleet.
  void Clock_PeerFarAhead_IsIgnored() {
    hybrid_clock clock;
    clock.Observe(1000, {1000 + 2 * hybrid_clock::kMaxLeadMicros, 0});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, clock.last().wall_micros);
  }

  void EventLog_Full_DropsTheOldest() {
    event_log log(2);
    for (std::int64_t value = 0; value < 3; ++value) {
      log.Add({.kind = event_kind::kLimitMoved, .value = value});
    }
    const auto events = log.Snapshot();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, events.front().value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.dropped());
  }
};

class recent_maximum_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(recent_maximum_test);
  CPPUNIT_TEST(Value_CountFalls_IsHeldForItsMemory);
  CPPUNIT_TEST(Value_ToldOnce_IsHeldForItsMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a share that grows at once when a list loses entries, and against one that never
  // grows again.
  void Value_CountFalls_IsHeldForItsMemory() {
    const instant start = FromMicros(1'000'000'000);
    recent_maximum targets;
    targets.Set(7, start);
    targets.Set(2, start + std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, targets.ValueAt(start + recent_maximum::kMemory));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.ValueAt(start + 3 * recent_maximum::kMemory));
  }

  // Guards against a number that one calling node told long ago.
  void Value_ToldOnce_IsHeldForItsMemory() {
    const instant start = FromMicros(1'000'000'000);
    recent_maximum targets;
    targets.Set(2, start);
    targets.Add(5, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, targets.ValueAt(start + recent_maximum::kMemory));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.ValueAt(start + 3 * recent_maximum::kMemory));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hybrid_clock_test);
CPPUNIT_TEST_SUITE_REGISTRATION(recent_maximum_test);

}  // namespace cuminferry
