#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "customers/limit_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Fraction of its limit that a customer usually requests.
constexpr double kUsualLoad = 0.62;

// Minimum admitted fraction of the requests within a limit.
constexpr double kMinAdmitted = 0.95;

customer Limited(std::string name, double rate, double burst) {
  return {.name = std::move(name), .keys = {}, .rate = rate, .burst = burst};
}

void CheckBound(const limit_fleet& fleet, const customer& who) {
  const auto maximum = static_cast<double>(fleet.MaxInWindow(who.name));
  CPPUNIT_ASSERT_MESSAGE(who.name + ": " + std::to_string(maximum) +
                             " requests ran in a window, allowed " +
                             std::to_string(fleet.Bound(who)),
                         maximum <= fleet.Bound(who));
}

void CheckAdmitted(limit_fleet& fleet, const customer& who, double minimum) {
  const limit_fleet::outcome& result = fleet.Of(who.name);
  const double fraction =
      static_cast<double>(result.ran.size()) / static_cast<double>(result.requested);
  CPPUNIT_ASSERT_MESSAGE(
      who.name + ": " + std::to_string(fraction) + " of the requests within the limit admitted",
      fraction >= minimum);
}

endpoint NodeAddress(std::size_t node) {
  return {.address = static_cast<std::uint32_t>(node) + 1, .port = 1};
}

coordinator_picker PickerOf(std::size_t nodes, std::size_t domains) {
  coordinator_picker picker;
  for (std::size_t node = 0; node < nodes; ++node) {
    picker.AddNode(
        {.backend = NodeAddress(node), .failure_domain = "d" + std::to_string(node % domains)});
  }
  return picker;
}

}  // namespace

