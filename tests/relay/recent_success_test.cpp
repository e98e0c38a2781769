#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);

}  // namespace

class recent_success_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(recent_success_test);
  CPPUNIT_TEST(Share_NothingNoted_IsWhole);
  CPPUNIT_TEST(Share_HalfFail_ShowsWithinASecond);
  CPPUNIT_TEST(Share_FaultOverAndNothingSent_Recovers);
  CPPUNIT_TEST(Share_FailsOnWhenTried_FewAreLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Share_NothingNoted_IsWhole() {
    const recent_success success;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, success.Share(kStart), 1e-9);
  }

  void Share_HalfFail_ShowsWithinASecond() {
    recent_success success;
    instant now = kStart;
    for (int answer = 0; answer < 50; ++answer) {
      now += milliseconds(20);
      success.Note(answer % 2 == 0, now);
    }
    CPPUNIT_ASSERT(success.Share(now) < 0.65);
  }

  // A backend server loses answers for four seconds, and the nodes pass it over. Nothing is sent
  // there, so that no answer says that it is well: its slots stayed empty for the rest of the
  // morning, and planners were refused beside them.
  void Share_FaultOverAndNothingSent_Recovers() {
    recent_success success;
    instant now = kStart;
    for (int answer = 0; answer < 100; ++answer) {
      now += milliseconds(20);
      success.Note(answer % 5 != 0, now);
    }
    CPPUNIT_ASSERT(success.Share(now) < 0.9);
    CPPUNIT_ASSERT(success.Share(now + seconds(8)) > 0.98);
  }

  // A backend server that fails everything is given another chance whenever its failures are
  // forgotten by half. Each chance costs a caller's request.
  void Share_FailsOnWhenTried_FewAreLost() {
    constexpr double kTriedFrom = 0.95;
    recent_success success;
    int lost = 0;
    for (instant now = kStart; now < kStart + seconds(20); now += milliseconds(10)) {
      if (success.Share(now) > kTriedFrom) {
        success.Note(false, now);
        ++lost;
      }
    }
    CPPUNIT_ASSERT(lost <= 30);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recent_success_test);

}  // namespace cuminferry::testing
