#include <cppunit/extensions/HelperMacros.h>

#include "relay/registration_play.h"

namespace cuminferry::testing {

class registration_world_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(registration_world_test);
  CPPUNIT_TEST(Retention_ByConfirmation_ReachesNoLeaver);
  CPPUNIT_TEST(Retention_SwitchedOff_LeavesServicesWithoutTargets);
  CPPUNIT_TEST(Retention_WithoutQueries_ReachesLeavers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to backend servers that left. Set REGISTRATION_FLEETS to try other
  // numbers of fleets, and REGISTRATION_SEED to play one.
  void Retention_ByConfirmation_ReachesNoLeaver() {
    const sums found = Play("confirmed", Number("REGISTRATION_FLEETS", 3'000),
                            registration_world::retention_mode::kConfirmed);
    CPPUNIT_ASSERT_EQUAL(0, found.fleets_too_late);
    CPPUNIT_ASSERT_EQUAL(0, found.fleets_late_to_silent);
  }

  // Guards against fleets in which nothing needs retention.
  void Retention_SwitchedOff_LeavesServicesWithoutTargets() {
    const sums found = Play("none", kComparedFleets, registration_world::retention_mode::kNone);
    CPPUNIT_ASSERT(found.fleets_with_gaps > kComparedFleets / 20);
  }

  // Guards against fleets in which no backend server gets requests after it left.
  void Retention_WithoutQueries_ReachesLeavers() {
    const sums found =
        Play("blanket", kComparedFleets, registration_world::retention_mode::kBlanket);
    CPPUNIT_ASSERT(found.fleets_too_late > kComparedFleets / 20);
  }

 private:
  static constexpr int kComparedFleets = 200;
};

CPPUNIT_TEST_SUITE_REGISTRATION(registration_world_test);

}  // namespace cuminferry::testing