// Limits that hold over a whole fleet without a global counter.
class customer_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(customer_limits_test);
  CPPUNIT_TEST(Limit_UsualLoad_NobodyIsRefused);
  CPPUNIT_TEST(Limit_CustomerSendsSevenTimes_HoldsFromTheFirstSecond);
  CPPUNIT_TEST(Limit_LargeCustomerOver_AdmitsTheAgreedRate);
  CPPUNIT_TEST(Limit_ClientsAtFewNodes_NobodyIsRefused);
  CPPUNIT_TEST(Limit_LoweredFarBelowTheLoad_HoldsWithinAWindow);
  CPPUNIT_TEST(Limit_DomainCutOffWhileOver_HoldsOverBothParts);
  CPPUNIT_TEST(Limit_NodesCutOff_HoldsOverAllNodes);
  CPPUNIT_TEST(Limit_AllNodesRestart_Holds);
  CPPUNIT_TEST(Limit_ThirdOfTheNodesRestart_Holds);
  CPPUNIT_TEST(Limit_RequestsRefusedDownstream_AreNotCounted);
  CPPUNIT_TEST(Limit_CoordinatorDoesNotReply_RequestsWaitShortly);
  CPPUNIT_TEST(Limit_CustomerPausesAfterExcess_IsNotRefused);
  CPPUNIT_TEST(Limit_RandomFleets_Holds);
  CPPUNIT_TEST(Nodes_EntriesOfCutOffDomainLapse_StillCount);
  CPPUNIT_TEST(Nodes_AnnouncedThatTheyLeave_CountNoLonger);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Limit_UsualLoad_NobodyIsRefused() {
    limit_fleet fleet({});
    for (const double rate : {3.0, 8.0, 40.0, 120.0, 360.0, 700.0}) {
      const customer who = Limited("c" + std::to_string(rate), rate, rate);
      fleet.Set({.who = who, .requested = kUsualLoad * rate});
    }
    fleet.RunFor(seconds(30));
    for (const double rate : {3.0, 8.0, 40.0, 120.0, 360.0, 700.0}) {
      CheckAdmitted(fleet, Limited("c" + std::to_string(rate), rate, rate), kMinAdmitted);
    }
  }

  // A customer's faulty program sends several times its usual rate to all nodes within the
  // same second. Without a limit, other customers wait behind requests that were never agreed.
  void Limit_CustomerSendsSevenTimes_HoldsFromTheFirstSecond() {
    for (const double rate : {3.0, 8.0, 40.0, 120.0, 360.0, 700.0}) {
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.seed = static_cast<std::uint64_t>(rate)});
      fleet.Set({.who = who, .requested = kUsualLoad * rate});
      fleet.RunFor(seconds(10));
      fleet.Set({.who = who, .requested = 7.5 * kUsualLoad * rate});
      fleet.RunFor(seconds(8));
      fleet.Set({.who = who, .requested = kUsualLoad * rate});
      fleet.RunFor(seconds(5));
      CheckBound(fleet, who);
    }
  }

  // A customer that sends too much is still served at the agreed rate.
  void Limit_LargeCustomerOver_AdmitsTheAgreedRate() {
    const customer who = Limited("c", 360.0, 360.0);
    limit_fleet fleet({});
    fleet.Set({.who = who, .requested = 1'500.0});
    fleet.RunFor(seconds(20));
    CheckBound(fleet, who);
    const double agreed = 20.0 * who.rate;
    CPPUNIT_ASSERT(static_cast<double>(fleet.Of("c").ran.size()) >= 0.95 * agreed);
  }

  // All clients of a customer use two nodes of 69. An equal share of the limit for each node would
  // refuse nearly all of their requests.
  void Limit_ClientsAtFewNodes_NobodyIsRefused() {
    limit_fleet fleet({});
    const customer who = Limited("c", 360.0, 360.0);
    fleet.Set({.who = who, .requested = kUsualLoad * who.rate, .nodes = 2});
    fleet.RunFor(seconds(20));
    CheckAdmitted(fleet, who, kMinAdmitted);
  }

  // An operator lowers a limit to a tenth of what the customer sends.
  void Limit_LoweredFarBelowTheLoad_HoldsWithinAWindow() {
    limit_fleet before({});
    limit_fleet fleet({});
    const customer high = Limited("c", 360.0, 360.0);
    const customer low = Limited("c", 22.0, 22.0);
    fleet.Set({.who = high, .requested = 220.0});
    fleet.RunFor(seconds(10));
    fleet.Set({.who = low, .requested = 220.0});
    // The limit must hold from one window after the edit on.
    fleet.RunFor(seconds(5));
    const std::size_t ran = fleet.Of("c").ran.size();
    const std::uint64_t requested = fleet.Of("c").requested;
    fleet.RunFor(seconds(5));
    const double in_window = static_cast<double>(fleet.Of("c").ran.size() - ran);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(in_window), in_window <= fleet.Bound(low));
    CPPUNIT_ASSERT(in_window >= 0.8 * 5.0 * low.rate);
    CPPUNIT_ASSERT(fleet.Of("c").requested > requested);
  }

  // Guards against two parts of a fleet that each hand out the whole limit, as the entries of the
  // other part have expired.
  void Nodes_EntriesOfCutOffDomainLapse_StillCount() {
    coordinator_picker picker = PickerOf(8, 4);
    const auto is_cut_off = [](std::string_view domain) { return domain == "d3"; };
    const instant now = FromMicros(1'000'000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, picker.ReachableShare(is_cut_off, now), 1e-9);
    picker.RemoveNode(NodeAddress(3), now);
    picker.RemoveNode(NodeAddress(7), now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, picker.ReachableShare(is_cut_off, now), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, picker.CountAt(now + coordinator_picker::kMissingTime));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6},
                         picker.CountAt(now + coordinator_picker::kMissingTime + seconds(1)));
  }

  // Guards against limits that shrink each time the fleet does.
  void Nodes_AnnouncedThatTheyLeave_CountNoLonger() {
    coordinator_picker picker = PickerOf(8, 4);
    const instant now = FromMicros(1'000'000);
    picker.RemoveNode(NodeAddress(3), now);
    picker.OnLeaving(NodeAddress(3));
    const auto none = [](std::string_view) { return false; };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, picker.ReachableShare(none, now), 1e-9);
  }

  // A failure domain is cut off while a customer sends too much on both sides. With two independent
  // counters, twice the limit would run.
  void Limit_DomainCutOffWhileOver_HoldsOverBothParts() {
    for (const double rate : {8.0, 40.0, 360.0}) {
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.seed = 7});
      fleet.Set({.who = who, .requested = kUsualLoad * rate});
      fleet.RunFor(seconds(5));
      fleet.Set({.who = who, .requested = 5.0 * rate});
      fleet.RunFor(seconds(3));
      fleet.CutDomain(0, true);
      fleet.RunFor(seconds(8));
      fleet.CutDomain(0, false);
      fleet.RunFor(seconds(6));
      CheckBound(fleet, who);
    }
  }

  void Limit_NodesCutOff_HoldsOverAllNodes() {
    for (const double rate : {8.0, 40.0, 360.0}) {
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.seed = 9});
      fleet.Set({.who = who, .requested = 5.0 * rate});
      fleet.RunFor(seconds(3));
      for (std::size_t node = 0; node < 20; ++node) {
        fleet.CutNode(node, true);
      }
      fleet.RunFor(seconds(8));
      for (std::size_t node = 0; node < 20; ++node) {
        fleet.CutNode(node, false);
      }
      fleet.RunFor(seconds(6));
      CheckBound(fleet, who);
    }
  }

  // All processes restart without state after a power failure. A full burst for each node would
  // multiply the burst by the number of nodes.
  void Limit_AllNodesRestart_Holds() {
    for (const double rate : {8.0, 40.0, 360.0}) {
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.seed = 11});
      fleet.Set({.who = who, .requested = 5.0 * rate});
      fleet.RunFor(seconds(5));
      for (std::size_t node = 0; node < 69; ++node) {
        fleet.Restart(node);
      }
      fleet.RunFor(seconds(8));
      CheckBound(fleet, who);
    }
  }

  void Limit_ThirdOfTheNodesRestart_Holds() {
    for (const double rate : {8.0, 40.0, 360.0}) {
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.seed = 12});
      fleet.Set({.who = who, .requested = 5.0 * rate});
      fleet.RunFor(seconds(5));
      for (std::size_t node = 0; node < 69; node += 3) {
        fleet.Restart(node);
      }
      fleet.RunFor(seconds(8));
      CheckBound(fleet, who);
    }
  }

  // Under overload half of a customer's requests are refused further down the call graph and are
  // retried. They have not run: if they were counted, they would use up the limit, and the customer
  // would be refused because of an overload that others cause.
  void Limit_RequestsRefusedDownstream_AreNotCounted() {
    const customer who = Limited("c", 360.0, 360.0);
    limit_fleet fleet({});
    fleet.Set({.who = who, .requested = 1.6 * who.rate, .refused_downstream = 0.5});
    fleet.RunFor(seconds(20));
    const limit_fleet::outcome& result = fleet.Of("c");
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(result.over_limit),
        static_cast<double>(result.over_limit) <= 0.03 * static_cast<double>(result.requested));
  }

  // The coordinator of a small customer doesn't reply. Requests wait for the coordinator and then
  // for its substitute, but no longer than both timeouts.
  void Limit_CoordinatorDoesNotReply_RequestsWaitShortly() {
    const customer who = Limited("c", 8.0, 8.0);
    limit_fleet fleet({});
    fleet.Set({.who = who, .requested = 5.0});
    fleet.RunFor(seconds(5));
    for (std::size_t node = 0; node < 69; ++node) {
      fleet.CutNode(node, true);
    }
    fleet.RunFor(seconds(5));
    CPPUNIT_ASSERT(fleet.Of("c").longest_wait <= milliseconds(420));
  }

  // A customer exceeds its limit and then pauses. The share from before the pause must not apply to
  // its later requests.
  void Limit_CustomerPausesAfterExcess_IsNotRefused() {
    const customer who = Limited("c", 360.0, 360.0);
    limit_fleet fleet({});
    fleet.Set({.who = who, .requested = 2'000.0});
    fleet.RunFor(seconds(5));
    fleet.Set({.who = who, .requested = 0.0});
    fleet.RunFor(seconds(5));
    const std::uint64_t over_limit = fleet.Of("c").over_limit;
    fleet.Set({.who = who, .requested = 200.0});
    fleet.RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(over_limit, fleet.Of("c").over_limit);
  }

  // Covers fleets and customers of any size, with partitions, restarts and edits in any order.
  void Limit_RandomFleets_Holds() {
    CheckProperty("no window exceeds the bound", [] {
      const auto nodes = *rc::gen::inRange<std::size_t>(3, 200);
      const auto domains = *rc::gen::inRange<std::size_t>(1, 6);
      const auto rate = *rc::gen::element(2.0, 10.0, 50.0, 200.0, 800.0);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const customer who = Limited("c", rate, rate);
      limit_fleet fleet({.nodes = nodes,
                         .domains = std::min(domains, nodes),
                         .seed = seed,
                         .max_network_delay = milliseconds(*rc::gen::inRange(1, 40))});
      for (int step = 0; step < 6; ++step) {
        const auto load_factor = *rc::gen::element(0.5, 1.0, 3.0, 7.5);
        const auto sites = *rc::gen::inRange<std::size_t>(0, nodes);
        fleet.Set({.who = who, .requested = load_factor * kUsualLoad * rate, .nodes = sites});
        const auto action = *rc::gen::inRange(0, 5);
        const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
        if (action == 0) {
          fleet.Restart(node);
        } else if (action == 1) {
          fleet.CutNode(node, *rc::gen::arbitrary<bool>());
        } else if (action == 2) {
          fleet.CutDomain(node % std::min(domains, nodes), *rc::gen::arbitrary<bool>());
        }
        fleet.RunFor(milliseconds(*rc::gen::inRange(200, 3'000)));
      }
      RC_ASSERT(static_cast<double>(fleet.MaxInWindow("c")) <= fleet.Bound(who));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_limits_test);

}  // namespace cuminferry::testing
