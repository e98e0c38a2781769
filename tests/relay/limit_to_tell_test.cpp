#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = FromMicros(1'000'000);

row_limit Own(double share) {
  return {.share = share, .cost = milliseconds(30), .service = "leaf"};
}

/** A node that has just started, beside a backend server that was seen to run a row while a client
    sent a request of another row. */
row_causes JustStarted() {
  row_causes causes;
  causes.OnRunStart("roster", kStart);
  causes.OnCall("read", kStart + milliseconds(1));
  causes.OnRunEnd("roster", kStart, kStart + milliseconds(30), true);
  return causes;
}

}  // namespace

class limit_to_tell_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_to_tell_test);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndOwnSlotsFull_TellsTheOwn);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndLowerInForce_TellsNothing);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndOwnSlotsFree_TellsNothing);
  CPPUNIT_TEST(LimitToTell_CallsWereRequestsOfClients_TellsTheOwn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a full service that keeps silent in its first seconds.
  void LimitToTell_CausesUnknownAndOwnSlotsFull_TellsTheOwn() {
    const auto told = LimitToTell("roster", Own(0.6), {}, JustStarted(), {}, kStart);
    CPPUNIT_ASSERT(told == Own(0.6));
  }

  // Guards against a node that has just started and talks its callers out of a limit further down.
  void LimitToTell_CausesUnknownAndLowerInForce_TellsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("roster", Own(0.6), 0.4, JustStarted(), {}, kStart));
  }

  void LimitToTell_CausesUnknownAndOwnSlotsFree_TellsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("roster", Own(1.0), {}, JustStarted(), {}, kStart));
  }

  // Guards against clients' requests that pass for calls: the node would not know for seconds whom
  // its backend server calls, though it calls nobody.
  void LimitToTell_CallsWereRequestsOfClients_TellsTheOwn() {
    row_causes causes = JustStarted();
    CPPUNIT_ASSERT(!causes.IsKnown("roster"));
    causes.OnSentByClients("read");
    CPPUNIT_ASSERT(causes.IsKnown("roster"));
    CPPUNIT_ASSERT(LimitToTell("roster", Own(1.0), {}, causes, {}, kStart) == Own(1.0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_to_tell_test);

}  // namespace cuminferry::testing
