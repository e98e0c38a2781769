#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "fleet/fake_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Returns a size from the environment, for the figures in docs/CAPACITY.md.
std::size_t SizeFrom(const char* variable, std::size_t default_size) {
  const char* const wanted = std::getenv(variable);
  return wanted == nullptr ? default_size : std::strtoul(wanted, nullptr, 10);
}

// Outcome of a random schedule of edits, faults and old platform values, after all faults ended.
struct schedule_outcome {
  std::size_t reverts = 0;
  bool converged = false;
};

void ApplyRandomStep(fake_fleet& fleet, std::size_t nodes, std::size_t domains,
                     std::size_t services, random_source& random) {
  const std::size_t node = random.Below(nodes);
  switch (random.Below(7)) {
    case 0:
    case 1:
      fleet.Edit(random.Below(services));
      break;
    case 2:
      fleet.Pause(node, seconds(random.Below(20)));
      break;
    case 3:
      fleet.Restart(node);
      break;
    case 4:
      fleet.MoveDomain(random.Below(domains), static_cast<int>(random.Below(2)));
      break;
    case 5:
      fleet.CutFromPlatform(random.Below(domains), random.Below(2) == 0);
      break;
    default:
      fleet.active_faults.platform_down = random.Below(3) == 0;
      break;
  }
}

schedule_outcome RunSchedule(std::uint64_t seed, node_defect defect) {
  constexpr std::size_t kDomains = 3;
  constexpr std::size_t kServices = 3;
  constexpr std::size_t kNodes = 18;
  random_source random(seed);
  fake_fleet fleet({.nodes = kNodes,
                    .domains = kDomains,
                    .regions = 2,
                    .services = kServices,
                    .seed = seed,
                    .defect = defect});
  fleet.active_faults = {.loss = random.Fraction() * 0.4,
                         .duplication = random.Fraction() * 0.3,
                         .longest_delay = milliseconds(1 + random.Below(800)),
                         .stale_read_share = random.Fraction() * 0.7};
  for (int round = 0; round < 20; ++round) {
    ApplyRandomStep(fleet, kNodes, kDomains, kServices, random);
    fleet.Run(milliseconds(random.Below(4'000)));
  }
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    fleet.MoveDomain(domain, 0);
    fleet.CutFromPlatform(domain, false);
  }
  fleet.active_faults = {};
  // A node may still be paused, and a platform reader may still be in its back-off.
  fleet.Run(seconds(20));
  const bool converged = fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30)).has_value();
  return {fleet.reverts(), converged};
}

}  // namespace

