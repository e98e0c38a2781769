#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

published_item Item(std::string key, std::uint64_t revision) {
  return {.key = std::move(key), .value = std::to_string(revision), .revision = revision};
}

published_item Entry(std::string key, std::string value, std::uint64_t revision,
                     std::uint64_t created) {
  return {.key = std::move(key),
          .value = std::move(value),
          .revision = revision,
          .removed = false,
          .created = created};
}

published_item Removal(std::string key, std::uint64_t revision) {
  return {.key = std::move(key), .value = {}, .revision = revision, .removed = true};
}

std::map<std::string, std::uint64_t> Content(const item_replica& replica) {
  std::map<std::string, std::uint64_t> content;
  for (const published_item* item : replica.FindAll("")) {
    content[item->key] = item->revision;
  }
  return content;
}

}  // namespace

class item_replica_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(item_replica_test);
  CPPUNIT_TEST(Apply_OlderChangeAfterNewer_ChangesNothing);
  CPPUNIT_TEST(Apply_FullCopyWithoutAnItem_RemovesIt);
  CPPUNIT_TEST(Apply_OutdatedFullCopy_RestoresNothing);
  CPPUNIT_TEST(UpdateSince_AnyMixOfSources_ReplicasAreEqual);
  CPPUNIT_TEST(Apply_MoreItemsThanAreKept_LowestRankAndEldestStay);
  CPPUNIT_TEST(Apply_Renewal_IsNotPropagated);
  CPPUNIT_TEST(Apply_CreatedAgainWithTheSameValue_IsPropagated);
  CPPUNIT_TEST(UpdateSince_EntriesRenewedAndCreatedAgain_ReplicasAreEqual);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Apply_OlderChangeAfterNewer_ChangesNothing() {
    item_replica replica;
    replica.Apply({.complete_to = 9, .whole = true, .items = {Item("k", 9)}});
    CPPUNIT_ASSERT(
        replica.Apply({.complete_to = 5, .whole = false, .items = {Item("k", 5)}}).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, replica.Find("k")->revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, replica.complete_to());
  }

  // Guards against a copy that fills the memory, and against one that loses what it is there for.
  void Apply_MoreItemsThanAreKept_LowestRankAndEldestStay() {
    item_replica replica;
    std::uint64_t revision = 0;
    const auto apply = [&](const std::string& prefix, std::uint8_t rank, std::size_t count) {
      item_update update;
      for (std::size_t i = 0; i < count; ++i) {
        ++revision;
        update.items.push_back(Entry(prefix + std::to_string(i), "", revision, revision));
        update.items.back().rank = rank;
      }
      update.complete_to = revision;
      return replica.Apply(update);
    };
    apply("foreign-", 2, item_replica::kMaxItems);
    const auto changed = apply("late-", 1, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, changed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, replica.FindAll("late-").size());
    CPPUNIT_ASSERT_EQUAL(item_replica::kMaxItems, replica.FindAll("").size());
    apply("later-", 2, 100);
    CPPUNIT_ASSERT(replica.FindAll("later-").empty());
    CPPUNIT_ASSERT(replica.Find("foreign-0") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, replica.left_out());
    replica.Apply({.complete_to = ++revision, .items = {Removal("foreign-0", revision)}});
    apply("later-", 2, 1);
    CPPUNIT_ASSERT(replica.Find("later-0") != nullptr);
  }

  void Apply_FullCopyWithoutAnItem_RemovesIt() {
    item_replica replica;
    replica.Apply({.complete_to = 9, .whole = true, .items = {Item("a", 3), Item("b", 9)}});
    const auto changed = replica.Apply({.complete_to = 12, .whole = true, .items = {Item("b", 9)}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
    CPPUNIT_ASSERT(replica.Find("a") == nullptr);
  }

  // Guards against outdated copies. A node that was cut off is queried after it returns and before
  // it has caught up. Requests would go again to a backend server that was removed meanwhile, and
  // reach another service if the address has been reused.
  void Apply_OutdatedFullCopy_RestoresNothing() {
    item_replica replica;
    replica.Apply({.complete_to = 9, .whole = true, .items = {Item("left", 3), Item("b", 9)}});
    replica.Apply({.complete_to = 12, .whole = true, .items = {Item("b", 9)}});
    replica.Apply({.complete_to = 10, .whole = true, .items = {Item("left", 3), Item("b", 9)}});
    CPPUNIT_ASSERT(replica.Find("left") == nullptr);
  }

  // Three nodes receive updates from the platform at random times, with gaps, and otherwise from
  // each other in any order. After each has received the last revision from any source, all must
  // have the same content as the platform.
  void UpdateSince_AnyMixOfSources_ReplicasAreEqual() {
    CheckProperty("replicas of any history are equal", [](std::uint64_t seed) {
      random_source random(seed);
      item_replica store;
      std::vector<item_replica> nodes(3);
      std::uint64_t revision = 0;
      for (int step = 0; step < 200; ++step) {
        const std::string key = "k" + std::to_string(random.Below(6));
        ++revision;
        const bool removal = store.Find(key) != nullptr && random.Below(3) == 0;
        store.Apply({.complete_to = revision,
                     .whole = false,
                     .items = {removal ? Removal(key, revision) : Item(key, revision)}});
        item_replica& node = nodes[random.Below(nodes.size())];
        const item_replica& source =
            random.Below(3) == 0 ? store : nodes[random.Below(nodes.size())];
        item_update update = source.UpdateSince(random.Below(4) == 0 ? 0 : node.complete_to());
        if (update.complete_to >= node.complete_to()) {
          node.Apply(update);
        }
      }
      for (item_replica& node : nodes) {
        node.Apply(store.UpdateSince(node.complete_to()));
        RC_ASSERT(Content(node) == Content(store));
      }
    });
  }

  void Apply_Renewal_IsNotPropagated() {
    item_replica replica;
    replica.Apply({.complete_to = 9, .whole = true, .items = {Entry("k", "a", 9, 3)}});
    const item_update renewal{
        .complete_to = 12, .items = {Entry("k", "a", 12, 3)}, .every_change = true};
    CPPUNIT_ASSERT(replica.Apply(renewal).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, replica.latest_change());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, replica.complete_to());
    CPPUNIT_ASSERT(replica.UpdateSince(9).items.empty());
  }

  // An entry expires and is created again with the same value. A node that received the removal
  // from another node must receive the entry again, or it sends no requests to the backend server.
  void Apply_CreatedAgainWithTheSameValue_IsPropagated() {
    item_replica replica;
    replica.Apply({.complete_to = 9, .whole = true, .items = {Entry("k", "a", 9, 3)}});
    replica.Apply({.complete_to = 12, .items = {Entry("k", "a", 12, 11)}, .every_change = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.UpdateSince(10).items.size());
  }

  // Two readers receive every change of the platform, late and at different times. The other nodes
  // receive updates from the readers and from each other in any order. Entries are renewed, removed
  // and created again with the same value.
  void UpdateSince_EntriesRenewedAndCreatedAgain_ReplicasAreEqual() {
    CheckProperty("replicas of renewed entries are equal", [](std::uint64_t seed) {
      random_source random(seed);
      std::map<std::string, published_item> store;
      std::vector<published_item> history;
      std::vector<item_replica> nodes(5);
      constexpr std::size_t kReaders = 2;
      for (item_replica& node : nodes) {
        node.Apply({.complete_to = 1, .whole = true, .items = {}});
      }
      const auto read = [&](item_replica& node) {
        item_update update{.complete_to = history.size() + 1, .items = {}, .every_change = true};
        for (const published_item& change : history) {
          if (change.revision > node.complete_to()) {
            update.items.push_back(change);
          }
        }
        node.Apply(update);
      };
      for (int step = 0; step < 300; ++step) {
        const std::string key = "k" + std::to_string(random.Below(4));
        const std::uint64_t revision = history.size() + 2;
        const auto existing = store.find(key);
        if (existing != store.end() && random.Below(4) == 0) {
          store.erase(existing);
          history.push_back(Removal(key, revision));
        } else {
          const std::uint64_t created =
              existing == store.end() ? revision : existing->second.created;
          store[key] = Entry(key, std::to_string(random.Below(2)), revision, created);
          history.push_back(store[key]);
        }
        const std::size_t index = random.Below(nodes.size());
        if (index < kReaders) {
          read(nodes[index]);
        } else {
          nodes[index].Apply(
              nodes[random.Below(nodes.size())].UpdateSince(nodes[index].complete_to()));
        }
      }
      read(nodes.front());
      for (item_replica& node : nodes) {
        node.Apply(nodes.front().UpdateSince(node.complete_to()));
        std::map<std::string, std::string> actual;
        for (const published_item* item : node.FindAll("")) {
          actual[item->key] = item->value;
        }
        std::map<std::string, std::string> expected;
        for (const auto& [name, item] : store) {
          expected[name] = item.value;
        }
        RC_ASSERT(actual == expected);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(item_replica_test);

}  // namespace cuminferry::testing
