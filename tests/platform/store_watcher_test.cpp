#include <cppunit/extensions/HelperMacros.h>

#include "platform/watched_store.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

class store_watcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_watcher_test);
  CPPUNIT_TEST(Start_SeveralPages_CopiesAll);
  CPPUNIT_TEST(Watch_ItemsChange_FollowsThem);
  CPPUNIT_TEST(Watch_SeriesOfChanges_CostsFewCalls);
  CPPUNIT_TEST(Watch_HistoryGone_ReadsAllAnew);
  CPPUNIT_TEST(Watch_ForgottenBySilentStore_IsAskedAnewSoon);
  CPPUNIT_TEST(Watch_NoChange_IsAskedAnewAtOnce);
  CPPUNIT_TEST(Watch_NoChange_TellsHowOldTheNewsIs);
  CPPUNIT_TEST(Watch_ChangeUntold_IsNeitherPassedOverNorTakenForNews);
  CPPUNIT_TEST(Watch_EntriesRenewed_AreNoChange);
  CPPUNIT_TEST(SetWatching_CopyFromOthers_IsNotReadAnew);
  CPPUNIT_TEST(Store_TurnsAway_IsToldAndAskedAgain);
  CPPUNIT_TEST(Store_SilentAtStart_IsToldAndAskedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Start_SeveralPages_CopiesAll() {
    watched_store at;
    at.store.page = 3;
    for (int i = 0; i < 10; ++i) {
      at.store.Put("k" + std::to_string(i), std::string("\0binary", 7));
    }
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.FindAll("k").size() == 10; }));
    CPPUNIT_ASSERT_EQUAL(std::string("\0binary", 7), at.items.Find("k7")->value);
    CPPUNIT_ASSERT_EQUAL(4, at.store.ranges);
  }

  void Watch_ItemsChange_FollowsThem() {
    watched_store at;
    at.store.Put("a", "1");
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") != nullptr; }));
    at.store.Put("a", "2");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a")->value == "2"; }));
    at.store.Remove("a");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") == nullptr; }));
    CPPUNIT_ASSERT_EQUAL(1, at.store.ranges);
  }

  void Watch_SeriesOfChanges_CostsFewCalls() {
    watched_store at;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.store.calls == 2; }));
    loop_timer writer(at.loop);
    int written = 0;
    writer.StartPeriodic(milliseconds(20), [&] { at.store.Put("k", std::to_string(++written)); });
    CPPUNIT_ASSERT(at.RunUntil([&] { return written == 50; }));
    // 50 changes in a second, fetched every quarter of one.
    CPPUNIT_ASSERT(at.store.calls <= 8);
  }

  // The store forgets its history while a node looks away. Watching on from where it was would
  // miss the edits in between for good.
  void Watch_HistoryGone_ReadsAllAnew() {
    watched_store at;
    at.store.Put("a", "1");
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") != nullptr; }));
    at.store.Put("b", "1");
    at.store.Remove("a");
    at.store.Compact();
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") == nullptr; }));
    CPPUNIT_ASSERT(at.items.Find("b") != nullptr);
  }

  // The store falls silent for a moment and comes back without the watch that it took meanwhile.
  // The node waits for a change that it will never be told of, and serves an old table.
  void Watch_ForgottenBySilentStore_IsAskedAnewSoon() {
    watched_store at;
    at.store.Put("a", "1");
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") != nullptr; }));
    at.store.silent = true;
    const int calls = at.store.calls;
    at.store.Put("a", "2");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.store.calls > calls; }));
    at.store.silent = false;
    at.store.Put("a", "3");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a")->value == "3"; }, seconds(3)));
  }

  // A store without changes must still confirm the copy: others judge by its age whether the
  // readers hear anything, and would all read the store themselves.
  void Watch_NoChange_IsAskedAnewAtOnce() {
    watched_store at;
    at.store.answers_after_wait = true;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.heard.size() >= 4; }, seconds(3)));
  }

  // Nodes go by the age of the news, to stop taking keys that may be withdrawn. Too young an age
  // would let a withdrawn key work, too old a one refuse good ones.
  void Watch_NoChange_TellsHowOldTheNewsIs() {
    watched_store at;
    at.store.answers_after_wait = true;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.ages.size() >= 4; }, seconds(5)));
    // Each watch was asked for after the answer before it came, and waited: what is left of the
    // time between two answers is the most that the news can be old, on a busy machine, too.
    for (std::size_t i = 1; i < at.ages.size(); ++i) {
      const duration between = at.told[i] - at.told[i - 1];
      const duration most =
          between - platform::store_watcher::kWatchWait + platform::store_watcher::kWaitRounding;
      CPPUNIT_ASSERT(at.ages[i] >= 0);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(at.ages[i]), at.ages[i] <= most.count());
    }
  }

  // The store forgets a watch, changes an item, and ends the watch without a word of it. The node
  // would watch on from the new revision, and never hear of the change.
  void Watch_ChangeUntold_IsNeitherPassedOverNorTakenForNews() {
    watched_store at;
    at.store.Put("a", "1");
    at.store.answers_after_wait = true;
    at.store.untold = true;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a") != nullptr; }));
    const std::uint64_t known = at.items.complete_to();
    at.store.Put("a", "2");
    const std::size_t told = at.ages.size();
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.store.untold_watches > 0; }, seconds(3)));
    CPPUNIT_ASSERT_EQUAL(known, at.items.complete_to());
    CPPUNIT_ASSERT_EQUAL(told, at.ages.size());
    at.store.untold = false;
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a")->value == "2"; }, seconds(3)));
  }

  // Each backend server renews its entry all the time. Told on, two hundred of them keep all nodes
  // busy with entries that say what they said before.
  void Watch_EntriesRenewed_AreNoChange() {
    watched_store at;
    at.store.Put("servers/i-1", R"({"service":"maps","state":"ready","sequence":1})");
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("servers/i-1") != nullptr; }));
    const std::uint64_t first = at.items.changed_at();
    at.store.Renew("servers/i-1", R"({"service":"maps","state":"ready","sequence":2})");
    at.store.Put("after", "1");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("after") != nullptr; }));
    CPPUNIT_ASSERT_EQUAL(first, at.items.Find("servers/i-1")->revision);
    at.store.Renew("servers/i-1", R"({"service":"maps","state":"draining","sequence":3})");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("servers/i-1")->revision > first; }));
  }

  // A node that has its copy from another starts to watch. Reading everything first would ask a
  // store of hundreds of entries for five pages in place of one watch, at each restart.
  void SetWatching_CopyFromOthers_IsNotReadAnew() {
    watched_store at;
    at.store.Put("a", "1");
    const std::uint64_t revision = at.store.revision();
    at.items.Apply({.complete_to = revision,
                    .whole = true,
                    .items = {{.key = "a", .value = "1", .revision = revision}}});
    at.watcher.SetWatching(true, revision);
    at.store.Put("a", "2");
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.items.Find("a")->value == "2"; }));
    CPPUNIT_ASSERT_EQUAL(0, at.store.ranges);
  }

  void Store_TurnsAway_IsToldAndAskedAgain() {
    watched_store at;
    at.store.broken_status = 429;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return !at.heard.empty(); }));
    CPPUNIT_ASSERT(!at.heard.back());
    at.store.broken_status = 0;
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.heard.back(); }));
    CPPUNIT_ASSERT(at.items.complete_to() > 0);
  }

  // The store accepts connections and says nothing. A node that waits for it alone never learns
  // the table, and never asks the others for it.
  void Store_SilentAtStart_IsToldAndAskedAgain() {
    watched_store at;
    at.store.silent = true;
    at.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(at.RunUntil([&] { return !at.heard.empty(); }, seconds(3)));
    CPPUNIT_ASSERT(!at.heard.back());
    at.store.silent = false;
    CPPUNIT_ASSERT(at.RunUntil([&] { return at.heard.back(); }, seconds(5)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watcher_test);

}  // namespace cuminferry::testing
