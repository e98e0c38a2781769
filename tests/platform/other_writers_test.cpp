#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "cuminferry_relay/path/item_filter.h"
#include "platform/watched_store.h"

namespace cuminferry::testing {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr char kSound[] = "servers/i-1";

std::string Entry(std::string_view state) { return TargetEntry(state, 1); }

// The entry with one more field, or another value of a field, of this length.
std::string WithField(const std::string& field, std::size_t length) {
  nlohmann::json entry = nlohmann::json::parse(Entry("ready"));
  entry[field] = std::string(length, 'x');
  return entry.dump();
}

std::size_t BytesOf(const item_replica& items) {
  std::size_t bytes = 0;
  for (const published_item* item : items.FindAll("")) {
    bytes += item->key.size() + item->value.size();
  }
  return bytes;
}

}  // namespace

/** A node reads the store, to which others write what they like. */
class other_writers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(other_writers_test);
  CPPUNIT_TEST(Items_NoneUsesThem_AreNotKept);
  CPPUNIT_TEST(Values_LongerThanAnyPage_HideNothing);
  CPPUNIT_TEST(Entries_UnreadableFromTheStart_AreNotKept);
  CPPUNIT_TEST(Entry_UnreadableForAWhile_NamesNoTargetMeanwhile);
  CPPUNIT_TEST(Entry_OverwrittenUnread_IsTakenBackByOtherNodes);
  CPPUNIT_TEST(Entry_KeyTooLong_IsNotKept);
  CPPUNIT_TEST(Entries_WithUnknownFields_AreKeptWithoutThem);
  CPPUNIT_TEST(Entry_NameTooLong_NamesNoTarget);
  CPPUNIT_TEST(Entries_MoreThanAreKept_CostOnlyTheLatest);
  CPPUNIT_TEST(Filter_ServicesThatNobodyDeclares_RankLast);
  CPPUNIT_TEST(Filter_UnreadableItems_AreCountedAndForgottenOnceReadable);
  CPPUNIT_TEST(Entries_WithoutKeyOrRevision_CostOnlyThemselves);
  CPPUNIT_TEST(Pages_WithoutEnd_AreGivenUp);
  CPPUNIT_TEST(ReduceItem_Twice_IsTheSame);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node filled by values of another system, each as large as the store takes.
  void Items_NoneUsesThem_AreNotKept() {
    fixture_.keeps_unused = false;
    fixture_.store.page = 1;
    PutMany("locks/");
    Watch();
    PutMany("other/");
    CPPUNIT_ASSERT(IsFollowed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture_.items.FindAll("").size());
    CPPUNIT_ASSERT(fixture_.items.Find(kSound) != nullptr);
  }

  // Guards against a store that no node can read, as the values of another system make its answer
  // longer than one that is taken: 13 MB, which a store that pages by number sends in one.
  void Values_LongerThanAnyPage_HideNothing() {
    constexpr int kValues = 13;
    fixture_.keeps_unused = false;
    PutMany("locks/", kValues);
    Watch();
    PutMany("locks/", kValues);
    fixture_.store.Renew(kSound, Entry("draining"));
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target() && Target()->draining; }));
    CPPUNIT_ASSERT_EQUAL(1, fixture_.store.ranges);
  }

  // Guards against a node filled by entries that nobody can read, 48 MB of them.
  void Entries_UnreadableFromTheStart_AreNotKept() {
    fixture_.store.page = 1;
    PutMany("servers/a");
    Watch();
    PutMany("servers/b");
    CPPUNIT_ASSERT(IsFollowed());
    CPPUNIT_ASSERT(BytesOf(fixture_.items) < kMany * 1'000);
    CPPUNIT_ASSERT(fixture_.items.Find(kSound) != nullptr);
  }

  // Guards against requests to the address of an entry that another writer has replaced.
  void Entry_UnreadableForAWhile_NamesNoTargetMeanwhile() {
    Watch();
    fixture_.store.Renew(kSound, std::string(kMaxValueBytes, '['));
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return !Target(); }));
    CPPUNIT_ASSERT(fixture_.items.Find(kSound) != nullptr);
    CPPUNIT_ASSERT(BytesOf(fixture_.items) < 1'000);
    fixture_.store.Renew(kSound, Entry("ready"));
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target().has_value(); }));
  }

  // Guards against another node that goes on sending requests to the address: it knows the entry
  // from a time at which the watching node wasn't there.
  void Entry_OverwrittenUnread_IsTakenBackByOtherNodes() {
    Watch();
    item_replica other;
    other.Apply(fixture_.items.UpdateSince(0));
    fixture_.store.Renew(kSound, "?");
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return !Target(); }));
    item_replica late;
    late.Apply(fixture_.items.UpdateSince(0));
    other.Apply(late.UpdateSince(other.complete_to()));
    const published_item* taken_back = other.Find(kSound);
    CPPUNIT_ASSERT(taken_back != nullptr);
    CPPUNIT_ASSERT(!platform::ReadInstance(*taken_back));
  }

  // Guards against keys that fill the copy although the store takes none of this length.
  void Entry_KeyTooLong_IsNotKept() {
    published_item item{.key = "servers/" + std::string(100'000, 'k'), .value = Entry("ready")};
    const item_reduction reduction = platform::ReduceItem(item);
    CPPUNIT_ASSERT(reduction.use == item_reduction::use::kNone);
    CPPUNIT_ASSERT(!reduction.reason.empty());
  }

  // Guards against a store that no node can read any more, and against nodes filled by the fields
  // that another writer adds to its entries: 36 MB in 2,400 entries, each of which can be read.
  void Entries_WithUnknownFields_AreKeptWithoutThem() {
    constexpr int kEntries = 2'400;
    for (int i = 0; i < kEntries; ++i) {
      fixture_.store.Put("servers/n-" + std::to_string(i), WithField("notes", 15'000));
    }
    Watch();
    CPPUNIT_ASSERT(BytesOf(fixture_.items) < kEntries * 300);
    fixture_.store.Renew(kSound, WithField("notes", 15'000));
    CPPUNIT_ASSERT(IsFollowed());
    CPPUNIT_ASSERT(Target().has_value());
    CPPUNIT_ASSERT(BytesOf(fixture_.items) < kEntries * 300);
  }

  // Guards against a node filled by names as long as an entry may be.
  void Entry_NameTooLong_NamesNoTarget() {
    for (const char* field : {"service", "zone", "version"}) {
      published_item item{.key = kSound, .value = WithField(field, 201)};
      CPPUNIT_ASSERT(platform::ReduceItem(item).use == item_reduction::use::kUnreadable);
      published_item sound{.key = kSound, .value = WithField(field, 200)};
      CPPUNIT_ASSERT(platform::ReduceItem(sound).use == item_reduction::use::kKept);
    }
  }

  // Guards against a node filled by any number of entries that look like those of instances, before
  // it starts and while it watches.
  void Entries_MoreThanAreKept_CostOnlyTheLatest() {
    const auto put_many = [this](const std::string& prefix) {
      for (std::size_t i = 0; i < item_replica::kMaxItems; ++i) {
        fixture_.store.Put(prefix + std::to_string(i), Entry("ready"));
      }
    };
    fixture_.store.Put(kSound, Entry("ready"));
    put_many("servers/a-");
    put_many("servers/z-");
    fixture_.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target().has_value(); }, seconds(20)));
    CPPUNIT_ASSERT_EQUAL(item_replica::kMaxItems, fixture_.items.FindAll("").size());
    put_many("servers/b-");
    CPPUNIT_ASSERT(IsFollowed());
    CPPUNIT_ASSERT_EQUAL(item_replica::kMaxItems, fixture_.items.FindAll("").size());
    CPPUNIT_ASSERT(fixture_.items.left_out() > 0);
    fixture_.store.Renew(kSound, Entry("draining"));
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target() && Target()->draining; }));
  }

  // Guards against entries of services that do not exist taking the room of instances that start.
  void Filter_ServicesThatNobodyDeclares_RankLast() {
    relay_board board(fixture_.loop, {.instance = "node", .service = "maps"});
    item_filter filter(board, platform::ReduceItem);
    const auto rank_of = [&](const std::string& key, const std::string& value) {
      published_item item{.key = key, .value = value};
      filter.Reduce(item);
      return item.rank;
    };
    CPPUNIT_ASSERT_EQUAL(item_filter::kDeclaredRank, rank_of(kSound, WithField("service", 4)));
    board.SetTable(*route_table::Make(1, {}, {{.name = "maps"}}, {}));
    CPPUNIT_ASSERT_EQUAL(item_filter::kDeclaredRank, rank_of(kSound, Entry("ready")));
    CPPUNIT_ASSERT_EQUAL(item_filter::kUndeclaredRank, rank_of(kSound, WithField("service", 4)));
    CPPUNIT_ASSERT_EQUAL(item_filter::kOtherRank, rank_of(platform::TableKey(), "{}"));
  }

  // Guards against an operator who can't see that, and where, entries can't be read.
  void Filter_UnreadableItems_AreCountedAndForgottenOnceReadable() {
    relay_board board(fixture_.loop, {.instance = "node", .service = "maps"});
    item_filter filter(board, platform::ReduceItem);
    for (const char* value : {"?", "[]", "{"}) {
      published_item item{.key = kSound, .value = value};
      CPPUNIT_ASSERT(filter.Reduce(item));
      CPPUNIT_ASSERT(item.is_unreadable);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, filter.logged_keys());
    for (int i = 0; i < 10'000; ++i) {
      filter.OnUnreadable("servers/" + std::to_string(i), "damaged");
    }
    CPPUNIT_ASSERT_EQUAL(item_filter::kMaxLoggedKeys, filter.logged_keys());
    CPPUNIT_ASSERT(board.metrics.ToText().find("cuminferry_unreadable_items_total 10003") !=
                   std::string::npos);
    published_item sound{.key = kSound, .value = Entry("ready")};
    CPPUNIT_ASSERT(filter.Reduce(sound) && !sound.is_unreadable);
    CPPUNIT_ASSERT_EQUAL(item_filter::kMaxLoggedKeys - 1, filter.logged_keys());
  }

  // Guards against one damaged entry hiding all that stand beside it on its page.
  void Entries_WithoutKeyOrRevision_CostOnlyThemselves() {
    fixture_.store.foreign_entries = {R"({"value":"e30=","revision":3})",
                                      R"({"key":"servers/x","value":"e30="})",
                                      R"({"key":"servers/y","value":"e30=","revision":-1})",
                                      R"([[7]])", R"({"key":["servers/z"],"revision":3})"};
    Watch();
    CPPUNIT_ASSERT_EQUAL(fixture_.store.foreign_entries.size(), fixture_.left_out.size());
    fixture_.store.foreign_entries = {R"({"key":"servers/v","value":"%","revision":3})"};
    fixture_.store.Renew(kSound, Entry("draining"));
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target() && Target()->draining; }));
  }

  // Guards against a node filled by a store whose pages come again and again.
  void Pages_WithoutEnd_AreGivenUp() {
    fixture_.store.Put(kSound, Entry("ready"));
    fixture_.store.has_pages_without_end = true;
    fixture_.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture_.RunUntil(
        [&] { return !fixture_.availability.empty() && !fixture_.availability.back(); }));
    CPPUNIT_ASSERT(fixture_.store.ranges <= 2);
    fixture_.store.has_pages_without_end = false;
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target().has_value(); }));
  }

  // Guards against a description that grows at each node that passes it on.
  void ReduceItem_Twice_IsTheSame() {
    for (const std::string& value :
         {Entry("ready"), Entry("gone"), std::string("[]"), std::string("\xff\xfe"),
          Entry(std::string(1'000, 'x')), std::string(R"({"unreadable":7})")}) {
      published_item item{.key = kSound, .value = value, .revision = 4};
      const item_reduction first = platform::ReduceItem(item);
      published_item again = item;
      const item_reduction second = platform::ReduceItem(again);
      CPPUNIT_ASSERT_EQUAL(item.value, again.value);
      CPPUNIT_ASSERT(first.use == second.use);
    }
  }

 private:
  static constexpr int kMany = 24;

  void PutMany(const std::string& prefix, int count = kMany) {
    for (int i = 0; i < count; ++i) {
      fixture_.store.Put(prefix + std::to_string(i), std::string(kMaxValueBytes, 'x'));
    }
  }

  void Watch() {
    fixture_.store.Put(kSound, Entry("ready"));
    fixture_.watcher.SetWatching(true, 0);
    CPPUNIT_ASSERT(fixture_.RunUntil([&] { return Target().has_value(); }, seconds(10)));
  }

  // Whether the copy becomes complete up to the store's latest change.
  bool IsFollowed() {
    return fixture_.RunUntil(
        [&] { return fixture_.items.complete_to() >= fixture_.store.revision(); }, seconds(20));
  }

  std::optional<service_instance> Target() const {
    const published_item* item = fixture_.items.Find(kSound);
    return item == nullptr ? std::nullopt : platform::ReadInstance(*item);
  }

  watched_store fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(other_writers_test);

}  // namespace cuminferry::testing
