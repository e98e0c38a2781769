#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using run_fate = row_causes::run_fate;

constexpr instant kStart = FromMicros(1'000'000);

row_limit OwnLimit(double share) {
  return {.share = share, .cost = milliseconds(30), .service = "leaf"};
}

/** A node that has just started. Its backend server ran a row while a client sent a request of
    another row. */
row_causes JustStarted() {
  row_causes causes;
  causes.OnRunStart("roster", kStart);
  causes.OnCall("read", kStart + milliseconds(1));
  causes.OnRunEnd("roster", kStart, kStart + milliseconds(30), run_fate::kWhole);
  return causes;
}

/** A node whose runs are aborted after a call of a limited row, too soon after the start to
    attribute calls to rows. */
row_causes WithAbortedRuns(run_fate outcome = run_fate::kFailed) {
  row_causes causes;
  for (int run = 0; run < 20; ++run) {
    const instant started = kStart + run * milliseconds(10);
    causes.OnRunStart("index", started);
    causes.OnCall("roster", started + milliseconds(1));
    causes.OnRunEnd("index", started, started + milliseconds(5), outcome);
  }
  // Makes the node evaluate the earlier windows.
  causes.OnRunStart("index", kStart + milliseconds(300));
  return causes;
}

/** An admission state with a limit on the called row. */
entry_admission WithCalledRowLimit(double share) {
  entry_admission admission;
  admission.OnAnswer("roster", OwnLimit(share), false, kStart);
  return admission;
}

}  // namespace

class limit_to_tell_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_to_tell_test);
  CPPUNIT_TEST(LimitToReport_CallsUnknownAndOwnSlotsFull_IsTheOwnLimit);
  CPPUNIT_TEST(LimitToReport_CallsUnknownAndLowerInForce_IsNothing);
  CPPUNIT_TEST(LimitToReport_CallsUnknownAndOwnSlotsFree_IsNothing);
  CPPUNIT_TEST(LimitToReport_CallsWereRequestsOfClients_IsTheOwnLimit);
  CPPUNIT_TEST(LimitToReport_RunsAbortWithoutAttributedCalls_IsTheCalledRowsLimit);
  CPPUNIT_TEST(LimitToReport_RunsAbortButRowIsNotLimited_IsNothing);
  CPPUNIT_TEST(LimitToReport_CallersLeave_IgnoresTheCalledRowsLimit);
  CPPUNIT_TEST(LimitToReport_LeafServiceRunsFail_IsTheOwnLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a full service that reports no limit in its first seconds.
  void LimitToReport_CallsUnknownAndOwnSlotsFull_IsTheOwnLimit() {
    const auto reported = LimitToTell("roster", OwnLimit(0.6), {}, JustStarted(), {}, kStart);
    CPPUNIT_ASSERT(reported == OwnLimit(0.6));
  }

  // Guards against a node that has just started and overrides a lower limit of a called service.
  void LimitToReport_CallsUnknownAndLowerInForce_IsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("roster", OwnLimit(0.6), 0.4, JustStarted(), {}, kStart));
  }

  void LimitToReport_CallsUnknownAndOwnSlotsFree_IsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("roster", OwnLimit(1.0), {}, JustStarted(), {}, kStart));
  }

  // Guards against counting clients' requests as calls: for seconds the node would not know that
  // its backend server makes no calls.
  void LimitToReport_CallsWereRequestsOfClients_IsTheOwnLimit() {
    row_causes causes = JustStarted();
    CPPUNIT_ASSERT(!causes.IsKnown("roster"));
    causes.OnSentByClients("read");
    CPPUNIT_ASSERT(causes.IsKnown("roster"));
    CPPUNIT_ASSERT(LimitToTell("roster", OwnLimit(1.0), {}, causes, {}, kStart) == OwnLimit(1.0));
  }

  // Guards against one of several nodes that has not attributed the calls yet and opens the row at
  // all ingress nodes.
  void LimitToReport_RunsAbortWithoutAttributedCalls_IsTheCalledRowsLimit() {
    const row_causes causes = WithAbortedRuns();
    CPPUNIT_ASSERT(causes.CalledBy("index").empty());
    const auto reported =
        LimitToTell("index", OwnLimit(1.0), {}, causes, WithCalledRowLimit(0.5), kStart);
    CPPUNIT_ASSERT(reported.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, reported->share, 1e-9);
  }

  // Guards against a restarted node that causes rows to be refused because of a service that they
  // never use.
  void LimitToReport_RunsAbortButRowIsNotLimited_IsNothing() {
    CPPUNIT_ASSERT(!LimitToTell("index", OwnLimit(1.0), 1.0, WithAbortedRuns(),
                                WithCalledRowLimit(0.5), kStart));
  }

  // Guards against rows that are refused because of services that they never use when clients
  // leave.
  void LimitToReport_CallersLeave_IgnoresTheCalledRowsLimit() {
    const row_causes causes = WithAbortedRuns(run_fate::kCutOff);
    CPPUNIT_ASSERT(!causes.MayCallUnseen("index"));
    CPPUNIT_ASSERT(
        !LimitToTell("index", OwnLimit(1.0), 0.5, causes, WithCalledRowLimit(0.3), kStart));
  }

  // Guards against a leaf service that can never report free slots because its runs fail for
  // reasons of their own.
  void LimitToReport_LeafServiceRunsFail_IsTheOwnLimit() {
    row_causes causes;
    for (int run = 0; run < 20; ++run) {
      const instant started = kStart + run * milliseconds(10);
      causes.OnRunStart("roster", started);
      causes.OnRunEnd("roster", started, started + milliseconds(5), run_fate::kFailed);
    }
    CPPUNIT_ASSERT(LimitToTell("roster", OwnLimit(1.0), 0.3, causes, {}, kStart) == OwnLimit(1.0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_to_tell_test);

}  // namespace cuminferry::testing
