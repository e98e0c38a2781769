#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"
#include "targets/chooser_harness.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AddressOfTarget;
using testing::chooser_harness;
using testing::MakeTarget;

constexpr incarnation_id kOldIncarnation = 11;
constexpr incarnation_id kNewIncarnation = 22;

}  // namespace

class target_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_evidence_test);
  CPPUNIT_TEST(Target_LosesConsecutiveCalls_IsNoLongerEligible);
  CPPUNIT_TEST(Target_LosesSingleCalls_StaysEligible);
  CPPUNIT_TEST(FailedTarget_OthersEligible_GetsFewRetests);
  CPPUNIT_TEST(FailedTarget_AnswersARetest_IsWarmedUpAgain);
  CPPUNIT_TEST(FailedTarget_ConnectionOpens_IsRetestedAtOnce);
  CPPUNIT_TEST(FailedTargets_AllOfThem_AreRetestedAtALowRate);
  CPPUNIT_TEST(FailedDomain_ManyTargets_CostsFewCalls);
  CPPUNIT_TEST(SilentConnection_ManyCallsLost_TargetIsEligibleAfterHello);
  CPPUNIT_TEST(LostCalls_SentBeforeTheLastHello_DoNotCount);
  CPPUNIT_TEST(ProcessPause_CallsLost_DoNotCountAgainstTargets);
  CPPUNIT_TEST(DrainingTarget_LaggingListNamesItLive_GetsNoCalls);
  CPPUNIT_TEST(DrainingTarget_ReplacedAtItsAddress_NewInstanceGetsCalls);
  CPPUNIT_TEST(DrainingTarget_LateDrainingMessage_NewInstanceStillGetsCalls);
  CPPUNIT_TEST(ListNamesDraining_RepeatsItForTheNewInstance_NewInstanceGetsCalls);
  CPPUNIT_TEST(ListDropsTarget_StillAnswering_GetsNoNewCalls);
  CPPUNIT_TEST(ListOmitsNewTarget_IntroducedItself_IsEligible);
  CPPUNIT_TEST(ListIsEmpty_TargetsKnown_IsIgnored);
  CPPUNIT_TEST(AnyHistory_DrainingIncarnation_IsNeverChosen);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance crashes without notice. Each call to it is lost and its caller waits in vain until
  // the target is no longer eligible.
  void Target_LosesConsecutiveCalls_IsNoLongerEligible() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.Fail(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.CountEligible("map", harness.now));
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(1)]);
  }

  void Target_LosesSingleCalls_StaysEligible() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    for (int call = 0; call < 30; ++call) {
      harness.Call(AddressOfTarget(0),
                   call % 3 == 0 ? target_outcome::kAnswered : target_outcome::kLost);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.CountEligible("map", harness.now));
  }

  // A device between two instances drops the state of their connection. All calls on it are lost at
  // once, but a new connection works. Callers must not be refused for seconds for lack of an
  // instance.
  void SilentConnection_ManyCallsLost_TargetIsEligibleAfterHello() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    const instant sent = harness.now += milliseconds(1);
    harness.Advance(milliseconds(400));
    for (int call = 0; call < 50; ++call) {
      harness.chooser.OnSent(AddressOfTarget(0), sent);
      harness.chooser.OnLost(AddressOfTarget(0), sent, harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.chooser.CountEligible("map", harness.now));
    harness.Advance(milliseconds(2));
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.CountEligible("map", harness.now));
  }

  // Many threads report the losses of a silent connection, some of them after the target has sent a
  // hello on a new connection.
  void LostCalls_SentBeforeTheLastHello_DoNotCount() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    const instant sent = harness.now;
    harness.Advance(milliseconds(400));
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    for (int call = 0; call < 50; ++call) {
      harness.chooser.OnSent(AddressOfTarget(0), sent);
      harness.chooser.OnLost(AddressOfTarget(0), sent, harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.CountEligible("map", harness.now));
  }

  void FailedTarget_OthersEligible_GetsFewRetests() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.Fail(0);
    int retests = 0;
    for (int call = 0; call < 10'000; ++call) {
      harness.Advance(milliseconds(1));
      const auto chosen = harness.Choose();
      if (*chosen == AddressOfTarget(0)) {
        harness.Call(*chosen, target_outcome::kLost);
        ++retests;
      }
    }
    CPPUNIT_ASSERT(retests >= 5 && retests <= 8);
  }

  void FailedTarget_AnswersARetest_IsWarmedUpAgain() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.AnswerOnceFrom({MakeTarget(0), MakeTarget(1)}, {30, 100});
    harness.Fail(0);
    harness.Advance(milliseconds(300));
    while (*harness.Choose() != AddressOfTarget(0)) {
    }
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {30, 100});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.CountEligible("map", harness.now));
    CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(100)[AddressOfTarget(0)]);
    harness.Advance(target_chooser::kWarmUpDuration);
    harness.AnswerOnceFrom({MakeTarget(0), MakeTarget(1)}, {30, 100});
    CPPUNIT_ASSERT(harness.CountChoices(100)[AddressOfTarget(0)] > 20);
  }

  void FailedTarget_ConnectionOpens_IsRetestedAtOnce() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.Fail(0);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(AddressOfTarget(0), harness.now);
    CPPUNIT_ASSERT(harness.Choose() == AddressOfTarget(0));
  }

  // A switch fails and no target answers. Callers are refused at once, and the few calls that are
  // sent identify the first target that is reachable again.
  void FailedTargets_AllOfThem_AreRetestedAtALowRate() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.Fail(0);
    harness.Fail(1);
    int sent = 0;
    for (int call = 0; call < 10'000; ++call) {
      harness.Advance(milliseconds(1));
      if (const auto chosen = harness.Choose()) {
        harness.Call(*chosen, target_outcome::kLost);
        ++sent;
      }
    }
    CPPUNIT_ASSERT(sent >= 10 && sent <= 16);
    harness.Advance(target_chooser::kMaxRetestDelay);
    CPPUNIT_ASSERT(harness.Choose().has_value());
  }

  // Eight instances of another failure domain are cut off and all due for a retest, while this node
  // has few calls. Without a limit on retests most of the calls would be lost.
  void FailedDomain_ManyTargets_CostsFewCalls() {
    chooser_harness harness;
    std::vector<target_info> targets = {MakeTarget(0)};
    for (std::uint32_t number = 1; number <= 8; ++number) {
      targets.push_back(MakeTarget(number, "west"));
    }
    harness.ApplyList(targets);
    for (std::uint32_t number = 1; number <= 8; ++number) {
      harness.Fail(number);
    }
    int lost = 0;
    for (int call = 0; call < 160; ++call) {
      harness.Advance(seconds(1));
      const auto chosen = harness.Choose();
      const bool answers = *chosen == AddressOfTarget(0);
      harness.Call(*chosen, answers ? target_outcome::kAnswered : target_outcome::kLost);
      lost += answers ? 0 : 1;
    }
    CPPUNIT_ASSERT(lost >= 8 && lost <= 10);
  }

  // This process was paused for a minute, and all its calls timed out meanwhile. If the losses
  // counted against the targets, the node would have no eligible target when it resumes.
  void ProcessPause_CallsLost_DoNotCountAgainstTargets() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.Call(AddressOfTarget(0), target_outcome::kLost);
    harness.Call(AddressOfTarget(0), target_outcome::kLost);
    harness.Fail(1);
    harness.chooser.OnProcessPause(harness.now);
    harness.Call(AddressOfTarget(0), target_outcome::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.CountEligible("map", harness.now));
    const std::vector<endpoint> avoid = {AddressOfTarget(0)};
    CPPUNIT_ASSERT(harness.Choose(avoid) == AddressOfTarget(1));
  }

  // A backend server drains and announces it, while the platform's list names it as live for
  // minutes. New calls sent there would be cut off when it stops.
  void DrainingTarget_LaggingListNamesItLive_GetsNoCalls() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    harness.chooser.MarkDraining(AddressOfTarget(0), harness.now);
    for (int lists = 0; lists < 10; ++lists) {
      harness.Advance(seconds(30));
      harness.ApplyList({MakeTarget(0), MakeTarget(1)});
      harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
      CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(50)[AddressOfTarget(0)]);
    }
    harness.ApplyList({MakeTarget(1)});
    harness.Advance(std::chrono::minutes(10));
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(50)[AddressOfTarget(0)]);
  }

  void DrainingTarget_ReplacedAtItsAddress_NewInstanceGetsCalls() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    harness.chooser.MarkDraining(AddressOfTarget(0), harness.now);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(AddressOfTarget(0), kNewIncarnation, harness.now);
    CPPUNIT_ASSERT(harness.Choose() == AddressOfTarget(0));
  }

  // The draining message of the old process arrives after the new process at the same address has
  // introduced itself. Applied to the new one, it would leave that one idle permanently.
  void DrainingTarget_LateDrainingMessage_NewInstanceStillGetsCalls() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.chooser.MarkReachable(AddressOfTarget(0), kNewIncarnation, harness.now);
    harness.chooser.MarkDraining(AddressOfTarget(0), kOldIncarnation, harness.now);
    CPPUNIT_ASSERT(harness.Choose() == AddressOfTarget(0));
    harness.chooser.MarkDraining(AddressOfTarget(0), kNewIncarnation, harness.now);
    CPPUNIT_ASSERT(!harness.Choose().has_value());
  }

  void ListNamesDraining_RepeatsItForTheNewInstance_NewInstanceGetsCalls() {
    chooser_harness harness;
    target_info draining_info = MakeTarget(0);
    draining_info.draining = true;
    harness.ApplyList({MakeTarget(0)});
    harness.chooser.MarkReachable(AddressOfTarget(0), kOldIncarnation, harness.now);
    harness.ApplyList({draining_info});
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    harness.chooser.MarkReachable(AddressOfTarget(0), kNewIncarnation, harness.now);
    harness.ApplyList({draining_info});
    CPPUNIT_ASSERT(harness.Choose() == AddressOfTarget(0));
  }

  void ListDropsTarget_StillAnswering_GetsNoNewCalls() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0), MakeTarget(1)});
    harness.AnswerOnceFrom({MakeTarget(0), MakeTarget(1)});
    harness.ApplyList({MakeTarget(1)});
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(1)]);
  }

  // A replacement runs and has introduced itself, while the list does not name it for minutes.
  // Without it, the failure domain works at half its capacity.
  void ListOmitsNewTarget_IntroducedItself_IsEligible() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.chooser.LearnTarget("map", MakeTarget(1), harness.now);
    harness.ApplyList({MakeTarget(0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.chooser.CountEligible("map", harness.now));
    harness.Advance(target_chooser::kUnlistedRetention);
    harness.ApplyList({MakeTarget(0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.chooser.CountEligible("map", harness.now));
  }

  void ListIsEmpty_TargetsKnown_IsIgnored() {
    chooser_harness harness;
    harness.ApplyList({MakeTarget(0)});
    harness.ApplyList({});
    CPPUNIT_ASSERT(harness.Choose().has_value());
  }

  void AnyHistory_DrainingIncarnation_IsNeverChosen() {
    testing::CheckProperty("what left stays out until another incarnation answers", [] {
      chooser_harness harness(*rc::gen::arbitrary<std::uint64_t>(), 2);
      std::map<std::uint32_t, incarnation_id> incarnations;
      std::map<std::uint32_t, bool> draining;
      const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
          rc::gen::inRange<std::uint32_t>(0, 10'000));
      for (const std::uint32_t step : steps) {
        const std::uint32_t number = step % 5;
        const endpoint at = AddressOfTarget(number);
        harness.Advance(milliseconds(step % 400));
        switch (step / 5 % 8) {
          case 0:
            harness.ApplyList({MakeTarget(0), MakeTarget(1), MakeTarget(2), MakeTarget(3)});
            break;
          case 1:
            harness.ApplyList({MakeTarget(number), MakeTarget(4, "west")});
            break;
          case 2:
            harness.chooser.MarkReachable(at, ++incarnations[number], harness.now);
            draining[number] = false;
            break;
          case 3:
            harness.chooser.MarkDraining(at, harness.now);
            draining[number] = incarnations[number] != 0;
            break;
          case 4:
            harness.chooser.MarkReachable(at, harness.now);
            break;
          case 5:
            harness.Fail(number);
            break;
          case 6:
            harness.chooser.LearnTarget("map", MakeTarget(number), harness.now);
            break;
          default:
            harness.Call(at, target_outcome::kAnswered);
        }
        const auto chosen = harness.Choose();
        if (chosen.has_value()) {
          RC_ASSERT(!draining[chosen->address - AddressOfTarget(0).address]);
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_evidence_test);

}  // namespace cuminferry
