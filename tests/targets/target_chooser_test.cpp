#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

#include "support/property.h"
#include "targets/chooser_harness.h"

namespace {

/** Counts the allocations of the whole program, for the test that Choose() makes none. */
std::atomic<std::uint64_t> allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace cuminferry {
namespace {

using testing::AddressOfTarget;
using testing::chooser_harness;
using testing::MakeTarget;

std::vector<target_info> MakeTargets(std::uint32_t count) {
  std::vector<target_info> targets;
  for (std::uint32_t number = 0; number < count; ++number) {
    targets.push_back(MakeTarget(number));
  }
  return targets;
}

std::size_t CountCommon(const std::vector<endpoint>& draining, const std::vector<endpoint>& right) {
  return static_cast<std::size_t>(std::ranges::count_if(
      draining, [&](endpoint at) { return std::ranges::find(right, at) != right.end(); }));
}

}  // namespace

class target_chooser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_chooser_test);
  CPPUNIT_TEST(Choose_NoTargetKnown_ReturnsNone);
  CPPUNIT_TEST(Choose_AvoidedTargets_AreNeverChosen);
  CPPUNIT_TEST(Choose_ManyTargets_AllocatesNothing);
  CPPUNIT_TEST(Subset_ManyNodes_SpreadsThemEvenly);
  CPPUNIT_TEST(Subset_OneTargetReplaced_ChangesAtMostOneEntry);
  CPPUNIT_TEST(Choose_EqualTargets_SpreadsCallsEvenly);
  CPPUNIT_TEST(Choose_OneTargetFuller_GetsFewerCalls);
  CPPUNIT_TEST(Choose_OldReportOfFullLoad_IsDiscounted);
  CPPUNIT_TEST(Choose_OwnDomainHasRoom_StaysThere);
  CPPUNIT_TEST(Choose_OwnDomainFull_SpillsOverByDistance);
  CPPUNIT_TEST(Choose_EverythingFull_StaysInOwnDomain);
  CPPUNIT_TEST(Choose_TargetRefusedACall_GetsFewerCallsForAWhile);
  CPPUNIT_TEST(Choose_NewTarget_IsWarmedUpGradually);
  CPPUNIT_TEST(Choose_TargetsIntroducedBeforeTheFirstList_NeedNoWarmUp);
  CPPUNIT_TEST(Choose_ListedTargetNeverAnswered_GetsAFewCallsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Choose_NoTargetKnown_ReturnsNone() {
    chooser_harness harness;
    CPPUNIT_ASSERT(!harness.Choose().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.chooser.CountEligible("map", harness.now));
  }

  void Choose_AvoidedTargets_AreNeverChosen() {
    testing::CheckProperty("avoided targets are not given", [] {
      const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
      const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
          rc::gen::inRange<std::uint32_t>(0, count));
      std::vector<endpoint> avoid;
      for (const std::uint32_t number : numbers) {
        avoid.push_back(AddressOfTarget(number));
      }
      chooser_harness harness;
      harness.ApplyList(MakeTargets(count));
      const auto chosen = harness.Choose(avoid);
      RC_ASSERT(!chosen.has_value() || std::ranges::find(avoid, *chosen) == avoid.end());
    });
  }

