#include <cppunit/extensions/HelperMacros.h>

#include "relay/suspect_world.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr std::uint64_t kFirstEnd = 1;
constexpr std::uint64_t kSecondEnd = 2;
constexpr int kFleets = 300;

request_digest Digest(const std::string& path) { return request_digest::Of({.path = path}); }

suspect_event Run(const std::string& path) {
  return {.digest = Digest(path), .place = PlaceOf({.path = path})};
}

}  // namespace

class suspect_book_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(suspect_book_test);
  CPPUNIT_TEST(Digest_PartsMoved_IsAnother);
  CPPUNIT_TEST(Digest_LongBody_IsKnownByItsBeginning);
  CPPUNIT_TEST(Standing_NothingHeard_IsFree);
  CPPUNIT_TEST(Standing_OneEnd_IsCareful);
  CPPUNIT_TEST(Standing_AloneAtTheSecondEnd_IsBlocked);
  CPPUNIT_TEST(Standing_TwoSuspectsAtTheSecondEnd_NeitherIsBlocked);
  CPPUNIT_TEST(Standing_MostEndsCameWithoutIt_IsNotBlocked);
  CPPUNIT_TEST(Standing_EndsWithoutItWereLongAgo_IsBlocked);
  CPPUNIT_TEST(Standing_SeveralThatEndTargets_EachIsBlockedAtItsSecondEnd);
  CPPUNIT_TEST(Standing_RanWhereManyEndedAtOnce_IsNotBlocked);
  CPPUNIT_TEST(Standing_ApartAtThreeEndsBesideOthers_IsBlocked);
  CPPUNIT_TEST(Standing_EndedWell_IsFree);
  CPPUNIT_TEST(Standing_EndedWellWhileAnotherEnds_IsFree);
  CPPUNIT_TEST(Standing_BlockIsOver_IsCarefulAndThenBlockedForLonger);
  CPPUNIT_TEST(Apply_InAnyOrder_SaysTheSame);
  CPPUNIT_TEST(Apply_ClearingsToldRound_AreNewsOnce);
  CPPUNIT_TEST(Apply_FloodOfSuspects_TheGuiltyOneStays);
  CPPUNIT_TEST(EndNoticedTwice_SuspectsOfTheSecondNotice_AreNotAlone);
  CPPUNIT_TEST(Lane_TwoSuspects_RunInTurn);
  CPPUNIT_TEST(Lane_SameRequestTwice_RunsInTurn);
  CPPUNIT_TEST(Lane_ManySuspects_SomeRunTogether);
  CPPUNIT_TEST(Lane_EndedTwoBefore_RunsByItself);
  CPPUNIT_TEST(Fleets_OneRequestEndsTargets_ThreeEndAtMostAndNoInnocentIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are made to look like a stranger's.
  void Digest_PartsMoved_IsAnother() {
    CPPUNIT_ASSERT(request_digest::Of({.host = "ab", .path = "c"}) !=
                   request_digest::Of({.host = "a", .path = "bc"}));
    CPPUNIT_ASSERT(request_digest::Of({.path = "a", .customer = "b"}) !=
                   request_digest::Of({.path = "a", .body = "b"}));
    CPPUNIT_ASSERT(Digest("a") == *request_digest::Parse(Digest("a").ToText()));
  }

  void Digest_LongBody_IsKnownByItsBeginning() {
    const std::string beginning(request_digest::kBodyBytes, 'x');
    const std::string longer = beginning + "y";
    CPPUNIT_ASSERT(request_digest::Of({.body = beginning, .is_longer = true}) ==
                   request_digest::Of({.body = longer, .is_longer = true}));
    CPPUNIT_ASSERT(request_digest::Of({.body = beginning}) !=
                   request_digest::Of({.body = beginning, .is_longer = true}));
  }

  void Standing_NothingHeard_IsFree() {
    CPPUNIT_ASSERT(suspect_standing::kFree == Standing("a", kStart));
    CPPUNIT_ASSERT(!book_.HasPlace(PlaceOf({.path = "a"})));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, book_.checksum());
  }

  void Standing_OneEnd_IsCareful() {
    End(kFirstEnd, {"a", "b"}, kStart);
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("b", kStart));
    CPPUNIT_ASSERT(suspect_standing::kFree == Standing("a", kStart + suspect_book::kSuspicionTime));
  }

  void Standing_AloneAtTheSecondEnd_IsBlocked() {
    End(kFirstEnd, {"a", "b"}, kStart);
    End(kSecondEnd, {"a", "new"}, kStart + seconds(2));
    CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing("a", kStart + seconds(2)));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("new", kStart + seconds(2)));
  }

  // Guards against innocent requests being blocked for the company that they were in.
  void Standing_TwoSuspectsAtTheSecondEnd_NeitherIsBlocked() {
    End(kFirstEnd, {"a", "b"}, kStart);
    End(kSecondEnd, {"a", "b"}, kStart + seconds(2));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(2)));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("b", kStart + seconds(2)));
  }

  // Guards against innocent requests being blocked where targets end by themselves.
  void Standing_MostEndsCameWithoutIt_IsNotBlocked() {
    End(kFirstEnd, {"a"}, kStart);
    End(kSecondEnd, {"b"}, kStart + seconds(1));
    End(3, {"c"}, kStart + seconds(2));
    End(4, {"a", "d"}, kStart + seconds(3));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(3)));
  }

  void Standing_EndsWithoutItWereLongAgo_IsBlocked() {
    End(kFirstEnd, {"b"}, kStart);
    End(kSecondEnd, {"c"}, kStart + seconds(1));
    const instant later = kStart + seconds(1) + suspect_book::kRecentEnds;
    End(3, {"a"}, later + seconds(1));
    End(4, {"a", "d"}, later + seconds(2));
    CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing("a", later + seconds(2)));
  }

  // Guards against the fifth of several such requests ending target after target.
  void Standing_SeveralThatEndTargets_EachIsBlockedAtItsSecondEnd() {
    std::uint64_t end = 0;
    for (const char* guilty : {"a", "b", "c", "d", "e", "f"}) {
      const instant at = kStart + ++end * seconds(2);
      End(end, {guilty}, at);
      End(++end, {guilty}, at + milliseconds(100));
      CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing(guilty, at + milliseconds(100)));
    }
  }

  // Guards against a frequent request being blocked when a failure domain is lost.
  void Standing_RanWhereManyEndedAtOnce_IsNotBlocked() {
    for (std::uint64_t end = 1; end <= 5; ++end) {
      const instant at = kStart + end * milliseconds(5);
      const suspect_book::running_request run{.digest = Digest("a"),
                                              .place = PlaceOf({.path = "a"})};
      for (const suspect_event& event : book_.EventsOfEnd(end, {&run, 1}, at)) {
        book_.Apply(event, at);
      }
    }
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(1)));
  }

  // Guards against a request that ends targets hiding behind other suspects for good.
  void Standing_ApartAtThreeEndsBesideOthers_IsBlocked() {
    End(kFirstEnd, {"a", "b", "c", "d"}, kStart);
    End(kSecondEnd, {"a", "b"}, kStart + seconds(2));
    End(3, {"a", "c"}, kStart + seconds(4));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(4)));
    End(4, {"a", "d"}, kStart + seconds(6));
    CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing("a", kStart + seconds(6)));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("b", kStart + seconds(6)));
  }

  void Standing_EndedWell_IsFree() {
    End(kFirstEnd, {"a"}, kStart);
    ClearAt("a", kStart + milliseconds(100));
    CPPUNIT_ASSERT(suspect_standing::kFree == Standing("a", kStart + milliseconds(100)));
    End(kSecondEnd, {"a"}, kStart + seconds(5));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(5)));
  }

  // Guards against a frequent request being suspected all the time.
  void Standing_EndedWellWhileAnotherEnds_IsFree() {
    End(kFirstEnd, {"a"}, kStart);
    ClearAt("a", kStart + milliseconds(100));
    End(kSecondEnd, {"a"}, kStart + milliseconds(600));
    CPPUNIT_ASSERT(suspect_standing::kFree == Standing("a", kStart + milliseconds(600)));
  }

  void Standing_BlockIsOver_IsCarefulAndThenBlockedForLonger() {
    End(kFirstEnd, {"a"}, kStart);
    End(kSecondEnd, {"a"}, kStart);
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + minutes(1)));
    End(3, {"a"}, kStart + minutes(1));
    CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing("a", kStart + minutes(10)));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + minutes(11)));
  }

  // Guards against nodes that heard the same and decide differently.
  void Apply_InAnyOrder_SaysTheSame() {
    std::vector<suspect_event> events;
    for (std::uint64_t end = 1; end <= 4; ++end) {
      for (const char* path : {"a", "b", "c"}) {
        suspect_event event = Run(path);
        event.end = end;
        event.age_micros = static_cast<std::int64_t>(end) * 2'000'000;
        events.push_back(event);
      }
    }
    suspect_event cleared = Run("b");
    cleared.what = suspect_event::kind::kCleared;
    random_source random(1);
    suspect_book first;
    for (const suspect_event& event : events) {
      first.Apply(event, kStart + seconds(10));
    }
    first.Apply(cleared, kStart + seconds(10));
    events.push_back(cleared);
    for (int time = 0; time < 20; ++time) {
      suspect_book other;
      for (std::size_t left = events.size(); left > 1; --left) {
        std::swap(events[left - 1], events[random.Below(left)]);
      }
      for (int round = 0; round < 2; ++round) {
        for (const suspect_event& event : events) {
          other.Apply(event, kStart + seconds(10));
        }
      }
      CPPUNIT_ASSERT_EQUAL(first.checksum(), other.checksum());
      for (const char* path : {"a", "b", "c"}) {
        CPPUNIT_ASSERT(first.StandingOf(Digest(path), kStart + seconds(10)) ==
                       other.StandingOf(Digest(path), kStart + seconds(10)));
      }
    }
  }

  // Guards against nodes that tell each other of the same clearings for ever.
  void Apply_ClearingsToldRound_AreNewsOnce() {
    End(kFirstEnd, {"a"}, kStart);
    suspect_event cleared = cuminferry::testing::Run("a");
    cleared.what = suspect_event::kind::kCleared;
    int news = 0;
    // Each time it comes a round trip later, and seems to have just come about.
    for (int round = 0; round < 10; ++round) {
      news += book_.Apply(cleared, kStart + round * milliseconds(5)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, news);
  }

  // Guards against a flood of suspects that makes nodes forget which one is guilty.
  void Apply_FloodOfSuspects_TheGuiltyOneStays() {
    End(kFirstEnd, {"guilty"}, kStart);
    End(kSecondEnd, {"guilty"}, kStart);
    for (std::size_t flood = 0; flood < 2 * suspect_book::kMostSuspects; ++flood) {
      End(10 + flood, {"innocent" + std::to_string(flood)}, kStart + milliseconds(1));
    }
    CPPUNIT_ASSERT(suspect_standing::kBlocked == Standing("guilty", kStart + seconds(1)));
    CPPUNIT_ASSERT(book_.All(kStart + seconds(1)).size() <= suspect_book::kMostSuspects + 1);
  }

  void EndNoticedTwice_SuspectsOfTheSecondNotice_AreNotAlone() {
    End(kFirstEnd, {"a", "b"}, kStart);
    End(kSecondEnd, {"a", "b"}, kStart + seconds(1));
    End(kSecondEnd, {"late"}, kStart + seconds(1));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("late", kStart + seconds(1)));
    CPPUNIT_ASSERT(suspect_standing::kCareful == Standing("a", kStart + seconds(1)));
  }

  //============================================================================
  void Lane_TwoSuspects_RunInTurn() {
    suspect_lane lane;
    CPPUNIT_ASSERT(lane.Enter({.id = 1, .digest = Digest("a")}));
    CPPUNIT_ASSERT(!lane.Enter({.id = 2, .digest = Digest("b")}));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{2} == lane.Leave(1));
  }

  void Lane_SameRequestTwice_RunsInTurn() {
    suspect_lane lane;
    lane.SetSuspects(100);
    CPPUNIT_ASSERT(lane.Enter({.id = 1, .digest = Digest("a")}));
    CPPUNIT_ASSERT(!lane.Enter({.id = 2, .digest = Digest("a")}));
    CPPUNIT_ASSERT(lane.Enter({.id = 3, .digest = Digest("b")}));
  }

  // Guards against hundreds of innocent requests that wait past their deadlines.
  void Lane_ManySuspects_SomeRunTogether() {
    suspect_lane lane;
    lane.SetSuspects(5 * suspect_lane::kTurns);
    for (std::uint64_t id = 0; id < 5; ++id) {
      CPPUNIT_ASSERT(lane.Enter({.id = id, .digest = Digest(std::to_string(id))}));
    }
  }

  // Guards against one that is nearly found out hiding behind others.
  void Lane_EndedTwoBefore_RunsByItself() {
    suspect_lane lane;
    lane.SetSuspects(100);
    CPPUNIT_ASSERT(lane.Enter({.id = 1, .digest = Digest("a")}));
    CPPUNIT_ASSERT(!lane.Enter({.id = 2, .digest = Digest("b"), .ends = 2}));
    CPPUNIT_ASSERT(!lane.Enter({.id = 3, .digest = Digest("c")}));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{2} == lane.Leave(1));
    CPPUNIT_ASSERT(std::vector<std::uint64_t>{3} == lane.Leave(2));
  }

  //============================================================================
  // Guards against ends of targets beyond the users' bound, and against innocents that pay.
  void Fleets_OneRequestEndsTargets_ThreeEndAtMostAndNoInnocentIsRefused() {
    for (int seed = 1; seed <= kFleets; ++seed) {
      suspect_world world(static_cast<std::uint64_t>(seed));
      world.Run();
      const std::string at = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(at, world.ends() >= 1);
      CPPUNIT_ASSERT_MESSAGE(at, world.ends() <= 3);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, 0, world.innocents_refused());
    }
  }

 private:
  suspect_standing Standing(const std::string& path, instant now) const {
    return book_.StandingOf(Digest(path), now);
  }

  void End(std::uint64_t end, const std::vector<std::string>& paths, instant now) {
    std::vector<suspect_book::running_request> running;
    for (const std::string& path : paths) {
      const bool known = Standing(path, now) != suspect_standing::kFree;
      running.push_back({.digest = Digest(path), .place = PlaceOf({.path = path}), .apart = known});
    }
    for (const suspect_event& event : book_.EventsOfEnd(end, running, now)) {
      book_.Apply(event, now);
    }
  }

  void ClearAt(const std::string& path, instant now) {
    suspect_event event = cuminferry::testing::Run(path);
    event.what = suspect_event::kind::kCleared;
    book_.Apply(event, now);
  }

  suspect_book book_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_book_test);

}  // namespace cuminferry::testing