class table_spread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_spread_test);
  CPPUNIT_TEST(Tables_AnySchedule_NeverRevertAndConverge);
  CPPUNIT_TEST(Schedules_NodeAcceptsAnyVersion_RevertIsDetected);
  CPPUNIT_TEST(Schedules_NodeIgnoresPeers_MissingConvergenceIsDetected);
  CPPUNIT_TEST(Edit_HundredsOfNodes_InForceWithinThreeSeconds);
  CPPUNIT_TEST(Reads_FleetGrows_StayFlat);
  CPPUNIT_TEST(List_NamesLeaving_AllCallersKnowWithinThreeSeconds);
  CPPUNIT_TEST(Platform_DownForHours_TablesStayAndReturnWithoutStorm);
  CPPUNIT_TEST(Restart_PlatformStale_TakesThePeersTable);
  CPPUNIT_TEST(Conflict_SameVersionOtherContent_FirstStaysAndAlarms);
  CPPUNIT_TEST(Edit_Invalid_LastGoodStaysAndNextComes);
  CPPUNIT_TEST(Calls_ToServicesThatDoNotExist_CostNoReads);
  CPPUNIT_TEST(Domain_RestartedAtOnce_HasTablesWithoutStorm);
  CPPUNIT_TEST(Node_PausedOverManyEdits_CatchesUpAtOnce);
  CPPUNIT_TEST(Partition_OfAnHour_HealsWithoutStorm);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Datagrams are lost, duplicated and delayed, processes pause and restart, domains are
  // partitioned, and the platform returns old values. No edit may be reverted, and every edit
  // must be in force on all nodes soon after the faults end.
  void Tables_AnySchedule_NeverRevertAndConverge() {
    CheckProperty("never reverts, always converges", [](std::uint64_t seed) {
      const schedule_outcome outcome = RunSchedule(seed, node_defect::kNone);
      RC_ASSERT(outcome.reverts == 0U);
      RC_ASSERT(outcome.converged);
    });
  }

  void Schedules_NodeAcceptsAnyVersion_RevertIsDetected() {
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      found += RunSchedule(seed, node_defect::kAcceptsAnyVersion).reverts > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(found >= 5);
  }

  void Schedules_NodeIgnoresPeers_MissingConvergenceIsDetected() {
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      found += RunSchedule(seed, node_defect::kIgnoresPeers).converged ? 0 : 1;
    }
    CPPUNIT_ASSERT(found >= 5);
  }

  // CUMINFERRY_SPREAD_NODES sets the number of nodes. The test prints times and traffic.
  void Edit_HundredsOfNodes_InForceWithinThreeSeconds() {
    const std::size_t nodes = SizeFrom("CUMINFERRY_SPREAD_NODES", 480);
    const std::size_t services = std::max<std::size_t>(nodes / 20, 1);
    fake_fleet fleet({.nodes = nodes, .domains = 12, .regions = 5, .services = services});
    fleet.active_faults.loss = 0.02;
    fleet.active_faults.longest_delay = milliseconds(80);
    const auto from_nothing = fleet.RunUntil([&] { return fleet.Converged(); }, seconds(60));
    CPPUNIT_ASSERT(from_nothing.has_value());
    fleet.Run(seconds(20));
    const std::uint64_t bytes_before = fleet.peer_bytes();
    const std::uint64_t reads_before = fleet.platform_reads();
    const instant begun = fleet.now();
    std::vector<duration> took;
    for (int edit = 0; edit < 10; ++edit) {
      fleet.Edit(static_cast<std::size_t>(edit * 7) % services);
      const auto spread = fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
      CPPUNIT_ASSERT(spread.has_value());
      took.push_back(*spread);
      fleet.Run(seconds(5));
    }
    std::sort(took.begin(), took.end());
    const double passed = ToSeconds(fleet.now() - begun);
    std::cout << "\nnodes " << nodes << ": all started at once have their tables after "
              << ToSeconds(*from_nothing) << " s; edit in force median " << took[5].count() / 1000
              << " ms, longest " << took.back().count() / 1000 << " ms; bytes per node and second "
              << static_cast<double>(fleet.peer_bytes() - bytes_before) / passed /
                     static_cast<double>(nodes)
              << "; platform reads per second "
              << static_cast<double>(fleet.platform_reads() - reads_before) / passed << "\n";
    CPPUNIT_ASSERT(took.back() <= seconds(3));
  }

  // The platform's capacity does not grow with the fleet. If its reads did, no node of a
  // fleet that doubles would get a table.
  void Reads_FleetGrows_StayFlat() {
    const auto reads_per_second = [](std::size_t nodes) {
      fake_fleet fleet({.nodes = nodes, .domains = 4, .regions = 1, .services = 4});
      fleet.Run(seconds(60));
      const std::uint64_t before = fleet.platform_reads();
      fleet.Run(seconds(60));
      return static_cast<double>(fleet.platform_reads() - before) / 60.0;
    };
    const double small = reads_per_second(16);
    const double large = reads_per_second(256);
    CPPUNIT_ASSERT(large <= small * 1.5);
    CPPUNIT_ASSERT(large <= 100.0);
  }

  // The platform lists an instance as draining and will stop it. Requests of callers that
  // still send to it would be aborted.
  void List_NamesLeaving_AllCallersKnowWithinThreeSeconds() {
    constexpr std::size_t kNodes = 480;
    fake_fleet fleet({.nodes = kNodes, .domains = 12, .regions = 5, .services = 24});
    fleet.active_faults.loss = 0.02;
    fleet.active_faults.longest_delay = milliseconds(80);
    fleet.Run(seconds(40));
    const std::size_t draining = 25;  // Of service 2, which service 1 calls.
    fleet.PublishInstances(2, {draining});
    const auto knows = [&](std::size_t node) {
      const std::vector<member> members = fleet.agent(node).members(fleet.Service(2));
      return std::all_of(members.begin(), members.end(), [&](const member& one) {
        return one.draining == (one.info.peer == fleet.AddressOf(draining));
      });
    };
    const auto all_know = [&] {
      for (std::size_t node = 0; node < kNodes; ++node) {
        if (!knows(node)) {
          return false;
        }
      }
      return true;
    };
    CPPUNIT_ASSERT(fleet.RunUntil(all_know, seconds(3)).has_value());
  }

  // The configuration service is down for hours. Nodes must retain their tables, detect the
  // recovery within seconds and not overload the service then.
  void Platform_DownForHours_TablesStayAndReturnWithoutStorm() {
    fake_fleet fleet({.nodes = 48, .domains = 4, .regions = 1, .services = 4});
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT(fleet.Converged());
    fleet.active_faults.platform_down = true;
    fleet.Run(hours(3));
    CPPUNIT_ASSERT(fleet.Converged());
    fleet.Edit(1);
    fleet.active_faults.platform_down = false;
    const std::uint64_t before = fleet.platform_reads();
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(10)).has_value());
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.platform_reads() - before <= 20 * 100);
  }

  // A node restarts while the platform returns values from before the last edit. Its peers
  // have the newer table. If the node started with the old one, the edit would be reverted
  // on one of twelve instances without a visible cause.
  void Restart_PlatformStale_TakesThePeersTable() {
    fake_fleet fleet({.nodes = 12, .domains = 2, .regions = 1, .services = 2});
    fleet.Run(seconds(10));
    fleet.Edit(0);
    fleet.Edit(1);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(10)).has_value());
    fleet.active_faults.stale_read_share = 1.0;
    for (std::size_t node = 0; node < 12; ++node) {
      const std::size_t before = fleet.history(node).size();
      fleet.Restart(node);
      fleet.Run(seconds(6));
      CPPUNIT_ASSERT(fleet.history(node).size() > before);
      CPPUNIT_ASSERT_EQUAL(fleet.published(fleet.ServiceOfNode(node)), fleet.history(node)[before]);
    }
  }

  // Two operators publish different tables under one version. The first one received must
  // stay in force, and the timeline must report the conflict.
  void Conflict_SameVersionOtherContent_FirstStaysAndAlarms() {
    fake_fleet fleet({.nodes = 8, .domains = 2, .regions = 1, .services = 2});
    fleet.Run(seconds(10));
    const std::size_t before = fleet.history(0).size();
    fleet.EditWithConflict(0);
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(before, fleet.history(0).size());
    const auto& events = fleet.events(0);
    const auto alarms = std::count_if(events.begin(), events.end(), [](const auto& event) {
      return event.code == result_code::kTableVersionConflict;
    });
    CPPUNIT_ASSERT(alarms >= 1 && alarms <= 3);
    fleet.Edit(0);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(10)).has_value());
  }

  // An invalid edit is published. Every node must keep the last valid table in force, count
  // the rejection and put the next valid table in force.
  void Edit_Invalid_LastGoodStaysAndNextComes() {
    fake_fleet fleet({.nodes = 8, .domains = 2, .regions = 1, .services = 2});
    fleet.Run(seconds(10));
    const std::uint64_t good = fleet.published(0);
    fleet.EditInvalid(0);
    fleet.Run(seconds(10));
    for (std::size_t node = 0; node < 8; ++node) {
      CPPUNIT_ASSERT(fleet.agent(node).shard_version(fleet.Service(0)) == good);
      CPPUNIT_ASSERT(fleet.agent(node).status(fleet.now()).rejected >= 1);
    }
    const std::uint64_t reads = fleet.platform_reads();
    fleet.Run(seconds(30));
    CPPUNIT_ASSERT(fleet.platform_reads() - reads <= 30 * 80);
    fleet.Edit(0);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(10)).has_value());
  }

  // A backend server calls services that do not exist. Their names must not cause endless
  // queries to peers and to the platform.
  void Calls_ToServicesThatDoNotExist_CostNoReads() {
    fake_fleet fleet({.nodes = 16, .domains = 4, .regions = 1, .services = 2});
    fleet.Run(seconds(30));
    std::size_t followed = 0;
    for (int number = 0; number < 1'000; ++number) {
      followed += fleet.agent(3).Follow("made-up-" + std::to_string(number), fleet.now()) ? 1 : 0;
    }
    CPPUNIT_ASSERT(followed < fleet_agent::kMaxFollowedServices);
    const std::uint64_t before = fleet.platform_reads();
    fleet.Run(seconds(60));
    CPPUNIT_ASSERT(fleet.platform_reads() - before <= 60 * 60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.agent(3).status(fleet.now()).wanted_contents);
  }

  // After a power failure all nodes of a failure domain start together. They must not exceed
  // the platform's read rate, and must have their tables within seconds.
  // CUMINFERRY_STORM_NODES sets the number of nodes, CUMINFERRY_STORM_DOMAINS the number of
  // domains that restart.
  void Domain_RestartedAtOnce_HasTablesWithoutStorm() {
    const std::size_t nodes = SizeFrom("CUMINFERRY_STORM_NODES", 400);
    const std::size_t domains = nodes > 400 ? 12 : 4;
    const std::size_t restarted = SizeFrom("CUMINFERRY_STORM_DOMAINS", 1);
    fake_fleet fleet({.nodes = nodes, .domains = domains, .regions = 2, .services = nodes / 20});
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(60)).has_value());
    fleet.Run(seconds(20));
    fleet.active_faults.platform_reads_per_second = nodes > 400 ? 2'000.0 : 500.0;
    const std::uint64_t before = fleet.platform_reads();
    const std::uint64_t refused = fleet.platform_refused();
    const std::uint64_t bytes = fleet.peer_bytes();
    std::size_t starting = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
      if (node % domains < restarted) {
        fleet.Restart(node);
        ++starting;
      }
    }
    const auto took = fleet.RunUntil([&] { return fleet.Converged(); }, seconds(10));
    CPPUNIT_ASSERT(took.has_value());
    std::cout << "\n"
              << starting << " of " << nodes << " nodes restarted at once: all tables after "
              << ToSeconds(*took) << " s, " << fleet.platform_reads() - before
              << " platform reads, " << fleet.platform_refused() - refused << " refused, "
              << (fleet.peer_bytes() - bytes) / nodes << " bytes between nodes for each\n";
    CPPUNIT_ASSERT(fleet.platform_reads() - before <= starting * 10);
    CPPUNIT_ASSERT_EQUAL(refused, fleet.platform_refused());
  }

  // A process does not run for ten minutes while operators edit tables. Afterwards it must
  // report the pause, not report its peers as down, and have the newest tables within two
  // seconds.
  void Node_PausedOverManyEdits_CatchesUpAtOnce() {
    fake_fleet fleet({.nodes = 24, .domains = 4, .regions = 1, .services = 3});
    fleet.Run(seconds(20));
    fleet.Pause(5, minutes(10));
    for (int edit = 0; edit < 40; ++edit) {
      fleet.Edit(static_cast<std::size_t>(edit) % 3);
      fleet.Run(seconds(14));
    }
    fleet.Run(seconds(40));
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(2)).has_value());
    const auto& events = fleet.events(5);
    CPPUNIT_ASSERT(std::any_of(events.begin(), events.end(), [](const auto& event) {
      return event.kind == event_kind::kPauseNoticed && event.value > 500'000;
    }));
    CPPUNIT_ASSERT(std::none_of(events.begin(), events.end(), [](const auto& event) {
      return event.kind == event_kind::kMemberDown;
    }));
  }

  // A domain is partitioned from the others and from the platform for an hour of edits. Its
  // nodes must keep their tables in force and have all edits within seconds after the
  // partition ends, with no more traffic than usual in a few seconds.
  void Partition_OfAnHour_HealsWithoutStorm() {
    fake_fleet fleet({.nodes = 96, .domains = 4, .regions = 2, .services = 6});
    fleet.Run(seconds(30));
    fleet.MoveDomain(3, 1);
    fleet.CutFromPlatform(3, true);
    for (int edit = 0; edit < 60; ++edit) {
      fleet.Edit(static_cast<std::size_t>(edit) % 6);
      fleet.Run(minutes(1));
    }
    const std::uint64_t before_quiet = fleet.datagrams();
    fleet.Run(seconds(10));
    const std::uint64_t usual = fleet.datagrams() - before_quiet;
    const std::uint64_t reads = fleet.platform_reads();
    fleet.MoveDomain(3, 0);
    fleet.CutFromPlatform(3, false);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(5)).has_value());
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.datagrams() - before_quiet - usual <= 5 * usual);
    CPPUNIT_ASSERT(fleet.platform_reads() - reads <= 10 * 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_spread_test);

}  // namespace cuminferry::testing
