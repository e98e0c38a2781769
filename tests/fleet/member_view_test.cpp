#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

published_instance Instance(std::uint32_t number, bool draining = false) {
  return {.instance = "permit-" + std::to_string(number),
          .failure_domain = "halle-nord",
          .region = "schwaben-nord",
          .peer = {number, 9000},
          .target_slot = 0,
          .draining = draining};
}

published_instances List(std::uint64_t version, std::vector<published_instance> instances) {
  return {.service = "permit", .version = version, .instances = std::move(instances)};
}

// Whether the instance gets new work.
bool IsEligible(const member_view& view, std::uint32_t number) {
  const std::vector<member> all = view.members();
  return std::any_of(all.begin(), all.end(), [number](const member& one) {
    return one.info.peer.address == number && !one.draining;
  });
}

}  // namespace

class member_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(member_view_test);
  CPPUNIT_TEST(Leaving_AnyLaterWordOfTheList_GetsNothingNew);
  CPPUNIT_TEST(Restarted_NewIncarnationReceived_IsEligible);
  CPPUNIT_TEST(Restarted_LateDrainMessageOfOldIncarnation_StaysEligible);
  CPPUNIT_TEST(NewInstance_NotListedYet_IsEligible);
  CPPUNIT_TEST(Listed_DrainingButConnects_GetsNoNewWork);
  CPPUNIT_TEST(Lost_MessageReceived_IsEligibleAgain);
  CPPUNIT_TEST(Pause_OfThisProcess_RemovesNoPeer);
  CPPUNIT_TEST(View_ManyStrangers_StaysBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance drains for minutes while the platform's list still has it as live. A request
  // sent there would be aborted when the instance stops.
  void Leaving_AnyLaterWordOfTheList_GetsNothingNew() {
    CheckProperty("a draining instance stays draining", [](const std::vector<std::uint8_t>& steps) {
      member_view view("permit");
      instant now = instant(seconds(1000));
      view.UpdateList(List(1, {Instance(1), Instance(2)}), now);
      view.OnHello({Instance(1), 76}, now);
      view.OnHello({Instance(1), 77}, now);
      view.OnDraining({1, 9000}, 77, now);
      std::uint64_t version = 1;
      for (const std::uint8_t step : steps) {
        now += seconds(step);
        switch (step % 8) {
          case 0:
            view.UpdateList(List(++version, {Instance(1), Instance(2)}), now);
            break;
          case 1:
            view.OnReceived({1, 9000}, 77, now);
            break;
          case 2:
            view.OnHello({Instance(1), 77}, now);
            break;
          case 3:
            view.OnLost({1, 9000}, now);
            break;
          case 4:
            view.OnReceived({1, 9000}, 76, now);
            break;
          case 5:
            view.OnHello({Instance(1), 76}, now);
            break;
          case 6: {
            published_instance renamed = Instance(1);
            renamed.instance = "permit-old";
            view.UpdateList(List(++version, {renamed, Instance(2)}), now);
            break;
          }
          default:
            view.OnTick(now);
            break;
        }
        RC_ASSERT(!IsEligible(view, 1));
        RC_ASSERT(IsEligible(view, 2));
      }
    });
  }

  // The drain message of a stopped process arrives after the hello of its successor.
  void Restarted_LateDrainMessageOfOldIncarnation_StaysEligible() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.OnHello({Instance(1), 77}, now);
    view.OnHello({Instance(1), 78}, now);
    CPPUNIT_ASSERT(!view.OnDraining({1, 9000}, 77, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  // An instance restarts at the same address. If it counted as draining forever, rolling
  // restarts would exclude one instance after the other until none is left.
  void Restarted_NewIncarnationReceived_IsEligible() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UpdateList(List(1, {Instance(1)}), now);
    view.OnHello({Instance(1), 77}, now);
    view.OnDraining({1, 9000}, 77, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.instances_to_probe().size());
    CPPUNIT_ASSERT(view.OnReceived({1, 9000}, 78, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  void NewInstance_NotListedYet_IsEligible() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UpdateList(List(1, {Instance(1)}), now);
    CPPUNIT_ASSERT(view.OnHello({Instance(2), 5}, now));
    view.UpdateList(List(2, {Instance(1)}), now + seconds(10));
    CPPUNIT_ASSERT(IsEligible(view, 2));
    view.OnTick(now + minutes(30));
    CPPUNIT_ASSERT(!IsEligible(view, 2));
  }

  // The platform lists an instance as draining that does not know it yet and still connects.
  void Listed_DrainingButConnects_GetsNoNewWork() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.OnHello({Instance(1), 77}, now);
    view.UpdateList(List(2, {Instance(1, true)}), now);
    view.OnHello({Instance(1), 77}, now);
    CPPUNIT_ASSERT(!IsEligible(view, 1));
    view.OnHello({Instance(1), 78}, now);
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  void Lost_MessageReceived_IsEligibleAgain() {
    member_view view("permit");
    const instant now = instant(seconds(1000));
    view.UpdateList(List(1, {Instance(1)}), now);
    CPPUNIT_ASSERT(view.OnLost({1, 9000}, now));
    CPPUNIT_ASSERT(!IsEligible(view, 1));
    CPPUNIT_ASSERT(view.OnReceived({1, 9000}, 3, now));
    CPPUNIT_ASSERT(IsEligible(view, 1));
  }

  // This process did not run for an hour and received nothing, while its peers were running.
  void Pause_OfThisProcess_RemovesNoPeer() {
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
    CPPUNIT_ASSERT(view.members().size() <= member_view::kMaxUnlisted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_view_test);

}  // namespace cuminferry::testing
