#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "cuminferry_relay/path/item_messages.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_queries.h"
#include "cuminferry_relay/path/unlisted_messages.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Propagation of the published items to nodes that don't watch the platform.
class relay_items_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_items_test);
  CPPUNIT_TEST(Watch_SixNodesOfADomain_TwoNodesWatch);
  CPPUNIT_TEST(Watch_SeveralDomains_TwoNodesWatch);
  CPPUNIT_TEST(Table_EntriesOfOthersChange_IsNotReadAgain);
  CPPUNIT_TEST(Watch_WatchingNodesGone_OthersWatch);
  CPPUNIT_TEST(Removed_PlatformLostTheRemoval_GetsNoRequests);
  CPPUNIT_TEST(Watch_PlatformDown_FewNodesWatch);
  CPPUNIT_TEST(Watch_DomainsWithoutReaders_TheirFirstNodesWatch);
  CPPUNIT_TEST(Watch_ReadersGetNoUpdates_OthersWatchMeanwhile);
  CPPUNIT_TEST(Watch_WatchingNodesGetNoUpdates_UpdateComesFromAnyNode);
  CPPUNIT_TEST(Update_OfAStaleNode_IsQueriedAFewTimesAPeriod);
  CPPUNIT_TEST(Removed_WhileANodeBeginsToRead_IsDroppedAtOnce);
  CPPUNIT_TEST(FirstReplica_SeedsHaveOne_PlatformIsNotQueried);
  CPPUNIT_TEST(FirstReplica_NoSeedReplies_PlatformIsQueried);
  CPPUNIT_TEST(FirstReplica_OfSeveralPages_ComesFromTheSeeds);
  CPPUNIT_TEST(FirstReplica_ArrivesSlowly_IsTaken);
  CPPUNIT_TEST(Seed_NodeHasAPlaceInTheTree_ItsConnectionIsClosed);
  CPPUNIT_TEST(Message_AllInstancesOfTheLargestFleetUnlisted_IsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that starts while the platform has lost the whole fleet, and can't read
  // which instances the others retain.
  void Message_AllInstancesOfTheLargestFleetUnlisted_IsRead() {
    constexpr std::size_t kInstances = 7'000;
    const std::vector<unlisted_entry> entries(
        kInstances, {.id = "i-7f3a91c2", .service = "maps", .backend = "10.128.0.9:8080"});
    const std::string message = EncodeMessage(entries);
    CPPUNIT_ASSERT(message.size() < peer_queries::kMaxReplyBytes);
    const auto read = DecodeMessage<std::vector<unlisted_entry>>(message);
    CPPUNIT_ASSERT(read && read->size() == kInstances);
  }

  // The platform counts each call. If every node watched it, each change would cause as many calls
  // as there are nodes.
  void Watch_SixNodesOfADomain_TwoNodesWatch() {
    relay_fleet fleet(6, 1);
    for (const int reader : Settle(fleet, 6)) {
      fleet.PublishTo(reader, 5);
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return AllHaveRevision(fleet, 6, 5); }, seconds(1)));
  }

  // The call rate that the platform serves does not grow with the number of failure domains.
  void Watch_SeveralDomains_TwoNodesWatch() {
    relay_fleet fleet(12, 4);
    for (const int reader : Settle(fleet, 12)) {
      fleet.PublishTo(reader, 5);
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return AllHaveRevision(fleet, 12, 5); }, seconds(1)));
    fleet.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, fleet.CountPlatformWatchers());
  }

  // Guards against a node that reads a table of some megabytes whenever another writer's entry
  // changes, and logs each time that it can't.
  void Table_EntriesOfOthersChange_IsNotReadAgain() {
    relay_fleet fleet(1);
    fleet.PublishTo(0, 2);
    CPPUNIT_ASSERT_EQUAL(1, fleet.table_reads());
    for (std::uint64_t revision = 3; revision < 100; ++revision) {
      fleet.node(0).OnItemUpdate(
          {.complete_to = revision,
           .whole = false,
           .items = {{.key = "other/x", .value = std::to_string(revision), .revision = revision}}});
    }
    CPPUNIT_ASSERT_EQUAL(1, fleet.table_reads());
    fleet.PublishTo(0, 100);
    CPPUNIT_ASSERT_EQUAL(2, fleet.table_reads());
  }

  // Both watching nodes are lost concurrently. The other nodes must still get later tables.
  void Watch_WatchingNodesGone_OthersWatch() {
    relay_fleet fleet(6, 1);
    const std::vector<int> gone = Settle(fleet, 6);
    for (const int reader : gone) {
      fleet.StopNode(reader);
    }
    // The stopped nodes are still counted. One further watching node is enough, as the others
    // query it.
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() >= 3; }, seconds(3)));
    std::vector<int> left;
    for (int node = 0; node < 6; ++node) {
      if (std::ranges::find(gone, node) == gone.end()) {
        left.push_back(node);
      }
    }
    fleet.PublishTo(
        *std::ranges::find_if(left, [&](int node) { return fleet.IsWatchingPlatform(node); }), 5);
    CPPUNIT_ASSERT(fleet.RunUntil(
        [&] {
          return std::ranges::all_of(
              left, [&](int node) { return fleet.node(node).items_revision() == 5; });
        },
        seconds(1)));
  }

  // Guards against requests to a removed backend server. The readers may change with each instance
  // that is replaced. A node that begins to read must not treat the platform as one that has just
  // recovered, as it would retain removed instances for two seconds.
  void Removed_WhileANodeBeginsToRead_IsDroppedAtOnce() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(4);
    // The period after the platform's recovery at the start is over.
    fleet.RunFor(milliseconds(2'600));
    fleet.node(0).SetPlatformReachable(false);
    fleet.node(0).SetPlatformReachable(true);
    fleet.node(0).OnItemUpdate({.complete_to = 6,
                                .items = {{.key = "instance/i-1", .revision = 6, .removed = true}},
                                .age_micros = 0});
    const std::uint64_t before = fleet.target(1).request_ids.size();
    for (int i = 0; i < 12; ++i) {
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    }
    CPPUNIT_ASSERT_EQUAL(before, static_cast<std::uint64_t>(fleet.target(1).request_ids.size()));
  }

  // Guards against requests to a removed instance after the platform has lost the removal.
  void Removed_PlatformLostTheRemoval_GetsNoRequests() {
    relay_fleet fleet(2, 1);
    fleet.PublishToAll(4);
    fleet.RunFor(milliseconds(2'600));
    fleet.node(0).OnItemUpdate({.complete_to = 6,
                                .items = {{.key = "instance/i-1", .revision = 6, .removed = true}},
                                .age_micros = 0});
    fleet.PublishTo(0, item_revision::Make(1, 4));
    const std::uint64_t before = fleet.target(1).request_ids.size();
    for (int i = 0; i < 12; ++i) {
      const auto result = fleet.Send(0, relay_fleet::Get("/safe/x", std::to_string(i)));
      CPPUNIT_ASSERT(fleet.RunUntil([&] { return result->status() != 0; }));
    }
    CPPUNIT_ASSERT_EQUAL(before, static_cast<std::uint64_t>(fleet.target(1).request_ids.size()));
  }

  // The platform is down for all nodes. Each node that calls it then adds to its load when it
  // recovers, which with thousands of nodes would exceed what it serves.
  void Watch_PlatformDown_FewNodesWatch() {
    relay_fleet fleet(16, 2);
    Settle(fleet, 16);
    for (int node = 0; node < 16; ++node) {
      fleet.CutFromPlatform(node);
    }
    fleet.RunFor(seconds(4));
    CPPUNIT_ASSERT(fleet.CountPlatformWatchers() <= 8);
  }

  // Both readers of the fleet are lost, or the other failure domains are cut off from them. An
  // instance that is drained meanwhile must get no requests two seconds later, in any domain.
  void Watch_DomainsWithoutReaders_TheirFirstNodesWatch() {
    relay_fleet fleet(12, 2);
    for (const int reader : Settle(fleet, 12)) {
      fleet.StopNode(reader);
    }
    // The stopped nodes are still counted, and one node of each first pair is left.
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() == 4; }, seconds(1)));
    fleet.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(4, fleet.CountPlatformWatchers());
  }

  // The platform refuses the readers and serves the other nodes, which notice it only by the age of
  // the replies. Requests would otherwise follow the old table for as long as this lasts.
  void Watch_ReadersGetNoUpdates_OthersWatchMeanwhile() {
    relay_fleet fleet(8, 4);
    const std::vector<int> readers = Settle(fleet, 8);
    for (const int reader : readers) {
      fleet.CutFromPlatform(reader);
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() > 2; }, seconds(2)));
    for (const int reader : readers) {
      fleet.ReconnectPlatform(reader);
    }
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() == 2; }, seconds(2)));
  }

  // The platform is silent, and the answers of one node show that it has a later revision. Its
  // replica is as stale as those of the nodes that query it. If these repeated a query at once
  // because their replicas stay stale, both sides would spend their processor time on queries.
  void Update_OfAStaleNode_IsQueriedAFewTimesAPeriod() {
    relay_fleet fleet(6, 1);
    const std::vector<int> readers = Settle(fleet, 6);
    for (int node = 0; node < 6; ++node) {
      fleet.CutFromPlatform(node);
    }
    fleet.RunFor(milliseconds(2'500));
    const int updated = readers.front() == 0 ? 1 : 0;
    const double before = QueriesAnswered(fleet, updated);
    fleet.node(updated).OnItemUpdate(
        {.complete_to = 5, .items = {{.key = "table", .value = "5", .revision = 5}}});
    for (int sent = 0; sent < 60; ++sent) {
      fleet.Send(sent % 6, relay_fleet::Get("/safe/x", std::to_string(sent)));
    }
    fleet.RunFor(milliseconds(500));
    CPPUNIT_ASSERT(AllHaveRevision(fleet, 6, 5));
    // Five other nodes send at most eight queries per period, in three periods.
    CPPUNIT_ASSERT(QueriesAnswered(fleet, updated) - before <= 5 * 8 * 3);
  }

  // All nodes of a fleet restart, or some hundred of them. If each read all items from the
  // platform, each would request five pages of a store that counts each call.
  void FirstReplica_SeedsHaveOne_PlatformIsNotQueried() {
    relay_fleet fleet(6, 1);
    const auto with_seed = [&](int node) {
      relay_settings settings = fleet.SettingsOf(node);
      settings.seeds = {fleet.SettingsOf(0).seed};
      return settings;
    };
    for (int node = 0; node < 6; ++node) {
      CPPUNIT_ASSERT(fleet.node(node).ApplySettings(with_seed(node)));
    }
    fleet.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, fleet.CountPlatformWatchers());
    fleet.PublishTo(0, 5);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return AllHaveRevision(fleet, 6, 5); }, milliseconds(500)));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() == 2; }, seconds(2)));
  }

  // Guards against a fleet whose copy needs several messages: each node that starts would read the
  // platform.
  void FirstReplica_OfSeveralPages_ComesFromTheSeeds() {
    constexpr int kNodes = 4;
    constexpr std::uint64_t kItems = 2'500;
    relay_fleet fleet(kNodes, 1);
    for (int node = 0; node < kNodes; ++node) {
      item_update many{.complete_to = kItems + 10, .items = {}, .age_micros = 0};
      for (std::uint64_t number = 0; number < kItems; ++number) {
        many.items.push_back({.key = "other/" + std::to_string(number),
                              .value = std::string(250, 'x'),
                              .revision = number + 10});
      }
      fleet.PublishTo(node, 5);
      fleet.node(node).OnItemUpdate(many);
    }
    fleet.RunFor(seconds(1));
    fleet.StopNode(3);
    fleet.StartNode(3);
    relay_settings settings = fleet.SettingsOf(3);
    settings.seeds = {fleet.SettingsOf(0).seed, fleet.SettingsOf(1).seed};
    CPPUNIT_ASSERT(fleet.node(3).ApplySettings(settings));
    const bool reached =
        fleet.RunUntil([&] { return fleet.node(3).items_revision() >= kItems + 10; }, seconds(2));
    CPPUNIT_ASSERT(reached);
  }

  // Guards against a node behind a slow link that cancels each page before it is complete and never
  // gets a replica.
  void FirstReplica_ArrivesSlowly_IsTaken() {
    constexpr std::size_t kPieces = 10;
    relay_fleet fleet(1);
    relay_settings settings = fleet.SettingsOf(0);
    const endpoint address{.address = settings.seed.address, .port = 17'630};
    item_reply reply;
    reply.update = {.complete_to = 7, .whole = true, .items = {}, .age_micros = 0};
    reply.update.items.push_back({.key = "table", .value = "1", .revision = 7});
    const std::string body = EncodeMessage(reply);
    loop_timer piece_timer(fleet.loop());
    std::size_t sent = 0;
    scripted_target seed(fleet.loop(), address);
    seed.on_request = [&](scripted_target::scripted_request& query) {
      query.connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n");
      sent = 0;
      piece_timer.StartPeriodic(milliseconds(100), [&, connection = &query.connection] {
        const std::size_t end = body.size() * (sent + 1) / kPieces;
        connection->Write(std::string_view(body).substr(body.size() * sent / kPieces,
                                                        end - body.size() * sent / kPieces));
        if (++sent == kPieces) {
          piece_timer.Stop();
        }
      });
    };
    settings.seeds = {address};
    CPPUNIT_ASSERT(fleet.node(0).ApplySettings(settings));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.node(0).items_revision() == 7; }, seconds(5)));
  }

  // Guards against a seed that keeps a connection to each node of the fleet and runs out of files.
  void Seed_NodeHasAPlaceInTheTree_ItsConnectionIsClosed() {
    relay_fleet fleet(3, 1);
    relay_settings settings = fleet.SettingsOf(0);
    const endpoint address{.address = settings.seed.address, .port = 17'630};
    scripted_target seed(fleet.loop(), address);
    seed.on_request = [](scripted_target::scripted_request& query) {
      query.connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    settings.seeds = {address};
    CPPUNIT_ASSERT(fleet.node(0).ApplySettings(settings));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return !seed.request_ids.empty(); }));
    fleet.PublishToAll(1);
    fleet.RunFor(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(0, seed.open_connections);
  }

  // A node whose seeds are gone must read the platform itself.
  void FirstReplica_NoSeedReplies_PlatformIsQueried() {
    relay_fleet fleet(1);
    relay_settings settings = fleet.SettingsOf(0);
    settings.seeds = {{.address = settings.seed.address, .port = 1}};
    CPPUNIT_ASSERT(fleet.node(0).ApplySettings(settings));
    fleet.RunFor(milliseconds(100));
    CPPUNIT_ASSERT(!fleet.IsWatchingPlatform(0));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.IsWatchingPlatform(0); }, seconds(1)));
  }

  // The platform stops answering the watching nodes, which haven't detected it yet. The other nodes
  // get no updates from them, and requests of an added row would be answered with 404 for seconds.
  void Watch_WatchingNodesGetNoUpdates_UpdateComesFromAnyNode() {
    relay_fleet fleet(6, 1);
    Settle(fleet, 6);
    std::vector<int> querying;
    for (int node = 0; node < 6; ++node) {
      if (!fleet.IsWatchingPlatform(node)) {
        querying.push_back(node);
      }
    }
    for (int node = 0; node < 6; ++node) {
      fleet.CutFromPlatform(node);
    }
    fleet.PublishTo(querying.front(), 5);
    // Calls go to all targets, so each querying node gets an answer of the node with the update.
    loop_timer traffic(fleet.loop());
    int sent = 0;
    traffic.StartPeriodic(milliseconds(10), [&] {
      const int from = querying[static_cast<std::size_t>(sent) % querying.size()];
      fleet.Send(from, relay_fleet::Get("/safe/x", std::to_string(++sent)));
    });
    CPPUNIT_ASSERT(fleet.RunUntil(
        [&] {
          return std::ranges::all_of(
              querying, [&](int node) { return fleet.node(node).items_revision() == 5; });
        },
        milliseconds(1'800)));
  }

 private:
  /** Publishes a table, waits until two nodes watch the platform, and returns these. */
  static std::vector<int> Settle(relay_fleet& fleet, int nodes) {
    fleet.PublishToAll(1);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.CountPlatformWatchers() == 2; }, seconds(3)));
    std::vector<int> readers;
    for (int node = 0; node < nodes; ++node) {
      if (fleet.IsWatchingPlatform(node)) {
        readers.push_back(node);
      }
    }
    return readers;
  }

  /** Number of queries for items that a node has answered. */
  static double QueriesAnswered(relay_fleet& fleet, int node) {
    const auto page =
        fleet.SendTo(fleet.SettingsOf(node).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    const std::string mark = "\ncuminferry_items_questions ";
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return page->Contains(mark); }));
    return std::stod(page->bytes.substr(page->bytes.find(mark) + mark.size()));
  }

  static bool AllHaveRevision(relay_fleet& fleet, int nodes, std::uint64_t revision) {
    for (int node = 0; node < nodes; ++node) {
      if (fleet.node(node).items_revision() != revision) {
        return false;
      }
    }
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_items_test);

}  // namespace cuminferry::testing
