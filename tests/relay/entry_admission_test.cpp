#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr double kTop = 3.0;

}  // namespace

class entry_admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(entry_admission_test);
  CPPUNIT_TEST(Level_NothingHeard_IsOpen);
  CPPUNIT_TEST(Level_ManyTargetsHeardSeldom_FollowsTheLastAnswers);
  CPPUNIT_TEST(Level_AnswersTogether_AreBlended);
  CPPUNIT_TEST(Level_NothingHeardForLong_Opens);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Level_NothingHeard_IsOpen() {
    const entry_admission admission;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kTop, admission.Level("map", kTop, kStart), 1e-9);
  }

  // Forty targets serve a row, and a node hears from one of them every 70 ms: from each every three
  // seconds. The service that all of them call fills up. Keeping a level for each target, the node
  // went on by what they said before, let rise for want of news, and farmers' readings, whose
  // targets are few, were refused in its place.
  void Level_ManyTargetsHeardSeldom_FollowsTheLastAnswers() {
    entry_admission admission;
    instant now = kStart;
    for (int answer = 0; answer < 60; ++answer) {
      admission.OnLevel("map", kTop, true, now);
      now += milliseconds(70);
    }
    for (int answer = 0; answer < 10; ++answer) {
      admission.OnLevel("map", 1.5, true, now);
      now += milliseconds(70);
    }
    CPPUNIT_ASSERT(admission.Level("map", kTop, now) < 1.7);
  }

  void Level_AnswersTogether_AreBlended() {
    entry_admission admission;
    instant now = kStart;
    for (int answer = 0; answer < 400; ++answer) {
      admission.OnLevel("map", answer % 2 == 0 ? 1.0 : 2.0, true, now);
      now += milliseconds(5);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, admission.Level("map", kTop, now), 0.1);
  }

  void Level_NothingHeardForLong_Opens() {
    entry_admission admission;
    admission.OnLevel("map", 1.0, true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.Level("map", kTop, kStart + milliseconds(400)),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kTop, admission.Level("map", kTop, kStart + seconds(3)), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_admission_test);

}  // namespace cuminferry::testing
