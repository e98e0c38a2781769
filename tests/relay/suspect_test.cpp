#include <cppunit/extensions/HelperMacros.h>

#include "relay/suspect_world.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr std::uint64_t kFirstCrash = 1;
constexpr std::uint64_t kSecondCrash = 2;
constexpr int kFleetSeeds = 300;

request_digest DigestOfPath(const std::string& path) { return request_digest::Of({.path = path}); }

suspect_event EventOf(const std::string& path) {
  return {.digest = DigestOfPath(path), .route_hash = RouteHashOf({.path = path})};
}

}  // namespace

class suspect_book_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(suspect_book_test);
  CPPUNIT_TEST(Digest_BytesMovedBetweenParts_Differs);
  CPPUNIT_TEST(Digest_LongBody_CoversItsBeginning);
  CPPUNIT_TEST(Status_NoEvents_IsNotSuspected);
  CPPUNIT_TEST(Status_OneCrash_IsIsolated);
  CPPUNIT_TEST(Status_OnlySuspectOfSecondCrash_IsBlocked);
  CPPUNIT_TEST(Status_TwoSuspectsOfSecondCrash_NeitherIsBlocked);
  CPPUNIT_TEST(Status_AbsentFromMostCrashes_IsNotBlocked);
  CPPUNIT_TEST(Status_AbsentFromOldCrashesOnly_IsBlocked);
  CPPUNIT_TEST(Status_SeveralCrashingRequests_EachIsBlockedAtItsSecondCrash);
  CPPUNIT_TEST(Status_RanAtSimultaneousCrashes_IsNotBlocked);
  CPPUNIT_TEST(Status_IsolatedAtThreeCrashesAlongsideOthers_IsBlocked);
  CPPUNIT_TEST(Status_Completed_IsNotSuspected);
  CPPUNIT_TEST(Status_CompletedJustBeforeAnotherCrash_IsNotSuspected);
  CPPUNIT_TEST(Status_BlockExpired_IsIsolatedThenBlockedForLonger);
  CPPUNIT_TEST(Apply_AnyOrder_GivesTheSameState);
  CPPUNIT_TEST(Apply_ClearanceReceivedRepeatedly_IsNewOnce);
  CPPUNIT_TEST(Apply_FloodOfSuspects_IdentifiedRequestIsRetained);
  CPPUNIT_TEST(Apply_EndlessCrashesOfOneRequest_AreBounded);
  CPPUNIT_TEST(Crash_DetectedTwice_SuspectsOfSecondReportAreNotAlone);
  CPPUNIT_TEST(Isolation_TwoSuspects_RunInTurn);
  CPPUNIT_TEST(Isolation_SameRequestTwice_RunsInTurn);
  CPPUNIT_TEST(Isolation_ManySuspects_SomeRunConcurrently);
  CPPUNIT_TEST(Isolation_SuspectOfTwoCrashes_RunsAlone);
  CPPUNIT_TEST(Fleet_OneCrashingRequest_AtMostThreeTargetsCrashAndNoInnocentIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that another one's announcements fill: each names another crash.
  void Apply_EndlessCrashesOfOneRequest_AreBounded() {
    suspect_registry registry;
    suspect_event event = EventOf("/a");
    for (std::uint64_t crash = 1; crash <= 2 * suspect_registry::kMaxEvents; ++crash) {
      event.crash_id = crash;
      registry.Apply(event, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(suspect_registry::kMaxEvents, registry.AllEvents(kStart).size());
    const instant later = kStart + 2 * suspect_registry::kSuspicionTime;
    registry.Expire(later);
    CPPUNIT_ASSERT(registry.Apply(event, later));
  }

  // Guards against a client crafting a request with the digest of a stranger's request.
  void Digest_BytesMovedBetweenParts_Differs() {
    CPPUNIT_ASSERT(request_digest::Of({.host = "ab", .path = "c"}) !=
                   request_digest::Of({.host = "a", .path = "bc"}));
    CPPUNIT_ASSERT(request_digest::Of({.path = "a", .customer = "b"}) !=
                   request_digest::Of({.path = "a", .body = "b"}));
    CPPUNIT_ASSERT(DigestOfPath("a") == *request_digest::Parse(DigestOfPath("a").ToText()));
  }

  void Digest_LongBody_CoversItsBeginning() {
    const std::string beginning(request_digest::kMaxDigestedBodyBytes, 'x');
    const std::string longer = beginning + "y";
    CPPUNIT_ASSERT(request_digest::Of({.body = beginning, .is_body_truncated = true}) ==
                   request_digest::Of({.body = longer, .is_body_truncated = true}));
    CPPUNIT_ASSERT(request_digest::Of({.body = beginning}) !=
                   request_digest::Of({.body = beginning, .is_body_truncated = true}));
  }

  void Status_NoEvents_IsNotSuspected() {
    CPPUNIT_ASSERT(suspect_status::kNotSuspected == StatusOfPath("a", kStart));
    CPPUNIT_ASSERT(!registry_.HasRouteHash(RouteHashOf({.path = "a"})));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, registry_.checksum());
  }

  void Status_OneCrash_IsIsolated() {
    RecordCrash(kFirstCrash, {"a", "b"}, kStart);
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("b", kStart));
    CPPUNIT_ASSERT(suspect_status::kNotSuspected ==
                   StatusOfPath("a", kStart + suspect_registry::kSuspicionTime));
  }

  void Status_OnlySuspectOfSecondCrash_IsBlocked() {
    RecordCrash(kFirstCrash, {"a", "b"}, kStart);
    RecordCrash(kSecondCrash, {"a", "new"}, kStart + seconds(2));
    CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath("a", kStart + seconds(2)));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("new", kStart + seconds(2)));
  }

  // Guards against innocent requests being blocked because they ran alongside the crashing one.
  void Status_TwoSuspectsOfSecondCrash_NeitherIsBlocked() {
    RecordCrash(kFirstCrash, {"a", "b"}, kStart);
    RecordCrash(kSecondCrash, {"a", "b"}, kStart + seconds(2));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(2)));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("b", kStart + seconds(2)));
  }

  // Guards against innocent requests being blocked where targets crash by themselves.
  void Status_AbsentFromMostCrashes_IsNotBlocked() {
    RecordCrash(kFirstCrash, {"a"}, kStart);
    RecordCrash(kSecondCrash, {"b"}, kStart + seconds(1));
    RecordCrash(3, {"c"}, kStart + seconds(2));
    RecordCrash(4, {"a", "d"}, kStart + seconds(3));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(3)));
  }

  void Status_AbsentFromOldCrashesOnly_IsBlocked() {
    RecordCrash(kFirstCrash, {"b"}, kStart);
    RecordCrash(kSecondCrash, {"c"}, kStart + seconds(1));
    const instant later = kStart + seconds(1) + suspect_registry::kRecentCrashWindow;
    RecordCrash(3, {"a"}, later + seconds(1));
    RecordCrash(4, {"a", "d"}, later + seconds(2));
    CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath("a", later + seconds(2)));
  }

  // Guards against the later ones of several crashing requests being left unidentified because the
  // earlier ones account for most of the recent crashes.
  void Status_SeveralCrashingRequests_EachIsBlockedAtItsSecondCrash() {
    std::uint64_t crash_id = 0;
    for (const char* crashing : {"a", "b", "c", "d", "e", "f"}) {
      const instant at = kStart + ++crash_id * seconds(2);
      RecordCrash(crash_id, {crashing}, at);
      RecordCrash(++crash_id, {crashing}, at + milliseconds(100));
      CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath(crashing, at + milliseconds(100)));
    }
  }

  // Guards against a frequent request being blocked when all targets of a failure domain crash.
  void Status_RanAtSimultaneousCrashes_IsNotBlocked() {
    for (std::uint64_t crash_id = 1; crash_id <= 5; ++crash_id) {
      const instant at = kStart + crash_id * milliseconds(5);
      const suspect_registry::running_request run{.digest = DigestOfPath("a"),
                                                  .route_hash = RouteHashOf({.path = "a"})};
      for (const suspect_event& event : registry_.EventsOfCrash(crash_id, {&run, 1}, at)) {
        registry_.Apply(event, at);
      }
    }
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(1)));
  }

  // Guards against a crashing request that is never identified because other suspects always run
  // alongside it.
  void Status_IsolatedAtThreeCrashesAlongsideOthers_IsBlocked() {
    RecordCrash(kFirstCrash, {"a", "b", "c", "d"}, kStart);
    RecordCrash(kSecondCrash, {"a", "b"}, kStart + seconds(2));
    RecordCrash(3, {"a", "c"}, kStart + seconds(4));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(4)));
    RecordCrash(4, {"a", "d"}, kStart + seconds(6));
    CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath("a", kStart + seconds(6)));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("b", kStart + seconds(6)));
  }

  void Status_Completed_IsNotSuspected() {
    RecordCrash(kFirstCrash, {"a"}, kStart);
    RecordClearance("a", kStart + milliseconds(100));
    CPPUNIT_ASSERT(suspect_status::kNotSuspected == StatusOfPath("a", kStart + milliseconds(100)));
    RecordCrash(kSecondCrash, {"a"}, kStart + seconds(5));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(5)));
  }

  // Guards against a frequent request being a suspect all the time.
  void Status_CompletedJustBeforeAnotherCrash_IsNotSuspected() {
    RecordCrash(kFirstCrash, {"a"}, kStart);
    RecordClearance("a", kStart + milliseconds(100));
    RecordCrash(kSecondCrash, {"a"}, kStart + milliseconds(600));
    CPPUNIT_ASSERT(suspect_status::kNotSuspected == StatusOfPath("a", kStart + milliseconds(600)));
  }

  void Status_BlockExpired_IsIsolatedThenBlockedForLonger() {
    RecordCrash(kFirstCrash, {"a"}, kStart);
    RecordCrash(kSecondCrash, {"a"}, kStart);
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + minutes(1)));
    RecordCrash(3, {"a"}, kStart + minutes(1));
    CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath("a", kStart + minutes(10)));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + minutes(11)));
  }

  // Guards against nodes that received the same events and decide differently.
  void Apply_AnyOrder_GivesTheSameState() {
    std::vector<suspect_event> events;
    for (std::uint64_t crash_id = 1; crash_id <= 4; ++crash_id) {
      for (const char* path : {"a", "b", "c"}) {
        suspect_event event = EventOf(path);
        event.crash_id = crash_id;
        event.age_micros = static_cast<std::int64_t>(crash_id) * 2'000'000;
        events.push_back(event);
      }
    }
    suspect_event cleared = EventOf("b");
    cleared.event_kind = suspect_event::kind::kCleared;
    random_source random(1);
    suspect_registry in_order;
    for (const suspect_event& event : events) {
      in_order.Apply(event, kStart + seconds(10));
    }
    in_order.Apply(cleared, kStart + seconds(10));
    events.push_back(cleared);
    for (int shuffle = 0; shuffle < 20; ++shuffle) {
      suspect_registry shuffled;
      for (std::size_t left = events.size(); left > 1; --left) {
        std::swap(events[left - 1], events[random.Below(left)]);
      }
      for (int round = 0; round < 2; ++round) {
        for (const suspect_event& event : events) {
          shuffled.Apply(event, kStart + seconds(10));
        }
      }
      CPPUNIT_ASSERT_EQUAL(in_order.checksum(), shuffled.checksum());
      for (const char* path : {"a", "b", "c"}) {
        CPPUNIT_ASSERT(in_order.StatusOf(DigestOfPath(path), kStart + seconds(10)) ==
                       shuffled.StatusOf(DigestOfPath(path), kStart + seconds(10)));
      }
    }
  }

  // Guards against nodes propagating the same clearances to each other forever.
  void Apply_ClearanceReceivedRepeatedly_IsNewOnce() {
    RecordCrash(kFirstCrash, {"a"}, kStart);
    suspect_event cleared = cuminferry::testing::EventOf("a");
    cleared.event_kind = suspect_event::kind::kCleared;
    int new_events = 0;
    // Each copy arrives a round trip later, and its age suggests that it has just happened.
    for (int round = 0; round < 10; ++round) {
      new_events += registry_.Apply(cleared, kStart + round * milliseconds(5)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, new_events);
  }

  // Guards against a flood of suspects that evicts the identified request.
  void Apply_FloodOfSuspects_IdentifiedRequestIsRetained() {
    RecordCrash(kFirstCrash, {"guilty"}, kStart);
    RecordCrash(kSecondCrash, {"guilty"}, kStart);
    for (std::size_t flood = 0; flood < 2 * suspect_registry::kMaxSuspects; ++flood) {
      RecordCrash(10 + flood, {"innocent" + std::to_string(flood)}, kStart + milliseconds(1));
    }
    CPPUNIT_ASSERT(suspect_status::kBlocked == StatusOfPath("guilty", kStart + seconds(1)));
    CPPUNIT_ASSERT(registry_.AllEvents(kStart + seconds(1)).size() <=
                   suspect_registry::kMaxSuspects + 1);
  }

  void Crash_DetectedTwice_SuspectsOfSecondReportAreNotAlone() {
    RecordCrash(kFirstCrash, {"a", "b"}, kStart);
    RecordCrash(kSecondCrash, {"a", "b"}, kStart + seconds(1));
    RecordCrash(kSecondCrash, {"late"}, kStart + seconds(1));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("late", kStart + seconds(1)));
    CPPUNIT_ASSERT(suspect_status::kIsolated == StatusOfPath("a", kStart + seconds(1)));
  }

  //============================================================================
  void Isolation_TwoSuspects_RunInTurn() {
    suspect_isolation isolation;
    CPPUNIT_ASSERT(isolation.TryStart({.id = 1, .digest = DigestOfPath("a")}));
    CPPUNIT_ASSERT(!isolation.TryStart({.id = 2, .digest = DigestOfPath("b")}));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{2} == isolation.Remove(1));
  }

  void Isolation_SameRequestTwice_RunsInTurn() {
    suspect_isolation isolation;
    isolation.SetSuspectCount(100);
    CPPUNIT_ASSERT(isolation.TryStart({.id = 1, .digest = DigestOfPath("a")}));
    CPPUNIT_ASSERT(!isolation.TryStart({.id = 2, .digest = DigestOfPath("a")}));
    CPPUNIT_ASSERT(isolation.TryStart({.id = 3, .digest = DigestOfPath("b")}));
  }

  // Guards against hundreds of innocent requests waiting past their deadlines.
  void Isolation_ManySuspects_SomeRunConcurrently() {
    suspect_isolation isolation;
    isolation.SetSuspectCount(5 * suspect_isolation::kMaxTurns);
    for (std::uint64_t id = 0; id < 5; ++id) {
      CPPUNIT_ASSERT(isolation.TryStart({.id = id, .digest = DigestOfPath(std::to_string(id))}));
    }
  }

  // Guards against a suspect of two crashes running alongside others, where a third crash would not
  // identify it.
  void Isolation_SuspectOfTwoCrashes_RunsAlone() {
    suspect_isolation isolation;
    isolation.SetSuspectCount(100);
    CPPUNIT_ASSERT(isolation.TryStart({.id = 1, .digest = DigestOfPath("a")}));
    CPPUNIT_ASSERT(!isolation.TryStart({.id = 2, .digest = DigestOfPath("b"), .crashes = 2}));
    CPPUNIT_ASSERT(!isolation.TryStart({.id = 3, .digest = DigestOfPath("c")}));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{2} == isolation.Remove(1));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{3} == isolation.Remove(2));
  }

  //============================================================================
  // Guards against a request that crashes more than three targets, and against innocent requests
  // being refused.
  void Fleet_OneCrashingRequest_AtMostThreeTargetsCrashAndNoInnocentIsRefused() {
    for (int seed = 1; seed <= kFleetSeeds; ++seed) {
      suspect_world world(static_cast<std::uint64_t>(seed));
      world.Run();
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(at, world.crashes() >= 1);
      CPPUNIT_ASSERT_MESSAGE(at, world.crashes() <= 3);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, 0, world.innocents_refused());
    }
  }

 private:
  suspect_status StatusOfPath(const std::string& path, instant now) const {
    return registry_.StatusOf(DigestOfPath(path), now);
  }

  void RecordCrash(std::uint64_t crash_id, const std::vector<std::string>& paths, instant now) {
    std::vector<suspect_registry::running_request> running;
    for (const std::string& path : paths) {
      const bool is_suspect = StatusOfPath(path, now) != suspect_status::kNotSuspected;
      running.push_back({.digest = DigestOfPath(path),
                         .route_hash = RouteHashOf({.path = path}),
                         .isolated = is_suspect});
    }
    for (const suspect_event& event : registry_.EventsOfCrash(crash_id, running, now)) {
      registry_.Apply(event, now);
    }
  }

  void RecordClearance(const std::string& path, instant now) {
    suspect_event event = cuminferry::testing::EventOf(path);
    event.event_kind = suspect_event::kind::kCleared;
    registry_.Apply(event, now);
  }

  suspect_registry registry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_book_test);

}  // namespace cuminferry::testing
