#include <algorithm>
#include <iostream>

#include "claims/claim_exploration.h"
#include "claims/claim_schedule.h"
#include "support/property.h"

namespace cuminferry::testing {

/** Searches for a course of events that breaks the promises. Longer searches:
    claims_explore --help. */
class claim_search_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_search_test);
  CPPUNIT_TEST(Claims_RandomSchedules_KeepThePromises);
  CPPUNIT_TEST(RandomSchedules_EachFault_IsCaught);
  CPPUNIT_TEST(Claims_AllInterleavings_KeepThePromises);
  CPPUNIT_TEST(AllInterleavings_FaultsOfTheHome_AreCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Replies are lost, copies come doubled, late and in the wrong order, homes
  // and senders pause or restart, and callers try again through other nodes.
  // A farmer would get two permits, or be told "not run" of one that was filed.
  void Claims_RandomSchedules_KeepThePromises() {
    constexpr std::uint64_t kSchedulesPerCase = 1000;
    schedule_counts counts;
    CheckProperty("no schedule breaks a promise", [&] {
      // At full size: the small sizes of the first cases would give the same seeds.
      const auto first = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
      for (std::uint64_t at = 0; at < kSchedulesPerCase; ++at) {
        RC_ASSERT(PlayClaimSchedule(first + at, claim_fault::kNone, counts) == std::string());
      }
    });
    std::cerr << counts.ToString() << "\n";
    CPPUNIT_ASSERT(counts.schedules >= 100'000);
    CPPUNIT_ASSERT(counts.completed > counts.schedules / 2);
    CPPUNIT_ASSERT(counts.restarts > 0 && counts.rebinds > 0 && counts.doubled > 0);
  }

  // A search that finds nothing proves nothing unless it finds what is there.
  void RandomSchedules_EachFault_IsCaught() {
    constexpr std::uint64_t kEnough = 5000;
    for (const claim_fault_name& each : kClaimFaults) {
      schedule_counts counts;
      std::string violation;
      while (violation.empty() && counts.schedules < kEnough) {
        violation = PlayClaimSchedule(1 + counts.schedules, each.fault, counts);
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(each.name), !violation.empty());
    }
  }

  void Claims_AllInterleavings_KeepThePromises() {
    constexpr int kDepth = 9;
    const exploration_result found = ExploreClaims(kDepth, claim_fault::kNone);
    std::cerr << "depth " << kDepth << ": " << found.states << " states\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), found.violation);
    CPPUNIT_ASSERT(found.states > 400'000);
  }

  void AllInterleavings_FaultsOfTheHome_AreCaught() {
    constexpr int kDepth = 9;
    using enum claim_fault;
    for (const claim_fault fault :
         {kWindowNotChecked, kIncarnationNotChecked, kIncarnationKeptOverRestart, kTombstoneSkipped,
          kHandOverAfterRevoke, kDuplicateRunsAgain, kPendingForgottenWithWindow,
          kEndedForgottenWithWindow, kBrokenOffIsTombstone, kForgottenIsTombstone}) {
      const auto name = std::ranges::find(kClaimFaults, fault, &claim_fault_name::fault)->name;
      CPPUNIT_ASSERT_MESSAGE(std::string(name), !ExploreClaims(kDepth, fault).violation.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_search_test);

}  // namespace cuminferry::testing
