#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using run_fate = row_causes::run_fate;

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
  causes.OnRunEnd("roster", kStart, kStart + milliseconds(30), run_fate::kWhole);
  return causes;
}

/** A node whose rows break off with a call of a row that is limited; too early to lay calls to
 * rows. */
row_causes BreakingOff(run_fate fate = run_fate::kFailed) {
  row_causes causes;
  for (int run = 0; run < 20; ++run) {
    const instant began = kStart + run * milliseconds(10);
    causes.OnRunStart("index", began);
    causes.OnCall("roster", began + milliseconds(1));
    causes.OnRunEnd("index", began, began + milliseconds(5), fate);
  }
  // The windows before are read.
  causes.OnRunStart("index", kStart + milliseconds(300));
  return causes;
}

/** What limits the row that is called. */
entry_admission Further(double share) {
  entry_admission admission;
  admission.OnAnswer("roster", Own(share), false, kStart);
  return admission;
}

}  // namespace

class limit_to_tell_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_to_tell_test);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndOwnSlotsFull_TellsTheOwn);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndLowerInForce_TellsNothing);
  CPPUNIT_TEST(LimitToTell_CausesUnknownAndOwnSlotsFree_TellsNothing);
  CPPUNIT_TEST(LimitToTell_CallsWereRequestsOfClients_TellsTheOwn);
  CPPUNIT_TEST(LimitToTell_RowBreaksOffForNoKnownCall_TellsWhatLimitsThoseMade);
  CPPUNIT_TEST(LimitToTell_RowBreaksOffButIsKnownToBeFree_TellsNothing);
  CPPUNIT_TEST(LimitToTell_CallersLeave_SaysThatItsSlotsAreFree);
  CPPUNIT_TEST(LimitToTell_LeafBreaksOff_TellsThatItsSlotsAreFree);
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

  // Guards against one of several nodes that has not found the cause and opens the row for all.
  void LimitToTell_RowBreaksOffForNoKnownCall_TellsWhatLimitsThoseMade() {
    const row_causes causes = BreakingOff();
    CPPUNIT_ASSERT(causes.CalledBy("index").empty());
    const auto told = LimitToTell("index", Own(1.0), {}, causes, Further(0.5), kStart);
    CPPUNIT_ASSERT(told.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, told->share, 1e-9);
  }

  // Guards against a restarted node that has rows refused for a service that they never use.
  void LimitToTell_RowBreaksOffButIsKnownToBeFree_TellsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("index", Own(1.0), 1.0, BreakingOff(), Further(0.5), kStart));
  }

  // Guards against rows that are refused for services which they never use, as clients leave.
  void LimitToTell_CallersLeave_SaysThatItsSlotsAreFree() {
    const row_causes causes = BreakingOff(run_fate::kCutOff);
    CPPUNIT_ASSERT(!causes.MayCallUnseen("index"));
    CPPUNIT_ASSERT(!LimitToTell("index", Own(1.0), 0.5, causes, Further(0.3), kStart));
  }

  // Guards against a leaf whose runs fail of themselves and that can never say that it has room.
  void LimitToTell_LeafBreaksOff_TellsThatItsSlotsAreFree() {
    row_causes causes;
    for (int run = 0; run < 20; ++run) {
      const instant began = kStart + run * milliseconds(10);
      causes.OnRunStart("roster", began);
      causes.OnRunEnd("roster", began, began + milliseconds(5), run_fate::kFailed);
    }
    CPPUNIT_ASSERT(LimitToTell("roster", Own(1.0), 0.3, causes, {}, kStart) == Own(1.0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_to_tell_test);

}  // namespace cuminferry::testing
