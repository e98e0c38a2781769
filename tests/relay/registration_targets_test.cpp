#include <cppunit/extensions/HelperMacros.h>

#include "relay/registration_play.h"

namespace cuminferry::testing {

class registration_targets_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(registration_targets_test);
  CPPUNIT_TEST(Retention_ByConfirmation_KeepsTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers without a target of a service while a tenth of its backend servers serve
  // and can be reached.
  void Retention_ByConfirmation_KeepsTargets() {
    const sums found = Play("confirmed", Number("REGISTRATION_FLEETS", 3'000),
                            registration_world::retention_mode::kConfirmed);
    CPPUNIT_ASSERT_EQUAL(0, found.fleets_with_gaps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registration_targets_test);

}  // namespace cuminferry::testing