  void Choose_ManyTargets_AllocatesNothing() {
    chooser_harness harness;
    harness.ApplyList(MakeTargets(1000));
    const std::vector<endpoint> avoid = {AddressOfTarget(1), AddressOfTarget(2)};
    const std::uint64_t before = allocations;
    for (int call = 0; call < 1000; ++call) {
      const auto chosen = harness.Choose(avoid);
      harness.Call(*chosen, target_outcome::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(before, allocations.load());
  }

  // Each node keeps connections to a few of many targets. If the subsets of the nodes overlapped
  // too much, some targets would be full while others are idle.
  void Subset_ManyNodes_SpreadsThemEvenly() {
    constexpr std::uint32_t kTargets = 100;
    constexpr std::uint64_t kNodes = 1000;
    std::map<endpoint, int> nodes_of;
    for (std::uint64_t node = 0; node < kNodes; ++node) {
      chooser_harness harness(node);
      harness.ApplyList(MakeTargets(kTargets));
      for (const endpoint at : harness.chooser.Subset("map")) {
        ++nodes_of[at];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTargets}, nodes_of.size());
    for (const auto& [at, nodes] : nodes_of) {
      CPPUNIT_ASSERT(nodes > 110 && nodes < 210);
    }
  }

  void Subset_OneTargetReplaced_ChangesAtMostOneEntry() {
    testing::CheckProperty("one change moves one place", [](std::uint64_t identity) {
      auto targets = MakeTargets(*rc::gen::inRange<std::uint32_t>(20, 200));
      chooser_harness harness(identity);
      harness.ApplyList(targets);
      const auto before = harness.chooser.Subset("map");
      targets[*rc::gen::inRange<std::size_t>(0, targets.size())] = MakeTarget(5000);
      harness.ApplyList(targets);
      RC_ASSERT(CountCommon(before, harness.chooser.Subset("map")) + 1 >= before.size());
    });
  }

  void Choose_EqualTargets_SpreadsCallsEvenly() {
    chooser_harness harness;
    const auto targets = MakeTargets(8);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets);
    for (const auto& [at, calls] : harness.CountChoices(8000)) {
      CPPUNIT_ASSERT(calls > 850 && calls < 1150);
    }
  }

  void Choose_OneTargetFuller_GetsFewerCalls() {
    chooser_harness harness;
    const auto targets = MakeTargets(4);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets);
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {70, 100});
    CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(1000)[AddressOfTarget(0)]);
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {5, 100});
    CPPUNIT_ASSERT(harness.CountChoices(1000)[AddressOfTarget(0)] > 400);
  }

  // A target reported once that it was full and got no calls afterwards. If the report did not lose
  // weight with age, the target would never get a call again.
  void Choose_OldReportOfFullLoad_IsDiscounted() {
    chooser_harness harness;
    const auto targets = MakeTargets(2);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets);
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {70, 100});
    harness.Advance(std::chrono::seconds(3));
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {10, 100});
    CPPUNIT_ASSERT(harness.CountChoices(100)[AddressOfTarget(0)] > 90);
  }

  void Choose_OwnDomainHasRoom_StaysThere() {
    chooser_harness harness;
    const std::vector<target_info> targets = {MakeTarget(0), MakeTarget(1, "west"),
                                              MakeTarget(2, "north", "far")};
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {50, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(0)]);
  }

  // The only target of the own failure domain is full while targets of other domains have free
  // capacity. Without spilling over, its calls would be refused although other machines are idle.
  void Choose_OwnDomainFull_SpillsOverByDistance() {
    chooser_harness harness;
    const std::vector<target_info> targets = {MakeTarget(0), MakeTarget(1, "west"),
                                              MakeTarget(2, "north", "far")};
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {20, 100});
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {100, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(1)]);
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {130, 100});
    harness.Call(AddressOfTarget(0), target_outcome::kAnswered, {130, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(2)]);
  }

  void Choose_EverythingFull_StaysInOwnDomain() {
    chooser_harness harness;
    const std::vector<target_info> targets = {MakeTarget(0), MakeTarget(1, "west"),
                                              MakeTarget(2, "north", "far")};
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {130, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(0)]);
  }

  void Choose_TargetRefusedACall_GetsFewerCallsForAWhile() {
    chooser_harness harness;
    const auto targets = MakeTargets(2);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets);
    harness.Call(AddressOfTarget(0), target_outcome::kRefusedByInstance);
    CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(100)[AddressOfTarget(0)]);
    harness.Advance(std::chrono::seconds(3));
    harness.AnswerOnceFrom(targets);
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {12, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(0)]);
  }

  // A new instance with empty caches has the lowest utilisation of all. If every node sent it its
  // full share at once, its first callers would wait the longest.
  void Choose_NewTarget_IsWarmedUpGradually() {
    chooser_harness harness;
    auto targets = MakeTargets(1);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {30, 100});
    targets.push_back(MakeTarget(1));
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {30, 100});
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {5, 100});
    CPPUNIT_ASSERT_EQUAL(0, harness.CountChoices(100)[AddressOfTarget(1)]);
    harness.Advance(target_chooser::kWarmUpDuration);
    harness.AnswerOnceFrom(targets, {30, 100});
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {5, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(1)]);
  }

  // A node starts, peers introduce themselves, and then its first list arrives. If all of them were
  // treated as warming up, they would look full, and calls would leave the failure domain.
  void Choose_TargetsIntroducedBeforeTheFirstList_NeedNoWarmUp() {
    chooser_harness harness;
    const std::vector<target_info> targets = {MakeTarget(0), MakeTarget(1, "west")};
    harness.chooser.LearnTarget("map", MakeTarget(0), harness.now);
    harness.AnswerOnceFrom({MakeTarget(0)}, {10, 100});
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {20, 100});
    harness.Call(AddressOfTarget(1), target_outcome::kAnswered, {0, 100});
    CPPUNIT_ASSERT_EQUAL(100, harness.CountChoices(100)[AddressOfTarget(0)]);
  }

  // A list names an instance that does not run yet. Until its first answer it may hold only a few
  // calls, so that only those are lost.
  void Choose_ListedTargetNeverAnswered_GetsAFewCallsOnly() {
    chooser_harness harness;
    auto targets = MakeTargets(4);
    harness.ApplyList(targets);
    harness.AnswerOnceFrom(targets, {60, 100});
    targets.push_back(MakeTarget(9));
    harness.ApplyList(targets);
    int sent_to_unconfirmed = 0;
    for (int call = 0; call < 200; ++call) {
      const auto chosen = harness.Choose();
      if (*chosen == AddressOfTarget(9)) {
        harness.chooser.OnSent(*chosen, harness.now);
        ++sent_to_unconfirmed;
      }
    }
    CPPUNIT_ASSERT(sent_to_unconfirmed >= 1 && sent_to_unconfirmed <= 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_chooser_test);

}  // namespace cuminferry
