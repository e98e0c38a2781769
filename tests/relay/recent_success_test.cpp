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
  CPPUNIT_TEST(RateAt_NoAnswers_IsOne);
  CPPUNIT_TEST(RateAt_HalfFail_FallsWithinASecond);
  CPPUNIT_TEST(RateAt_FaultOverAndNothingSent_Recovers);
  CPPUNIT_TEST(RateAt_FailsWheneverTried_FewRequestsAreLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RateAt_NoAnswers_IsOne() {
    const recent_success success;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, success.RateAt(kStart), 1e-9);
  }

  void RateAt_HalfFail_FallsWithinASecond() {
    recent_success success;
    instant now = kStart;
    for (int answer = 0; answer < 50; ++answer) {
      now += milliseconds(20);
      success.OnAnswer(answer % 2 == 0, now);
    }
    CPPUNIT_ASSERT(success.RateAt(now) < 0.65);
  }

  // Guards against a backend server that stays idle after a fault. It loses answers for four
  // seconds, so nodes avoid it, and without requests no answer shows its recovery. Its slots then
  // stay free while requests are refused.
  void RateAt_FaultOverAndNothingSent_Recovers() {
    recent_success success;
    instant now = kStart;
    for (int answer = 0; answer < 100; ++answer) {
      now += milliseconds(20);
      success.OnAnswer(answer % 5 != 0, now);
    }
    CPPUNIT_ASSERT(success.RateAt(now) < 0.9);
    CPPUNIT_ASSERT(success.RateAt(now + seconds(8)) > 0.98);
  }

  // Guards against trying a backend server that always fails too often. The server is tried
  // whenever its success rate has recovered, and each trial costs a caller's request.
  void RateAt_FailsWheneverTried_FewRequestsAreLost() {
    constexpr double kMinRateToTry = 0.95;
    recent_success success;
    int lost_requests = 0;
    for (instant now = kStart; now < kStart + seconds(20); now += milliseconds(10)) {
      if (success.RateAt(now) > kMinRateToTry) {
        success.OnAnswer(false, now);
        ++lost_requests;
      }
    }
    CPPUNIT_ASSERT(lost_requests <= 30);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recent_success_test);

}  // namespace cuminferry::testing
