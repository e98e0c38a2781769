#include <algorithm>
#include <iostream>

#include "claims/claim_exploration.h"
#include "claims/claim_schedule.h"
#include "support/property.h"

namespace cuminferry::testing {

/** Searches for event orders that violate the guarantees of claims.
    Longer searches: claims_explore --help. */
class claim_search_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_search_test);
  CPPUNIT_TEST(Claims_RandomSchedules_NoViolation);
  CPPUNIT_TEST(RandomSchedules_EachFault_IsCaught);
  CPPUNIT_TEST(Claims_AllInterleavings_NoViolation);
  CPPUNIT_TEST(AllInterleavings_HomeFaults_AreCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Messages are lost, duplicated, delayed and reordered, home instances and senders pause or
  // restart, and callers retry through other nodes. A fault here runs a call twice, or reports
  // `not_run` for a call that ran.
  void Claims_RandomSchedules_NoViolation() {
    constexpr std::uint64_t kSchedulesPerCase = 1000;
    schedule_counts counts;
    CheckProperty("no schedule violates a guarantee", [&] {
      // Generated at nominal size: the small sizes of the first cases would produce the same seeds
      // again.
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

  // A search without findings is meaningful only if it detects deliberate faults.
  void RandomSchedules_EachFault_IsCaught() {
    constexpr std::uint64_t kMaxSchedulesPerFault = 5000;
    for (const claim_fault_name& each : kClaimFaults) {
      schedule_counts counts;
      std::string violation;
      while (violation.empty() && counts.schedules < kMaxSchedulesPerFault) {
        violation = PlayClaimSchedule(1 + counts.schedules, each.fault, counts);
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(each.name), !violation.empty());
    }
  }

  void Claims_AllInterleavings_NoViolation() {
    constexpr int kDepth = 9;
    const exploration_result found = ExploreClaims(kDepth, claim_fault::kNone);
    std::cerr << "depth " << kDepth << ": " << found.states << " states\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), found.violation);
    CPPUNIT_ASSERT(found.states > 400'000);
  }

  void AllInterleavings_HomeFaults_AreCaught() {
    constexpr int kDepth = 9;
    using enum claim_fault;
    for (const claim_fault fault :
         {kWindowNotChecked, kIncarnationNotChecked, kIncarnationReusedAfterRestart,
          kTombstoneSkipped, kHandOverAfterRevoke, kDuplicateRunsAgain, kPendingForgottenWithWindow,
          kFinishedForgottenWithWindow, kAbortedIsTombstone, kForgottenIsTombstone}) {
      const auto name = std::ranges::find(kClaimFaults, fault, &claim_fault_name::fault)->name;
      CPPUNIT_ASSERT_MESSAGE(std::string(name), !ExploreClaims(kDepth, fault).violation.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_search_test);

}  // namespace cuminferry::testing
