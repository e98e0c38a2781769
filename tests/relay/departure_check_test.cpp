#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000'000);
constexpr duration kDrain = milliseconds(2'500);
// Time after the removal in which requests are accepted without evidence.
constexpr duration kGrace = milliseconds(1'000);
// Part of the drain time in which a backend server may get requests that leaves without being
// listed as draining.
constexpr double kAllowedShare = 0.8;
constexpr std::int64_t kRun = 1'000;
constexpr char kId[] = "i-1";

instant At(duration since_start) { return kStart + since_start; }

}  // namespace

/** The decision whether a backend server that is no longer listed leaves. */
class departure_check_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(departure_check_test);
  CPPUNIT_TEST(Unlisted_WithoutEvidence_AcceptsForPartOfTheDrainTime);
  CPPUNIT_TEST(Unlisted_CallerLearnedItEarlier_TimeCountsFromThere);
  CPPUNIT_TEST(Unlisted_CallerWasAheadOfTheList_TimeCountsFromItsReport);
  CPPUNIT_TEST(Unlisted_Answers_ServesWhileTheyAreFresh);
  CPPUNIT_TEST(Unlisted_HealthyWithOwnId_ServesWhileItIsFresh);
  CPPUNIT_TEST(Unlisted_HealthyWithoutOwnId_IsNoEvidence);
  CPPUNIT_TEST(Unlisted_OneClosingAnswer_IsNoEvidence);
  CPPUNIT_TEST(Unlisted_TwoClosingAnswers_LeavesForGood);
  CPPUNIT_TEST(Unlisted_ClosedBeforeTheRemovalWasKnown_LeavesAtOnce);
  CPPUNIT_TEST(Unlisted_ClosedLongBeforeTheRemoval_IsUndecided);
  CPPUNIT_TEST(Unlisted_FirstCloseLongBeforeTheSecond_IsUndecided);
  CPPUNIT_TEST(Unlisted_UnhealthyAndClosing_Leaves);
  CPPUNIT_TEST(Unlisted_UnhealthyWhileAnswersServe_GoesOnServing);
  CPPUNIT_TEST(Unlisted_UnhealthyWithoutClose_IsNoEvidence);
  CPPUNIT_TEST(Unlisted_WasListedAsDraining_Leaves);
  CPPUNIT_TEST(Leaving_ListedAgain_GetsRequests);
  CPPUNIT_TEST(Leaving_CallerNamesALaterRun_IsJudgedAnew);
  CPPUNIT_TEST(Restarted_BesideUnlistedInstance_AcceptsOnlyTheIdThatHealthNames);
  CPPUNIT_TEST(Restarted_BesideLeavingInstance_AcceptsNothing);
  CPPUNIT_TEST(Serving_AnotherIdNamed_IsKnownToBeGone);
  CPPUNIT_TEST(Probe_JustUnlisted_IsDueThoughNobodyAsks);
  CPPUNIT_TEST(Probe_NobodyAsksOrEvidenceIsFresh_IsNotDue);
  CPPUNIT_TEST(Leaving_AnyEvidence_GetsNothingAfterItsTime);
  CPPUNIT_TEST(Serving_AnyEvidenceAndFreshAnswer_GetsRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a service losing all targets at once because their entries were removed, and
  // against a silent one getting requests until its process ends.
  void Unlisted_WithoutEvidence_AcceptsForPartOfTheDrainTime() {
    departure_check check = Unlisted();
    CPPUNIT_ASSERT(StateAt(check, milliseconds(1)) == registration_state::kUndecided);
    CPPUNIT_ASSERT(check.Accepts(kId, At(kGrace - milliseconds(1))));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(kGrace)));
  }

  // Guards against the drain time being counted from when a late list reaches this node.
  void Unlisted_CallerLearnedItEarlier_TimeCountsFromThere() {
    departure_check check = Unlisted();
    check.OnCaller(kId, kRun, At(-milliseconds(600)), At(milliseconds(100)));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(kGrace - milliseconds(600))));
    CPPUNIT_ASSERT(check.Accepts(kId, At(kGrace - milliseconds(600) - milliseconds(1))));
  }

  void Unlisted_CallerWasAheadOfTheList_TimeCountsFromItsReport() {
    departure_check check = Listed();
    check.OnCaller(kId, kRun, At(-milliseconds(600)), At(-milliseconds(500)));
    CPPUNIT_ASSERT(StateAt(check, -milliseconds(400)) == registration_state::kListed);
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(!check.Accepts(kId, At(kGrace - milliseconds(600))));
  }

  // Guards against a backend server that has only lost the platform getting nothing.
  void Unlisted_Answers_ServesWhileTheyAreFresh() {
    departure_check check = Unlisted();
    check.OnAnswer(kId, false, At(seconds(3)), At(seconds(4)));
    CPPUNIT_ASSERT(StateAt(check, seconds(4)) == registration_state::kServing);
    CPPUNIT_ASSERT(check.Accepts(kId, At(seconds(4))));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(seconds(4) + milliseconds(1))));
  }

  void Unlisted_HealthyWithOwnId_ServesWhileItIsFresh() {
    departure_check check = Unlisted();
    check.OnHealth(kId, true, false, At(seconds(3)), At(seconds(3)));
    CPPUNIT_ASSERT(check.Accepts(kId, At(seconds(4))));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(seconds(4) + milliseconds(1))));
  }

  // Guards against the health answer of another backend server, to which the address was assigned,
  // counting for this one.
  void Unlisted_HealthyWithoutOwnId_IsNoEvidence() {
    departure_check check = Unlisted();
    check.OnHealth("", true, false, At(seconds(3)), At(seconds(3)));
    check.OnHealth("i-2", true, false, At(seconds(3)), At(seconds(3)));
    CPPUNIT_ASSERT(StateAt(check, seconds(3)) == registration_state::kUndecided);
  }

  // Guards against a connection that is closed for another reason taking a backend server out.
  void Unlisted_OneClosingAnswer_IsNoEvidence() {
    departure_check check = Unlisted();
    check.OnAnswer(kId, true, kStart, kStart);
    CPPUNIT_ASSERT(StateAt(check, milliseconds(1)) == registration_state::kUndecided);
    check.OnAnswer(kId, false, kStart, At(milliseconds(2)));
    check.OnAnswer(kId, true, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT(StateAt(check, milliseconds(4)) == registration_state::kServing);
  }

  // Guards against a backend server that leaves getting requests until its process ends.
  void Unlisted_TwoClosingAnswers_LeavesForGood() {
    departure_check check = Unlisted();
    Close(check, milliseconds(1));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(milliseconds(2))));
    check.OnAnswer(kId, false, At(milliseconds(3)), At(milliseconds(3)));
    check.OnHealth(kId, true, false, At(milliseconds(3)), At(milliseconds(3)));
    CPPUNIT_ASSERT(StateAt(check, milliseconds(4)) == registration_state::kLeaving);
  }

  void Unlisted_ClosedBeforeTheRemovalWasKnown_LeavesAtOnce() {
    departure_check check = Listed();
    Close(check, -seconds(2));
    CPPUNIT_ASSERT(StateAt(check, -seconds(1)) == registration_state::kListed);
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(StateAt(check, duration::zero()) == registration_state::kLeaving);
  }

  // Guards against an idle backend server counting as leaving for two connections that were closed
  // long before it lost the platform.
  void Unlisted_ClosedLongBeforeTheRemoval_IsUndecided() {
    departure_check check = Listed();
    Close(check, -seconds(6));
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(StateAt(check, duration::zero()) == registration_state::kUndecided);
  }

  // Guards against the same where only the first of the two was long ago.
  void Unlisted_FirstCloseLongBeforeTheSecond_IsUndecided() {
    departure_check check = Listed();
    check.OnAnswer(kId, true, At(-seconds(60)), At(-seconds(60)));
    check.OnAnswer(kId, true, At(-seconds(4)), At(-seconds(4)));
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(StateAt(check, duration::zero()) == registration_state::kUndecided);
  }

  void Unlisted_UnhealthyAndClosing_Leaves() {
    departure_check check = Unlisted();
    check.OnHealth("", false, true, kStart, At(milliseconds(5)));
    CPPUNIT_ASSERT(StateAt(check, milliseconds(5)) == registration_state::kLeaving);
  }

  // Guards against a false health answer taking out a backend server that answers requests.
  void Unlisted_UnhealthyWhileAnswersServe_GoesOnServing() {
    departure_check check = Unlisted();
    check.OnAnswer(kId, false, kStart, At(milliseconds(10)));
    check.OnHealth("", false, true, At(milliseconds(900)), At(seconds(1)));
    CPPUNIT_ASSERT(StateAt(check, seconds(1)) == registration_state::kServing);
    check.OnHealth("", false, true, At(seconds(1)), At(seconds(1) + milliseconds(1)));
    CPPUNIT_ASSERT(StateAt(check, seconds(2)) == registration_state::kLeaving);
  }

  void Unlisted_UnhealthyWithoutClose_IsNoEvidence() {
    departure_check check = Unlisted();
    check.OnHealth(kId, false, false, kStart, kStart);
    check.OnHealth(kId, true, true, kStart, kStart);
    CPPUNIT_ASSERT(StateAt(check, milliseconds(1)) == registration_state::kUndecided);
  }

  // Guards against an instance that was listed as draining getting requests again after its entry
  // was removed.
  void Unlisted_WasListedAsDraining_Leaves() {
    departure_check check = Listed();
    check.OnListedAsDraining(kId, kRun);
    check.OnUnlisted(kStart);
    check.OnAnswer(kId, false, kStart, kStart);
    CPPUNIT_ASSERT(!check.Accepts(kId, At(milliseconds(1))));
  }

  void Leaving_ListedAgain_GetsRequests() {
    departure_check check = Unlisted();
    Close(check, milliseconds(1));
    check.OnListed(kId, kRun);
    CPPUNIT_ASSERT(StateAt(check, milliseconds(2)) == registration_state::kListed);
  }

  // Guards against a restarted backend server staying without requests because it has kept its id.
  void Leaving_CallerNamesALaterRun_IsJudgedAnew() {
    departure_check check = Unlisted();
    Close(check, milliseconds(1));
    check.OnCaller(kId, kRun, kStart, At(milliseconds(2)));
    check.OnCaller(kId, 0, kStart, At(milliseconds(2)));
    CPPUNIT_ASSERT(StateAt(check, milliseconds(2)) == registration_state::kLeaving);
    check.OnCaller(kId, kRun + 1, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT_EQUAL(kRun + 1, check.started_millis());
    CPPUNIT_ASSERT(!check.Accepts(kId, At(milliseconds(3))));
    check.OnHealth(kId, true, false, At(milliseconds(4)), At(milliseconds(5)));
    CPPUNIT_ASSERT(check.Accepts(kId, At(milliseconds(5))));
  }

  // Guards against a node that has just started taking the word of a caller for what is beside it.
  void Restarted_BesideUnlistedInstance_AcceptsOnlyTheIdThatHealthNames() {
    departure_check check(kDrain);
    check.OnUnlisted(kStart);
    check.OnCaller("i-0", kRun, kStart, kStart);
    check.OnCaller(kId, kRun + 5, kStart, kStart);
    check.OnAnswer(kId, false, kStart, kStart);
    CPPUNIT_ASSERT(!check.Accepts(kId, kStart));
    CPPUNIT_ASSERT(!check.Accepts("", kStart));
    CPPUNIT_ASSERT(check.IsProbeDue(kStart));
    CPPUNIT_ASSERT(check.NamedIds() == (std::vector<std::string>{"i-0", kId}));
    check.OnHealth(kId, true, false, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT(check.Accepts(kId, At(milliseconds(3))));
    CPPUNIT_ASSERT(!check.Accepts("i-0", At(milliseconds(3))));
    CPPUNIT_ASSERT_EQUAL(kRun + 5, check.started_millis());
    // The removal may be older than this caller knows: there is no time without evidence.
    CPPUNIT_ASSERT(!check.Accepts(kId, At(seconds(1) + milliseconds(1))));
  }

  void Restarted_BesideLeavingInstance_AcceptsNothing() {
    departure_check check(kDrain);
    check.OnCaller(kId, kRun, kStart, kStart);
    check.OnHealth("", false, true, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(milliseconds(3))));
    check.OnHealth(kId, false, true, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT(StateAt(check, milliseconds(3)) == registration_state::kLeaving);
  }

  void Serving_AnotherIdNamed_IsKnownToBeGone() {
    departure_check check = Listed();
    CPPUNIT_ASSERT(check.IsAnotherHere("i-0", kRun, kStart));
    CPPUNIT_ASSERT(!check.IsAnotherHere(kId, kRun, kStart));
    // The caller's list is newer.
    CPPUNIT_ASSERT(!check.IsAnotherHere("i-2", kRun + 1, kStart));
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(!check.IsAnotherHere("i-0", kRun, kStart));
    check.OnHealth(kId, true, false, kStart, kStart);
    CPPUNIT_ASSERT(check.IsAnotherHere("i-2", kRun + 1, kStart));
  }

  // Guards against an idle backend server that leaves getting the first request that arrives, long
  // after its removal, only because nobody had asked about it.
  void Probe_JustUnlisted_IsDueThoughNobodyAsks() {
    departure_check check = Listed();
    check.OnUnlisted(kStart, At(-milliseconds(700)));
    CPPUNIT_ASSERT(check.IsProbeDue(kStart));
    CPPUNIT_ASSERT(check.Accepts(kId, At(kGrace - milliseconds(701))));
    CPPUNIT_ASSERT(!check.Accepts(kId, At(kGrace - milliseconds(700))));
  }

  // Guards against probes that nobody needs, and against one for each request.
  void Probe_NobodyAsksOrEvidenceIsFresh_IsNotDue() {
    departure_check check = Listed();
    check.OnRequest(kStart);
    CPPUNIT_ASSERT(!check.IsProbeDue(kStart));
    check.OnUnlisted(kStart);
    CPPUNIT_ASSERT(check.IsProbeDue(kStart));
    check.OnProbeSent(kStart);
    CPPUNIT_ASSERT(!check.IsProbeDue(At(milliseconds(99))));
    CPPUNIT_ASSERT(check.IsProbeDue(At(milliseconds(100))));
    check.OnHealth(kId, true, false, kStart, At(milliseconds(3)));
    CPPUNIT_ASSERT(!check.IsProbeDue(At(milliseconds(499))));
    CPPUNIT_ASSERT(check.IsProbeDue(At(milliseconds(500))));
    check.OnAnswer(kId, false, At(milliseconds(500)), At(milliseconds(510)));
    CPPUNIT_ASSERT(!check.IsProbeDue(At(milliseconds(999))));
    CPPUNIT_ASSERT(check.IsProbeDue(At(milliseconds(4'999))));
    CPPUNIT_ASSERT(!check.IsProbeDue(At(milliseconds(5'000))));
  }

  // Requests and probes at random times, whose answers take up to 0.3 s: from the time at which the
  // backend server begins to leave, each answer announces a close, and what it answered before
  // counts for a second at most.
  void Leaving_AnyEvidence_GetsNothingAfterItsTime() {
    CheckProperty("a leaving backend server gets nothing after 0.8 of the drain time", [] {
      const duration drain = milliseconds(*rc::gen::inRange(2'000, 4'001));
      const duration grace =
          duration(static_cast<duration::rep>(kAllowedShare * ToSeconds(drain) * 1e6));
      departure_check check(drain);
      check.OnListed(kId, kRun);
      const auto leaves_at = milliseconds(*rc::gen::inRange(0, 3'000));
      // The entry is removed as the backend server begins to leave; the node learns it later.
      const auto removal_known_at = leaves_at + milliseconds(*rc::gen::inRange(0, 500));
      for (const event& each : *Events()) {
        if (each.at >= removal_known_at) {
          check.OnUnlisted(At(removal_known_at));
        }
        Apply(check, each, leaves_at);
        if (each.at > removal_known_at + grace) {
          RC_ASSERT(!check.Accepts(kId, At(each.at)));
        }
      }
    });
  }

  // One answer in four announces a close for another reason, but never two in a row; one health
  // answer in four is false.
  void Serving_AnyEvidenceAndFreshAnswer_GetsRequests() {
    CheckProperty("an unlisted backend server that has just answered gets requests", [] {
      departure_check check = Unlisted();
      bool has_closed = false;
      instant last_answer = At(-seconds(10));
      for (const event& each : *Events()) {
        const instant now = At(each.at);
        const instant sent_at = now - each.took;
        if (each.is_probe) {
          check.OnHealth(kId, !each.is_odd, each.is_odd && now - last_answer <= seconds(1), sent_at,
                         now);
        } else {
          has_closed = each.is_odd && !has_closed;
          check.OnAnswer(kId, has_closed, sent_at, now);
          last_answer = has_closed ? last_answer : std::max(last_answer, sent_at);
        }
        if (now - last_answer <= departure_check::kEvidenceTime) {
          RC_ASSERT(check.Accepts(kId, now));
        }
      }
    });
  }

 private:
  /** An answer to a request, or to a probe. */
  struct event {
    milliseconds at{};
    milliseconds took{};
    bool is_probe = false;
    /** It deviates from what the backend server does otherwise. */
    bool is_odd = false;
  };

  static rc::Gen<std::vector<event>> Events() {
    return rc::gen::exec([] {
      std::vector<event> events;
      const int count = *rc::gen::inRange(1, 80);
      milliseconds at{};
      for (int i = 0; i < count; ++i) {
        at += milliseconds(*rc::gen::inRange(0, 400));
        events.push_back({.at = at,
                          .took = milliseconds(*rc::gen::inRange(0, 300)),
                          .is_probe = *rc::gen::inRange(0, 3) == 0,
                          .is_odd = *rc::gen::inRange(0, 4) == 0});
      }
      return events;
    });
  }

  static void Apply(departure_check& check, const event& each, duration leaves_at) {
    const instant now = At(each.at);
    const bool leaves = each.at >= leaves_at;
    if (each.is_probe) {
      // A false health answer says that it serves.
      check.OnHealth(kId, !leaves || each.is_odd, leaves, now - each.took, now);
    } else {
      check.OnAnswer(kId, leaves || each.is_odd, now - each.took, now);
    }
  }

  static departure_check Listed() {
    departure_check check(kDrain);
    check.OnListed(kId, kRun);
    return check;
  }

  static departure_check Unlisted() {
    departure_check check = Listed();
    check.OnUnlisted(kStart);
    return check;
  }

  static void Close(departure_check& check, duration at) {
    for (int i = 0; i < departure_check::kClosingAnswers; ++i) {
      check.OnAnswer(kId, true, At(at), At(at));
    }
  }

  static registration_state StateAt(const departure_check& check, duration at) {
    return check.StateOf(kId, At(at));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_check_test);

}  // namespace cuminferry::testing
