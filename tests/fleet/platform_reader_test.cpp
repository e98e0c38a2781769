#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reads of one reader within a time, all ending alike.
std::uint64_t ReadsWithin(platform_reader& reader, instant& now, seconds length, read_end end,
                          random_source& random) {
  const std::uint64_t before = reader.reads();
  for (const instant until = now + length; now < until; now += milliseconds(50)) {
    if (reader.OnTick(now, random).has_value()) {
      reader.OnRead(end, now, random);
    }
  }
  return reader.reads() - before;
}

}  // namespace

class platform_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_reader_test);
  CPPUNIT_TEST(Reads_FleetOfSevenThousand_StayWithinTheBudget);
  CPPUNIT_TEST(Reads_PlatformDown_BackOff);
  CPPUNIT_TEST(Contents_ManyWantedAtOnce_AreHeldToTheBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Reads_FleetOfSevenThousand_StayWithinTheBudget() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.UseFleetSize(7'000);
    reader.Follow("instances/b");
    const std::uint64_t reads = ReadsWithin(reader, now, seconds(7'000), read_end::kValue, random);
    // In 7,000 s the node's part of the fleet's 50 reads a second is 50 reads.
    CPPUNIT_ASSERT(reads >= 30 && reads <= 75);
  }

  // The platform does not answer for hours. Thousands of nodes that went on trying at
  // full speed would keep it down when it comes back.
  void Reads_PlatformDown_BackOff() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.UseFleetSize(7'000);
    const std::uint64_t reads =
        ReadsWithin(reader, now, seconds(3'600), read_end::kUnreachable, random);
    CPPUNIT_ASSERT(!reader.reachable());
    CPPUNIT_ASSERT(reads <= 200);
  }

  void Contents_ManyWantedAtOnce_AreHeldToTheBudget() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.UseFleetSize(7'000);
    for (int name = 0; name < 500; ++name) {
      reader.Want("service-" + std::to_string(name));
    }
    const std::uint64_t reads = ReadsWithin(reader, now, seconds(60), read_end::kValue, random);
    CPPUNIT_ASSERT(reads <= 75);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_reader_test);

}  // namespace cuminferry::testing
