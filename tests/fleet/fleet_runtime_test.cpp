#include "cuminferry_node/fleet/fleet_runtime.h"

#include <absl/synchronization/notification.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "stand_ins/platform/platform_stand_in.h"

namespace cuminferry::testing {
namespace {

using stand_ins::platform_stand_in;

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr char kService[] = "permit";

endpoint FreePort() {
  udp_socket probe([](endpoint, message_type, std::span<const char>) {});
  endpoint at{kLoopback, 0};
  CPPUNIT_ASSERT(probe.Open(at).ok());
  return at;
}

// Delivers frames between runtimes directly; real nodes send them over TCP.
class frame_router {
 public:
  void Add(endpoint at, fleet_runtime* runtime) { runtimes_[at] = runtime; }

  bool Send(endpoint from, endpoint to, const std::string& frame) {
    const auto found = runtimes_.find(to);
    if (found == runtimes_.end()) {
      return false;
    }
    frame_reader reader;
    return reader
        .Feed({frame.data(), frame.size()},
              [&](message_type type, std::span<const char> payload) {
                found->second->OnPeerMessage(from, type, payload);
              })
        .ok();
  }

 private:
  std::map<endpoint, fleet_runtime*> runtimes_;
};

// The fleet runtime of one node, with notifications for its callbacks.
class runtime_under_test {
 public:
  runtime_under_test(const std::string& instance, endpoint at, std::vector<endpoint> platform,
                     std::vector<endpoint> seeds, frame_router& board)
      : runtime_(
            Settings(instance, at, std::move(platform), std::move(seeds)), at.port, events_,
            {.on_shard = [this](const table_shard& shard) { OnShard(shard); },
             .on_targets = [](std::string_view, std::span<const target_info>) {},
             .send = [at, &board](endpoint to,
                                  const std::string& frame) { return board.Send(at, to, frame); },
             .on_self_draining =
                 [this] {
                   if (!drain_requested.HasBeenNotified()) {
                     drain_requested.Notify();
                   }
                 },
             .on_pause = {}}) {
    board.Add(at, &runtime_);
  }

  fleet_runtime& runtime() { return runtime_; }

  absl::Notification has_first;
  absl::Notification has_second;
  absl::Notification drain_requested;

 private:
  static node_settings Settings(const std::string& instance, endpoint at,
                                std::vector<endpoint> platform, std::vector<endpoint> seeds) {
    node_settings settings;
    settings.instance = instance;
    settings.service = kService;
    settings.failure_domain = "halle-nord";
    settings.region = "schwaben-nord";
    settings.peer = at;
    settings.platform = std::move(platform);
    settings.seeds = std::move(seeds);
    return settings;
  }

  void OnShard(const table_shard& shard) {
    CPPUNIT_ASSERT(shard.version == 1 || shard.version == 2);
    absl::Notification& arrived = shard.version == 1 ? has_first : has_second;
    if (!arrived.HasBeenNotified()) {
      arrived.Notify();
    }
  }

  event_log events_;
  fleet_runtime runtime_;
};

void PublishTable(platform_stand_in& platform, std::uint64_t version) {
  table_shard shard;
  shard.version = version;
  shard.service = {.name = kService, .domains = {{"halle-nord", 2}}, .slots = 4, .connections = 4};
  request_row row;
  row.name = "file";
  row.service = kService;
  row.method = "POST";
  row.path_pattern = "/permits";
  shard.rows.push_back(row);
  published_index index;
  index.version = version;
  index.fleet_size = 2;
  index.shards.push_back({kService, version, ShardDigest(shard)});
  platform.Publish(std::string(kShardKeyPrefix) + kService, ShardToJson(shard));
  platform.Publish(kIndexKey, index.ToJson());
}

void PublishList(platform_stand_in& platform, std::uint64_t version,
                 const std::vector<endpoint>& peers, bool second_leaves) {
  published_instances list;
  list.service = kService;
  list.version = version;
  for (std::size_t number = 0; number < peers.size(); ++number) {
    list.instances.push_back({.instance = "permit-" + std::to_string(number),
                              .failure_domain = "halle-nord",
                              .region = "schwaben-nord",
                              .peer = peers[number],
                              .target_slot = 0,
                              .draining = second_leaves && number == 1});
  }
  platform.Publish(std::string(kInstancesKeyPrefix) + kService, list.ToJson());
}

}  // namespace

class fleet_runtime_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_runtime_test);
  CPPUNIT_TEST(Node_CutOffFromThePlatform_HasTablesAndListsFromItsPeer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A node starts in a failure domain that reaches other nodes, but not the platform. The node
  // must get the table, the next edit and the request to drain from its peer.
  void Node_CutOffFromThePlatform_HasTablesAndListsFromItsPeer() {
    platform_stand_in platform({.listen = {kLoopback, 0}});
    CPPUNIT_ASSERT(platform.Start().ok());
    const std::vector<endpoint> peers = {FreePort(), FreePort()};
    PublishTable(platform, 1);
    PublishList(platform, 1, peers, false);
    frame_router board;
    runtime_under_test near("permit-0", peers[0], {platform.address()}, {}, board);
    runtime_under_test cut_off("permit-1", peers[1], {}, {peers[0]}, board);
    CPPUNIT_ASSERT(near.runtime().Start().ok());
    CPPUNIT_ASSERT(cut_off.runtime().Start().ok());
    near.has_first.WaitForNotification();
    cut_off.has_first.WaitForNotification();
    PublishTable(platform, 2);
    near.has_second.WaitForNotification();
    cut_off.has_second.WaitForNotification();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cut_off.runtime().table_version());
    PublishList(platform, 2, peers, true);
    cut_off.drain_requested.WaitForNotification();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_runtime_test);

}  // namespace cuminferry::testing
