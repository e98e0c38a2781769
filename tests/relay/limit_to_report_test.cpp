#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using run_outcome = call_attribution::run_outcome;

constexpr instant kStart = FromMicros(1'000'000);

row_limit OwnLimit(double share) {
  return {.share = share, .cost = milliseconds(30), .service = "leaf"};
}

/** A node that has just started. Its backend server ran a row while a client sent a request of
    another row. */
call_attribution JustStarted() {
  call_attribution attribution;
  attribution.OnRunStart("roster", kStart);
  attribution.OnCall("read", kStart + milliseconds(1));
  attribution.OnRunEnd("roster", kStart, kStart + milliseconds(30), run_outcome::kCompleted);
  return attribution;
}

/** A node whose runs are aborted after a call of a limited row, too soon after the start to
    attribute calls to rows. */
call_attribution WithAbortedRuns(run_outcome outcome = run_outcome::kFailed) {
  call_attribution attribution;
  for (int run = 0; run < 20; ++run) {
    const instant started = kStart + run * milliseconds(10);
    attribution.OnRunStart("index", started);
    attribution.OnCall("roster", started + milliseconds(1));
    attribution.OnRunEnd("index", started, started + milliseconds(5), outcome);
  }
  // Makes the node evaluate the earlier windows.
  attribution.OnRunStart("index", kStart + milliseconds(300));
  return attribution;
}

/** An admission state with a limit on the called row. */
ingress_admission WithCalledRowLimit(double share) {
  ingress_admission admission;
  admission.OnAnswer("roster", OwnLimit(share), false, kStart);
  return admission;
}

}  // namespace

class limit_to_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_to_report_test);
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
    const auto reported = LimitToReport("roster", OwnLimit(0.6), {}, JustStarted(), {}, kStart);
    CPPUNIT_ASSERT(reported == OwnLimit(0.6));
  }

  // Guards against a node that has just started and overrides a lower limit of a called service.
  void LimitToReport_CallsUnknownAndLowerInForce_IsNothing() {
    CPPUNIT_ASSERT(!LimitToReport("roster", OwnLimit(0.6), 0.4, JustStarted(), {}, kStart));
  }

  void LimitToReport_CallsUnknownAndOwnSlotsFree_IsNothing() {
    CPPUNIT_ASSERT(!LimitToReport("roster", OwnLimit(1.0), {}, JustStarted(), {}, kStart));
  }

  // Guards against counting clients' requests as calls: for seconds the node would not know that
  // its backend server makes no calls.
  void LimitToReport_CallsWereRequestsOfClients_IsTheOwnLimit() {
    call_attribution attribution = JustStarted();
    CPPUNIT_ASSERT(!attribution.KnowsCallsOf("roster"));
    attribution.OnSentByClients("read");
    CPPUNIT_ASSERT(attribution.KnowsCallsOf("roster"));
    CPPUNIT_ASSERT(LimitToReport("roster", OwnLimit(1.0), {}, attribution, {}, kStart) ==
                   OwnLimit(1.0));
  }

  // Guards against one of several nodes that has not attributed the calls yet and opens the row at
  // all ingress nodes.
  void LimitToReport_RunsAbortWithoutAttributedCalls_IsTheCalledRowsLimit() {
    const call_attribution attribution = WithAbortedRuns();
    CPPUNIT_ASSERT(attribution.CalleesOf("index").empty());
    const auto reported =
        LimitToReport("index", OwnLimit(1.0), {}, attribution, WithCalledRowLimit(0.5), kStart);
    CPPUNIT_ASSERT(reported.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, reported->share, 1e-9);
  }

  // Guards against a restarted node that causes rows to be refused because of a service that they
  // never use.
  void LimitToReport_RunsAbortButRowIsNotLimited_IsNothing() {
    CPPUNIT_ASSERT(!LimitToReport("index", OwnLimit(1.0), 1.0, WithAbortedRuns(),
                                  WithCalledRowLimit(0.5), kStart));
  }

  // Guards against rows that are refused because of services that they never use when clients
  // leave.
  void LimitToReport_CallersLeave_IgnoresTheCalledRowsLimit() {
    const call_attribution attribution = WithAbortedRuns(run_outcome::kCancelled);
    CPPUNIT_ASSERT(!attribution.MayMakeUnattributedCalls("index"));
    CPPUNIT_ASSERT(
        !LimitToReport("index", OwnLimit(1.0), 0.5, attribution, WithCalledRowLimit(0.3), kStart));
  }

  // Guards against a leaf service that can never report free slots because its runs fail for
  // reasons of their own.
  void LimitToReport_LeafServiceRunsFail_IsTheOwnLimit() {
    call_attribution attribution;
    for (int run = 0; run < 20; ++run) {
      const instant started = kStart + run * milliseconds(10);
      attribution.OnRunStart("roster", started);
      attribution.OnRunEnd("roster", started, started + milliseconds(5), run_outcome::kFailed);
    }
    CPPUNIT_ASSERT(LimitToReport("roster", OwnLimit(1.0), 0.3, attribution, {}, kStart) ==
                   OwnLimit(1.0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_to_report_test);

}  // namespace cuminferry::testing
