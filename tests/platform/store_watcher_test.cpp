#include <cppunit/extensions/HelperMacros.h>

#include "platform/watched_store.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

class store_watcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_watcher_test);
  CPPUNIT_TEST(Start_SeveralPages_ReadsAllItems);
  CPPUNIT_TEST(Watch_ItemsChange_AppliesChanges);
  CPPUNIT_TEST(Watch_SeriesOfChanges_NeedsFewRequests);
  CPPUNIT_TEST(Watch_HistoryDiscarded_ReadsAllItemsAgain);
  CPPUNIT_TEST(Watch_LostByUnresponsiveStore_IsSentAgainSoon);
  CPPUNIT_TEST(Watch_NoChange_IsSentAgainAtOnce);
  CPPUNIT_TEST(Watch_NoChange_ReportsAgeOfCopy);
  CPPUNIT_TEST(Watch_ChangeOmitted_IsNeitherSkippedNorConfirmed);
  CPPUNIT_TEST(Watch_EntriesRenewed_AreNoChange);
  CPPUNIT_TEST(SetWatching_CopyFromOthers_IsNotReadAgain);
  CPPUNIT_TEST(Store_RejectsRequests_IsReportedAndRetried);
  CPPUNIT_TEST(Store_UnresponsiveAtStart_IsReportedAndRetried);
  CPPUNIT_TEST(Store_AnswersWithoutEnd_IsGivenUpAndRetried);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Start_SeveralPages_ReadsAllItems() {
    watched_store fixture;
    fixture.store.page = 3;
    for (int i = 0; i < 10; ++i) {
      fixture.store.Put("k" + std::to_string(i), std::string("\0binary", 7));
    }
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.FindAll("k").size() == 10; }));
    CPPUNIT_ASSERT_EQUAL(std::string("\0binary", 7), fixture.items.Find("k7")->value);
    CPPUNIT_ASSERT_EQUAL(4, fixture.store.ranges);
  }

  void Watch_ItemsChange_AppliesChanges() {
    watched_store fixture;
    fixture.store.Put("a", "1");
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
    fixture.store.Put("a", "2");
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a")->value == "2"; }));
    fixture.store.Remove("a");
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") == nullptr; }));
    CPPUNIT_ASSERT_EQUAL(1, fixture.store.ranges);
  }

  void Watch_SeriesOfChanges_NeedsFewRequests() {
    watched_store fixture;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.store.calls == 2; }));
    loop_timer writer(fixture.loop);
    int written = 0;
    writer.StartPeriodic(milliseconds(20),
                         [&] { fixture.store.Put("k", std::to_string(++written)); });
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return written == 50; }));
    // 50 changes are made in one second and fetched four times a second.
    CPPUNIT_ASSERT(fixture.store.calls <= 8);
  }

  // Guards against edits missed for good when a node continues its watch although the store has
  // discarded the changes since then.
  void Watch_HistoryDiscarded_ReadsAllItemsAgain() {
    watched_store fixture;
    fixture.store.Put("a", "1");
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
    fixture.store.Put("b", "1");
    fixture.store.Remove("a");
    fixture.store.Compact();
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") == nullptr; }));
    CPPUNIT_ASSERT(fixture.items.Find("b") != nullptr);
  }

  // Guards against a node that keeps serving an old table: the store was unresponsive for a moment
  // and lost the watch that it accepted meanwhile.
  void Watch_LostByUnresponsiveStore_IsSentAgainSoon() {
    watched_store fixture;
    fixture.store.Put("a", "1");
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
    fixture.store.silent = true;
    const int calls = fixture.store.calls;
    fixture.store.Put("a", "2");
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.store.calls > calls; }));
    fixture.store.silent = false;
    fixture.store.Put("a", "3");
    CPPUNIT_ASSERT(
        fixture.RunUntil([&] { return fixture.items.Find("a")->value == "3"; }, seconds(3)));
  }

  // Guards against every node reading the store itself: a store without changes must still confirm
  // the copy, because other nodes judge by its age whether the watching nodes reach the store.
  void Watch_NoChange_IsSentAgainAtOnce() {
    watched_store fixture;
    fixture.store.answers_after_wait = true;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.availability.size() >= 4; }, seconds(3)));
  }

  // Nodes stop accepting keys that may be withdrawn when the copy gets too old. An age that is
  // reported too low lets a withdrawn key work; one that is too high refuses valid keys.
  void Watch_NoChange_ReportsAgeOfCopy() {
    watched_store fixture;
    fixture.store.answers_after_wait = true;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.ages.size() >= 4; }, seconds(5)));
    // Each watch is sent after the previous answer and then waits. The time between two answers
    // less the wait is therefore an upper bound of the age, also on a busy machine. The first
    // update is the copy of all items, which no watch returned.
    for (std::size_t i = 1; i < fixture.ages.size(); ++i) {
      const duration time_between = fixture.updated_at[i] - fixture.updated_at[i - 1];
      const duration max_age =
          time_between - fixture.store.watch_waits.at(i - 1) + watch_schedule::kWaitTolerance;
      CPPUNIT_ASSERT(fixture.ages[i] >= 0);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fixture.ages[i]), fixture.ages[i] <= max_age.count());
    }
  }

  // Guards against a change missed for good: the store answers a watch with a new revision but
  // without the change, and the node would continue from the new revision.
  void Watch_ChangeOmitted_IsNeitherSkippedNorConfirmed() {
    watched_store fixture;
    fixture.store.Put("a", "1");
    fixture.store.answers_after_wait = true;
    fixture.store.omits_changes = true;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
    const std::uint64_t known = fixture.items.complete_to();
    fixture.store.Put("a", "2");
    const std::size_t update_count = fixture.ages.size();
    CPPUNIT_ASSERT(
        fixture.RunUntil([&] { return fixture.store.watches_omitting_changes > 0; }, seconds(3)));
    CPPUNIT_ASSERT_EQUAL(known, fixture.items.complete_to());
    CPPUNIT_ASSERT_EQUAL(update_count, fixture.ages.size());
    fixture.store.omits_changes = false;
    CPPUNIT_ASSERT(
        fixture.RunUntil([&] { return fixture.items.Find("a")->value == "2"; }, seconds(3)));
  }

  // Each backend server renews its entry continually. If renewals were propagated, two hundred
  // backend servers would keep all nodes busy with entries whose content is the same.
  void Watch_EntriesRenewed_AreNoChange() {
    watched_store fixture;
    fixture.store.Put("servers/i-1", TargetEntry("ready", 1));
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("servers/i-1") != nullptr; }));
    const std::uint64_t first = fixture.items.latest_change();
    fixture.store.Renew("servers/i-1", TargetEntry("ready", 2));
    fixture.store.Put("after", "1");
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("after") != nullptr; }));
    CPPUNIT_ASSERT_EQUAL(first, fixture.items.Find("servers/i-1")->revision);
    fixture.store.Renew("servers/i-1", TargetEntry("draining", 3));
    CPPUNIT_ASSERT(
        fixture.RunUntil([&] { return fixture.items.Find("servers/i-1")->revision > first; }));
  }

  // Guards against needless requests: a node that received its copy from another node starts to
  // watch. Reading all items first would take five pages instead of one watch at each restart, with
  // hundreds of entries in the store.
  void SetWatching_CopyFromOthers_IsNotReadAgain() {
    watched_store fixture;
    fixture.store.Put("a", "1");
    const std::uint64_t revision = fixture.store.revision();
    fixture.items.Apply({.complete_to = revision,
                         .whole = true,
                         .items = {{.key = "a", .value = "1", .revision = revision}}});
    fixture.watcher.SetWatching(true, revision);
    fixture.store.Put("a", "2");
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a")->value == "2"; }));
    CPPUNIT_ASSERT_EQUAL(0, fixture.store.ranges);
  }

  void Store_RejectsRequests_IsReportedAndRetried() {
    watched_store fixture;
    fixture.store.error_status = 429;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return !fixture.availability.empty(); }));
    CPPUNIT_ASSERT(!fixture.availability.back());
    fixture.store.error_status = 0;
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.availability.back(); }));
    CPPUNIT_ASSERT(fixture.items.complete_to() > 0);
  }

  // Guards against a node without a table: the store accepts connections and does not answer, and
  // the node must notice this to request the table from other nodes.
  void Store_UnresponsiveAtStart_IsReportedAndRetried() {
    watched_store fixture;
    fixture.store.silent = true;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return !fixture.availability.empty(); }, seconds(3)));
    CPPUNIT_ASSERT(!fixture.availability.back());
    fixture.store.silent = false;
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.availability.back(); }, seconds(5)));
  }

  // Guards against a node that holds an answer of any length in its memory.
  void Store_AnswersWithoutEnd_IsGivenUpAndRetried() {
    constexpr std::size_t kMostBytes = 24 * 1024 * 1024;
    watched_store fixture;
    fixture.store.Put("a", "1");
    fixture.store.is_endless = true;
    fixture.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return !fixture.availability.empty(); }, seconds(3)));
    CPPUNIT_ASSERT(!fixture.availability.back());
    CPPUNIT_ASSERT(fixture.store.endless_bytes < kMostBytes);
    fixture.store.is_endless = false;
    CPPUNIT_ASSERT(fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watcher_test);

}  // namespace cuminferry::testing
