#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kStep = milliseconds(100);
constexpr instant kStart = FromMicros(1'000'000'000);

/** First attempts and retries on one path of one node, by steps of time. */
struct step_counts {
  double first_attempts = 0.0;
  double retries = 0.0;
};

/** Runs processes one after another, each as long as given, in which each call and retry fails. */
std::vector<step_counts> RunProcesses(const std::vector<duration>& lifetimes,
                                      double calls_a_second) {
  std::vector<step_counts> counts;
  instant now = kStart;
  double due = 0.0;
  for (const duration lifetime : lifetimes) {
    retry_ratio ratio(now);
    for (const instant end = now + lifetime; now < end; now += kStep) {
      step_counts& step = counts.emplace_back();
      for (due += calls_a_second * ToSeconds(kStep); due >= 1.0; due -= 1.0) {
        ratio.OnFirstAttempt(now);
        step.first_attempts += 1.0;
        step.retries += ratio.TakeOne(now) ? 1.0 : 0.0;
      }
    }
  }
  return counts;
}

/** Returns whether the retries of each span of time are within what may be earned, saved and
    granted. */
bool StaysBounded(const std::vector<step_counts>& counts) {
  for (std::size_t begin = 0; begin < counts.size(); ++begin) {
    step_counts sum;
    for (std::size_t at = begin; at < counts.size(); ++at) {
      sum.first_attempts += counts[at].first_attempts;
      sum.retries += counts[at].retries;
      const duration span = kStep * static_cast<duration::rep>(at - begin + 1);
      const double allowed =
          sum.first_attempts * retry_ratio::kEarnedPerCall + retry_ratio::kMaxBalance +
          retry_ratio::kMaxBalance * ToSeconds(span) / ToSeconds(retry_ratio::kGrantTime);
      if (sum.retries > allowed) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

class retry_ratio_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_ratio_test);
  CPPUNIT_TEST(Ratio_EveryCallFails_BoundsTheAmplification);
  CPPUNIT_TEST(Ratio_RestartsInSeries_GrantsNoMore);
  CPPUNIT_TEST(Ratio_RandomRestarts_StaysBounded);
  CPPUNIT_TEST(Ratio_RunsForLong_AllowsABurst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A service is down and each request has retry allowance left. Without the ratio, the number of
  // calls to the service would double while it recovers.
  void Ratio_EveryCallFails_BoundsTheAmplification() {
    constexpr int kCalls = 10'000;
    retry_ratio ratio(kStart);
    const instant now = kStart + retry_ratio::kGrantTime;
    int retries = 0;
    for (int call = 0; call < kCalls; ++call) {
      ratio.OnFirstAttempt(now);
      retries += ratio.TakeOne(now) ? 1 : 0;
    }
    const double max_retries = kCalls * retry_ratio::kEarnedPerCall + retry_ratio::kMaxBalance;
    CPPUNIT_ASSERT(retries <= max_retries);
    CPPUNIT_ASSERT(retries >= kCalls * retry_ratio::kEarnedPerCall * 0.9);
  }

  // Guards against each process of a series of restarts spending a full balance anew.
  void Ratio_RestartsInSeries_GrantsNoMore() {
    const std::vector<duration> lifetimes(40, milliseconds(500));
    CPPUNIT_ASSERT(StaysBounded(RunProcesses(lifetimes, 40.0)));
  }

  void Ratio_RandomRestarts_StaysBounded() {
    testing::CheckProperty("retries are earned, saved or granted", [] {
      const auto lifetimes = *rc::gen::container<std::vector<duration>>(
          rc::gen::map(rc::gen::inRange(1, 40), [](int steps) { return kStep * steps; }));
      const double calls_a_second = *rc::gen::inRange(1, 2'000) / 10.0;
      RC_ASSERT(StaysBounded(RunProcesses(lifetimes, calls_a_second)));
    });
  }

  // Guards against seldom used paths getting no retry when one target is lost.
  void Ratio_RunsForLong_AllowsABurst() {
    retry_ratio ratio(kStart);
    const instant now = kStart + retry_ratio::kGrantTime;
    ratio.OnFirstAttempt(now);
    for (int retry = 0; retry < static_cast<int>(retry_ratio::kMaxBalance); ++retry) {
      CPPUNIT_ASSERT(ratio.TakeOne(now));
    }
    CPPUNIT_ASSERT(!ratio.TakeOne(now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_ratio_test);

}  // namespace cuminferry
