#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs a reader for a time, with one outcome for all reads. Returns the number of reads.
std::uint64_t ReadsWithin(platform_reader& reader, instant& now, seconds length,
                          read_outcome outcome, random_source& random) {
  const std::uint64_t before = reader.reads();
  for (const instant until = now + length; now < until; now += milliseconds(50)) {
    if (reader.OnTick(now, random).has_value()) {
      reader.OnRead(outcome, now, random);
    }
  }
  return reader.reads() - before;
}

}  // namespace

class platform_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_reader_test);
  CPPUNIT_TEST(Reads_FleetOfSevenThousand_StayWithinTheBudget);
  CPPUNIT_TEST(Reads_AllStartAtOnce_SomeoneReadsTheIndexEachSecond);
  CPPUNIT_TEST(Reads_PlatformDown_BackOff);
  CPPUNIT_TEST(Contents_ManyWantedAtOnce_AreHeldToTheBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Reads_FleetOfSevenThousand_StayWithinTheBudget() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.SetFleetSize(7'000);
    reader.Follow("instances/b");
    const std::uint64_t reads =
        ReadsWithin(reader, now, seconds(7'000), read_outcome::kValue, random);
    // The node's share of the fleet's 50 reads per second is 50 reads in 7,000 s.
    CPPUNIT_ASSERT(reads >= 30 && reads <= 75);
  }

  // All nodes of a fleet start together. If all waited at least half a period before their
  // next read of the index, no node would notice an edit in these minutes.
  void Reads_AllStartAtOnce_SomeoneReadsTheIndexEachSecond() {
    constexpr int kReaders = 700;
    random_source random(7);
    const instant start = instant(seconds(1000));
    std::vector<std::unique_ptr<platform_reader>> readers;
    for (int number = 0; number < kReaders; ++number) {
      readers.push_back(std::make_unique<platform_reader>(
          platform_reader::options{.own_list = "instances/a"}, start, random));
      readers.back()->SetFleetSize(kReaders);
    }
    for (int second = 1; second < 40; ++second) {
      std::size_t index_reads = 0;
      for (auto& reader : readers) {
        const instant now = start + seconds(second);
        const auto name = reader->OnTick(now, random);
        index_reads += name == kIndexName ? 1 : 0;
        if (name.has_value()) {
          reader->OnRead(read_outcome::kValue, now, random);
        }
      }
      CPPUNIT_ASSERT(index_reads > 0);
    }
  }

  // The platform does not answer for hours. If thousands of nodes retried at full rate, they
  // would overload the platform again when it recovers.
  void Reads_PlatformDown_BackOff() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.SetFleetSize(7'000);
    const std::uint64_t reads =
        ReadsWithin(reader, now, seconds(3'600), read_outcome::kUnreachable, random);
    CPPUNIT_ASSERT(!reader.reachable());
    CPPUNIT_ASSERT(reads <= 200);
  }

  void Contents_ManyWantedAtOnce_AreHeldToTheBudget() {
    random_source random(7);
    instant now = instant(seconds(1000));
    platform_reader reader({.own_list = "instances/a"}, now, random);
    reader.SetFleetSize(7'000);
    for (int name = 0; name < 500; ++name) {
      reader.Want("service-" + std::to_string(name));
    }
    const std::uint64_t reads = ReadsWithin(reader, now, seconds(60), read_outcome::kValue, random);
    CPPUNIT_ASSERT(reads <= 75);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_reader_test);

}  // namespace cuminferry::testing
