#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000'000);
constexpr instant kLater = kStart + seconds(1);

}  // namespace

class declared_rate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(declared_rate_test);
  CPPUNIT_TEST(Answer_OfAnOlderRequest_DoesNotEndTheDeclaration);
  CPPUNIT_TEST(Answer_OfAnotherInstance_ReplacesTheDeclaration);
  CPPUNIT_TEST(Belief_OlderThanTheOwnAnswer_IsIgnored);
  CPPUNIT_TEST(Belief_TakenOver_KeepsItsAge);
  CPPUNIT_TEST(Silence_OfAMinute_EndsTheDeclaration);
  CPPUNIT_TEST(Rate_NotConfirmedLately_SingleRequestsAreSent);
  CPPUNIT_TEST(Pacer_AnyRateAndDemand_KeepsEachWindow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a declaration being ended by an answer that was sent before it and came after.
  void Answer_OfAnOlderRequest_DoesNotEndTheDeclaration() {
    declared_rate rate;
    CPPUNIT_ASSERT(rate.OnDeclared("i", 10.0, kLater));
    CPPUNIT_ASSERT(!rate.OnNotDeclared("i", kStart));
    CPPUNIT_ASSERT_EQUAL(10.0, rate.BeliefAt(kLater)->rate);
    CPPUNIT_ASSERT(rate.OnNotDeclared("i", kLater + milliseconds(1)));
    CPPUNIT_ASSERT(!rate.BeliefAt(kLater + milliseconds(2)));
  }

  void Answer_OfAnotherInstance_ReplacesTheDeclaration() {
    declared_rate rate;
    rate.OnDeclared("i", 10.0, kLater);
    CPPUNIT_ASSERT(rate.OnNotDeclared("successor", kStart));
    CPPUNIT_ASSERT(!rate.BeliefAt(kLater));
  }

  // Guards against a calling node that has heard nothing for a while undoing the end of a
  // declaration.
  void Belief_OlderThanTheOwnAnswer_IsIgnored() {
    declared_rate rate;
    rate.OnDeclared("i", 10.0, kStart);
    rate.OnNotDeclared("i", kLater);
    CPPUNIT_ASSERT(!rate.OnBelief("i", {.rate = 10.0, .age = seconds(3)}, kLater + seconds(2)));
    CPPUNIT_ASSERT(!rate.BeliefAt(kLater + seconds(2)));
  }

  // Guards against a belief that nodes hand to each other never ending.
  void Belief_TakenOver_KeepsItsAge() {
    declared_rate rate;
    CPPUNIT_ASSERT(rate.OnBelief("i", {.rate = 10.0, .age = seconds(50)}, kStart));
    CPPUNIT_ASSERT(rate.BeliefAt(kStart + seconds(9))->age == seconds(59));
    CPPUNIT_ASSERT(!rate.BeliefAt(kStart + seconds(11)));
  }

  void Silence_OfAMinute_EndsTheDeclaration() {
    declared_rate rate;
    rate.OnDeclared("i", 10.0, kStart);
    CPPUNIT_ASSERT(rate.BeliefAt(kStart + declared_rate::kMaxSilence));
    CPPUNIT_ASSERT(!rate.BeliefAt(kStart + declared_rate::kMaxSilence + milliseconds(1)));
  }

  // Guards against a rate that fell while the node was down being exceeded until the first answer.
  void Rate_NotConfirmedLately_SingleRequestsAreSent() {
    rate_control rates;
    rates.OnBelief("i", {.rate = 100.0, .age = seconds(3)}, kStart);
    CPPUNIT_ASSERT_EQUAL(0.0, *rates.PacedRateAt(kStart));
    rates.OnDeclared("i", 100.0, kStart);
    CPPUNIT_ASSERT_EQUAL(100.0, *rates.PacedRateAt(kStart));
  }

  void Pacer_AnyRateAndDemand_KeepsEachWindow() {
    CPPUNIT_ASSERT(rc::check("no window of four seconds has 1.1 times the rate and three more", [] {
      const double rate = *rc::gen::inRange(0, 20'000) / 100.0;
      const int interval = *rc::gen::inRange(1, 200);
      const int pause = *rc::gen::inRange(0, 5'000);
      send_pacer pacer;
      pacer.SetRate(rate, kStart);
      std::vector<instant> sent;
      for (instant now = kStart; now < kStart + seconds(12); now += milliseconds(interval)) {
        if (now == kStart + milliseconds(interval) * 10) {
          now += milliseconds(pause);
        }
        while (pacer.TryTake(now)) {
          sent.push_back(now);
        }
      }
      for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto in_window = std::ranges::count_if(
            sent, [&](instant at) { return at >= sent[first] && at <= sent[first] + seconds(4); });
        RC_ASSERT(static_cast<double>(in_window) <= 1.1 * 4.0 * rate + 4.0);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(declared_rate_test);

}  // namespace cuminferry::testing
