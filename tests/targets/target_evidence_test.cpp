#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"
#include "targets/chooser_harness.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::chooser_harness;
using testing::Target;
using testing::TargetAt;

constexpr incarnation_id kOld = 11;
constexpr incarnation_id kNew = 22;

}  // namespace

class target_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_evidence_test);
  CPPUNIT_TEST(Target_LosesCalls_IsOutAfterAFew);
  CPPUNIT_TEST(Target_LosesOneInAWhile_Stays);
  CPPUNIT_TEST(FailedTarget_OthersEligible_GetsATrickle);
  CPPUNIT_TEST(FailedTarget_AnswersARetest_IsBackWithARamp);
  CPPUNIT_TEST(FailedTarget_ConnectionOpens_IsRetestedAtOnce);
  CPPUNIT_TEST(FailedTargets_AllOfThem_AreRetestedAndNotFlooded);
  CPPUNIT_TEST(FailedDomain_ManyTargets_CostsFewCalls);
  CPPUNIT_TEST(SilentConnection_ManyCallsLost_TargetStaysOnceItSaysHello);
  CPPUNIT_TEST(LostCalls_SentBeforeTheLastHello_DontCount);
  CPPUNIT_TEST(OwnPause_CallsLost_IsNotBlamedOnPeers);
  CPPUNIT_TEST(LeavingTarget_LaggingListSaysLive_GetsNothing);
  CPPUNIT_TEST(LeavingTarget_ReplacedAtItsAddress_NewOneGetsWork);
  CPPUNIT_TEST(LeavingTarget_GoodbyeComesLate_NewOneKeepsItsWork);
  CPPUNIT_TEST(ListSaysLeaving_RepeatsItForTheNewOne_NewOneGetsWork);
  CPPUNIT_TEST(ListDropsTarget_StillAnswering_GetsNothingNew);
  CPPUNIT_TEST(ListOmitsNewTarget_IntroducedItself_GetsWork);
  CPPUNIT_TEST(ListIsEmpty_TargetsAnswer_IsNotBelieved);
  CPPUNIT_TEST(AnyHistory_LeavingIncarnation_IsNeverChosen);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance dies without a word. Calls to it are lost one by one, and each is
  // a farmer who waits for nothing, until it is out of choice.
  void Target_LosesCalls_IsOutAfterAFew() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Fail(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.EligibleTargets("map", harness.now));
    CPPUNIT_ASSERT_EQUAL(100, harness.Spread(100)[TargetAt(1)]);
  }

  void Target_LosesOneInAWhile_Stays() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    for (int call = 0; call < 30; ++call) {
      harness.Call(TargetAt(0), call % 3 == 0 ? target_outcome::kAnswered : target_outcome::kLost);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.EligibleTargets("map", harness.now));
  }

  // Something between two instances forgets their connection. All calls on it are
  // lost in one moment, but a new connection works. Farmers must not hear for
  // seconds that there is no instance.
  void SilentConnection_ManyCallsLost_TargetStaysOnceItSaysHello() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    const instant sent = harness.now += milliseconds(1);
    harness.Pass(milliseconds(400));
    for (int call = 0; call < 50; ++call) {
      harness.chooser.OnSent(TargetAt(0), sent);
      harness.chooser.OnLost(TargetAt(0), sent, harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.chooser.EligibleTargets("map", harness.now));
    harness.Pass(milliseconds(2));
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.EligibleTargets("map", harness.now));
  }

  // The losses of a silent connection are told by many threads, some of them after
  // the target has said hello on a new one.
  void LostCalls_SentBeforeTheLastHello_DontCount() {
    chooser_harness harness;
    harness.List({Target(0)});
    const instant sent = harness.now;
    harness.Pass(milliseconds(400));
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    for (int call = 0; call < 50; ++call) {
      harness.chooser.OnSent(TargetAt(0), sent);
      harness.chooser.OnLost(TargetAt(0), sent, harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.EligibleTargets("map", harness.now));
  }

  void FailedTarget_OthersEligible_GetsATrickle() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Fail(0);
    int retests = 0;
    for (int call = 0; call < 10'000; ++call) {
      harness.Pass(milliseconds(1));
      const auto chosen = harness.Choose();
      if (*chosen == TargetAt(0)) {
        harness.Call(*chosen, target_outcome::kLost);
        ++retests;
      }
    }
    CPPUNIT_ASSERT(retests >= 5 && retests <= 8);
  }

  void FailedTarget_AnswersARetest_IsBackWithARamp() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Prove({Target(0), Target(1)}, {30, 100});
    harness.Fail(0);
    harness.Pass(milliseconds(300));
    while (*harness.Choose() != TargetAt(0)) {
    }
    harness.Call(TargetAt(0), target_outcome::kAnswered, {30, 100});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.EligibleTargets("map", harness.now));
    CPPUNIT_ASSERT_EQUAL(0, harness.Spread(100)[TargetAt(0)]);
    harness.Pass(target_chooser::kRamp);
    harness.Prove({Target(0), Target(1)}, {30, 100});
    CPPUNIT_ASSERT(harness.Spread(100)[TargetAt(0)] > 20);
  }

  void FailedTarget_ConnectionOpens_IsRetestedAtOnce() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.Fail(0);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(TargetAt(0), harness.now);
    CPPUNIT_ASSERT(harness.Choose() == TargetAt(0));
  }

  // A switch is out and nothing answers. Callers are told at once that there is no
  // target, and the few calls that go out find the first one that is back.
  void FailedTargets_AllOfThem_AreRetestedAndNotFlooded() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Fail(0);
    harness.Fail(1);
    int sent = 0;
    for (int call = 0; call < 10'000; ++call) {
      harness.Pass(milliseconds(1));
      if (const auto chosen = harness.Choose()) {
        harness.Call(*chosen, target_outcome::kLost);
        ++sent;
      }
    }
    CPPUNIT_ASSERT(sent >= 10 && sent <= 16);
    harness.Pass(target_chooser::kLongestRetest);
    CPPUNIT_ASSERT(harness.Choose().has_value());
  }

  // Eight instances of another failure domain are cut off and all due to be tried
  // again, while this node has few calls. Parents would see most of them lost.
  void FailedDomain_ManyTargets_CostsFewCalls() {
    chooser_harness harness;
    std::vector<target_info> targets = {Target(0)};
    for (std::uint32_t number = 1; number <= 8; ++number) {
      targets.push_back(Target(number, "west"));
    }
    harness.List(targets);
    for (std::uint32_t number = 1; number <= 8; ++number) {
      harness.Fail(number);
    }
    int lost = 0;
    for (int call = 0; call < 160; ++call) {
      harness.Pass(seconds(1));
      const auto chosen = harness.Choose();
      const bool answers = *chosen == TargetAt(0);
      harness.Call(*chosen, answers ? target_outcome::kAnswered : target_outcome::kLost);
      lost += answers ? 0 : 1;
    }
    CPPUNIT_ASSERT(lost >= 8 && lost <= 10);
  }

  // This process was stopped for a minute and every call of its ran out meanwhile.
  // Blaming the targets would leave it without any when it is needed again.
  void OwnPause_CallsLost_IsNotBlamedOnPeers() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Call(TargetAt(0), target_outcome::kLost);
    harness.Call(TargetAt(0), target_outcome::kLost);
    harness.Fail(1);
    harness.chooser.OnOwnPause(harness.now);
    harness.Call(TargetAt(0), target_outcome::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.EligibleTargets("map", harness.now));
    const std::vector<endpoint> avoid = {TargetAt(0)};
    CPPUNIT_ASSERT(harness.Choose(avoid) == TargetAt(1));
  }

  // A backend server drains and says so, while the platform's list has it as live
  // for minutes. New calls sent there would be cut off when it stops.
  void LeavingTarget_LaggingListSaysLive_GetsNothing() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    harness.chooser.MarkLeaving(TargetAt(0), harness.now);
    for (int lists = 0; lists < 10; ++lists) {
      harness.Pass(seconds(30));
      harness.List({Target(0), Target(1)});
      harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
      CPPUNIT_ASSERT_EQUAL(0, harness.Spread(50)[TargetAt(0)]);
    }
    harness.List({Target(1)});
    harness.Pass(std::chrono::minutes(10));
    harness.List({Target(0), Target(1)});
    CPPUNIT_ASSERT_EQUAL(0, harness.Spread(50)[TargetAt(0)]);
  }

  void LeavingTarget_ReplacedAtItsAddress_NewOneGetsWork() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    harness.chooser.MarkLeaving(TargetAt(0), harness.now);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(TargetAt(0), kNew, harness.now);
    CPPUNIT_ASSERT(harness.Choose() == TargetAt(0));
  }

  // The goodbye of the old process arrives after the new one at the same address
  // has introduced itself. Taken for the new one it would idle for good.
  void LeavingTarget_GoodbyeComesLate_NewOneKeepsItsWork() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.chooser.MarkReachable(TargetAt(0), kNew, harness.now);
    harness.chooser.MarkLeaving(TargetAt(0), kOld, harness.now);
    CPPUNIT_ASSERT(harness.Choose() == TargetAt(0));
    harness.chooser.MarkLeaving(TargetAt(0), kNew, harness.now);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
  }

  void ListSaysLeaving_RepeatsItForTheNewOne_NewOneGetsWork() {
    chooser_harness harness;
    target_info leaving = Target(0);
    leaving.leaving = true;
    harness.List({Target(0)});
    harness.chooser.MarkReachable(TargetAt(0), kOld, harness.now);
    harness.List({leaving});
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(TargetAt(0), kNew, harness.now);
    harness.List({leaving});
    CPPUNIT_ASSERT(harness.Choose() == TargetAt(0));
  }

  void ListDropsTarget_StillAnswering_GetsNothingNew() {
    chooser_harness harness;
    harness.List({Target(0), Target(1)});
    harness.Prove({Target(0), Target(1)});
    harness.List({Target(1)});
    harness.Call(TargetAt(0), target_outcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(100, harness.Spread(100)[TargetAt(1)]);
  }

  // A replacement is up and has introduced itself, while the list will not have it
  // for minutes. Without it the domain works at half its strength.
  void ListOmitsNewTarget_IntroducedItself_GetsWork() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.chooser.LearnTarget("map", Target(1), harness.now);
    harness.List({Target(0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.EligibleTargets("map", harness.now));
    harness.Pass(target_chooser::kUnlistedMemory);
    harness.List({Target(0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.EligibleTargets("map", harness.now));
  }

  void ListIsEmpty_TargetsAnswer_IsNotBelieved() {
    chooser_harness harness;
    harness.List({Target(0)});
    harness.List({});
    CPPUNIT_ASSERT(harness.Choose().has_value());
  }

  void AnyHistory_LeavingIncarnation_IsNeverChosen() {
    testing::CheckProperty("what left stays out until another incarnation answers", [] {
      chooser_harness harness(*rc::gen::arbitrary<std::uint64_t>(), 2);
      std::map<std::uint32_t, incarnation_id> present;
      std::map<std::uint32_t, bool> left;
      const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
          rc::gen::inRange<std::uint32_t>(0, 10'000));
      for (const std::uint32_t step : steps) {
        const std::uint32_t number = step % 5;
        const endpoint at = TargetAt(number);
        harness.Pass(milliseconds(step % 400));
        switch (step / 5 % 8) {
          case 0:
            harness.List({Target(0), Target(1), Target(2), Target(3)});
            break;
          case 1:
            harness.List({Target(number), Target(4, "west")});
            break;
          case 2:
            harness.chooser.MarkReachable(at, ++present[number], harness.now);
            left[number] = false;
            break;
          case 3:
            harness.chooser.MarkLeaving(at, harness.now);
            left[number] = present[number] != 0;
            break;
          case 4:
            harness.chooser.MarkReachable(at, harness.now);
            break;
          case 5:
            harness.Fail(number);
            break;
          case 6:
            harness.chooser.LearnTarget("map", Target(number), harness.now);
            break;
          default:
            harness.Call(at, target_outcome::kAnswered);
        }
        const auto chosen = harness.Choose();
        if (chosen.has_value()) {
          RC_ASSERT(!left[chosen->address - TargetAt(0).address]);
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_evidence_test);

}  // namespace cuminferry
