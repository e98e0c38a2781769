#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

published_instance Instance(std::uint32_t number, bool leaving = false) {
  return {.instance = "permit-" + std::to_string(number),
          .failure_domain = "halle-nord",
          .region = "schwaben-nord",
          .peer = {number, 9000},
          .target_slot = 0,
          .leaving = leaving};
}

published_instances List(std::uint64_t version, std::vector<published_instance> instances) {
  return {.service = "permit", .version = version, .instances = std::move(instances)};
}

// Whether new work may go to it.
bool IsEligible(const member_view& view, std::uint32_t number) {
  const std::vector<member> all = view.members();
  return std::any_of(all.begin(), all.end(), [number](const member& one) {
    return one.info.peer.address == number && !one.leaving;
  });
}

}  // namespace

class member_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(member_view_test);
  CPPUNIT_TEST(Leaving_AnyLaterWordOfTheList_GetsNothingNew);
  CPPUNIT_TEST(Restarted_NewIncarnationHeard_IsUsedAgain);
  CPPUNIT_TEST(Restarted_LateGoodbyeOfTheOldOne_IsUsedStill);
  CPPUNIT_TEST(Newcomer_NotListedYet_IsUsed);
  CPPUNIT_TEST(Listed_Leaving_GetsNothingNewThoughItGreets);
  CPPUNIT_TEST(Lost_HeardAgain_IsUsedAgain);
  CPPUNIT_TEST(Pause_OfThisProcess_ForgetsNoPeer);
  CPPUNIT_TEST(View_ManyStrangers_StaysBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance drains for minutes while the platform's list goes on calling it live. A
  // permit sent there then would be cut off when it stops.
  void Leaving_AnyLaterWordOfTheList_GetsNothingNew() {
    CheckProperty("leaving sticks", [](const std::vector<std::uint8_t>& steps) {
      member_view view("permit");
      instant now = instant(seconds(1000));
      view.UseList(List(1, {Instance(1), Instance(2)}), now);
      view.OnHello({Instance(1), 76}, now);
      view.OnHello({Instance(1), 77}, now);
      view.OnLeaving({1, 9000}, 77, now);
      std::uint64_t version = 1;
      for (const std::uint8_t step : steps) {
        now += seconds(step);
        switch (step % 7) {
          case 0:
            view.UseList(List(++version, {Instance(1), Instance(2)}), now);
            break;
          case 1:
            view.OnHeard({1, 9000}, 77, now);
            break;
          case 2:
            view.OnHello({Instance(1), 77}, now);
            break;
          case 3:
            view.OnLost({1, 9000}, now);
            break;
          case 4:
            view.OnHeard({1, 9000}, 76, now);
            break;
          case 5:
            view.OnHello({Instance(1), 76}, now);
            break;
          default:
            view.OnTick(now);
            break;
        }
        RC_ASSERT(!IsEligible(view, 1));
        RC_ASSERT(IsEligible(view, 2));
      }
    });
  }

  // The goodbye of the process that stopped comes after the hello of its successor.
  void Restarted_LateGoodbyeOfTheOldOne_IsUsedStill() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.OnHello({Instance(1), 77}, now);
    view.OnHello({Instance(1), 78}, now);
    CPPUNIT_ASSERT(!view.OnLeaving({1, 9000}, 77, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  // An instance restarts at the same address. Were it held to be leaving for ever, each
  // rolling restart would make the fleet smaller until nothing is left.
  void Restarted_NewIncarnationHeard_IsUsedAgain() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UseList(List(1, {Instance(1)}), now);
    view.OnHello({Instance(1), 77}, now);
    view.OnLeaving({1, 9000}, 77, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.doubtful().size());
    CPPUNIT_ASSERT(view.OnHeard({1, 9000}, 78, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  void Newcomer_NotListedYet_IsUsed() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UseList(List(1, {Instance(1)}), now);
    CPPUNIT_ASSERT(view.OnHello({Instance(2), 5}, now));
    view.UseList(List(2, {Instance(1)}), now + seconds(10));
    CPPUNIT_ASSERT(IsEligible(view, 2));
    view.OnTick(now + minutes(30));
    CPPUNIT_ASSERT(!IsEligible(view, 2));
  }

  // The platform means to stop an instance that does not know it yet and still greets.
  void Listed_Leaving_GetsNothingNewThoughItGreets() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.OnHello({Instance(1), 77}, now);
    view.UseList(List(2, {Instance(1, true)}), now);
    view.OnHello({Instance(1), 77}, now);
    CPPUNIT_ASSERT(!IsEligible(view, 1));
    view.OnHello({Instance(1), 78}, now);
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  void Lost_HeardAgain_IsUsedAgain() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UseList(List(1, {Instance(1)}), now);
    CPPUNIT_ASSERT(view.OnLost({1, 9000}, now));
    CPPUNIT_ASSERT(!IsEligible(view, 1));
    CPPUNIT_ASSERT(view.OnHeard({1, 9000}, 3, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  // This process stood still for an hour and heard nobody. Its peers were well.
  void Pause_OfThisProcess_ForgetsNoPeer() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.OnHello({Instance(1), 77}, now);
    view.OnPause(minutes(60));
    view.OnTick(now + minutes(60));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  void View_ManyStrangers_StaysBounded() {
    member_view view("permit");
    for (std::uint32_t number = 1; number < 1'000; ++number) {
      view.OnHello({Instance(number), number}, instant(seconds(1000)));
    }
    CPPUNIT_ASSERT(view.members().size() <= member_view::kUnlistedBound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_view_test);

}  // namespace cuminferry::testing
