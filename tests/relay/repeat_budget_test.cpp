#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr double kRatio = 0.2;
constexpr double kAllowance = 48.0;
constexpr duration kWindow = seconds(10);

}  // namespace

class repeat_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repeat_budget_test);
  CPPUNIT_TEST(TakeOne_SilentNode_HasAFew);
  CPPUNIT_TEST(TakeOne_NestedWhenShort_LeavesSomeForWholeRequests);
  CPPUNIT_TEST(TakeOne_ManyNodesAllFailing_FleetKeepsTheBound);
  CPPUNIT_TEST(TakeOne_ParentsRepeated_TheirCallsAreCharged);
  CPPUNIT_TEST(TakeOne_LeafShedsHalf_MostOfTheBoundIsUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakeOne_SilentNode_HasAFew() {
    repeat_budget budget(kRatio, kAllowance, kWindow);
    CPPUNIT_ASSERT(budget.TakeOne(false, kStart));
    CPPUNIT_ASSERT(budget.TakeOne(false, kStart));
    CPPUNIT_ASSERT(!budget.TakeOne(false, kStart));
  }

  void TakeOne_NestedWhenShort_LeavesSomeForWholeRequests() {
    repeat_budget budget(kRatio, kAllowance, kWindow);
    for (int i = 0; i < 100; ++i) {
      budget.OnFirstSend(0.0, kStart + milliseconds(i));
    }
    const instant now = kStart + milliseconds(100);
    while (budget.TakeOne(true, now)) {
    }
    CPPUNIT_ASSERT(budget.TakeOne(false, now));
  }

  // Requests that run again make their calls again. Nobody decides to repeat those, but the service
  // below gets them twice, and with its own repeats it would get more than the fleet may send.
  void TakeOne_ParentsRepeated_TheirCallsAreCharged() {
    repeat_budget budget(kRatio, kAllowance, kWindow);
    double repeats = 0.0;
    constexpr int kSends = 4'000;
    constexpr double kRepeatedParents = 0.1;
    for (int i = 0; i < kSends; ++i) {
      const instant now = kStart + milliseconds(5 * i);
      budget.OnFirstSend(kRepeatedParents, now);
      repeats += kRepeatedParents + (budget.TakeOne(false, now) ? 1.0 : 0.0);
    }
    CPPUNIT_ASSERT(repeats <= kRatio * kSends + kAllowance);
  }

  // The service at the end of the call graph turns half of its requests away. Each repeat that the
  // bound allows and nobody sends is a reading that a farmer does not get.
  void TakeOne_LeafShedsHalf_MostOfTheBoundIsUsed() {
    repeat_budget budget(kRatio, kAllowance, kWindow);
    int repeats = 0;
    constexpr int kSends = 4'000;
    for (int i = 0; i < kSends; ++i) {
      const instant now = kStart + milliseconds(5 * i);
      budget.OnFirstSend(0.0, now);
      repeats += i % 2 == 0 && budget.TakeOne(false, now) ? 1 : 0;
    }
    constexpr double kMost = 0.75;
    CPPUNIT_ASSERT(repeats >= kMost * kRatio * kSends);
  }

  // A whole service fails, and every node would like to send each request once more. What each
  // node may add up to would double the load on a service that is down already.
  void TakeOne_ManyNodesAllFailing_FleetKeepsTheBound() {
    CheckProperty("the fleet's repeats stay within ratio and allowance", [](std::uint64_t seed) {
      random_source random(seed);
      const std::size_t nodes = 2 + random.Below(30);
      std::vector<repeat_budget> fleet(nodes, repeat_budget(kRatio, kAllowance, kWindow));
      for (repeat_budget& budget : fleet) {
        budget.SetTargets(nodes);
      }
      std::deque<instant> sends;
      std::deque<instant> repeats;
      const auto gap = static_cast<duration::rep>(200 + random.Below(20'000));
      instant now = kStart;
      for (int step = 0; step < 4'000; ++step) {
        now += duration(gap);
        repeat_budget& budget = fleet[random.Below(nodes)];
        budget.OnFirstSend(0.0, now);
        sends.push_back(now);
        if (budget.TakeOne(random.Below(2) == 0, now)) {
          repeats.push_back(now);
        }
        while (!sends.empty() && now - sends.front() > kWindow) {
          sends.pop_front();
        }
        while (!repeats.empty() && now - repeats.front() > kWindow) {
          repeats.pop_front();
        }
        RC_ASSERT(static_cast<double>(repeats.size()) <=
                  kRatio * static_cast<double>(sends.size()) + kAllowance);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_budget_test);

}  // namespace cuminferry::testing
