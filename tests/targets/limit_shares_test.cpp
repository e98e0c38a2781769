#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"
#include "targets/share_fleet.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::share_faults;
using testing::share_fleet;

/** Number of random schedules for each generated fleet and set of faults. */
constexpr std::uint64_t kSchedulesPerCase = 20;
constexpr endpoint kLender = {1, 1};
constexpr endpoint kBorrower = {2, 2};

table_shard MakeShard(std::uint32_t limit, std::vector<service_entry::domain_targets> domains,
                      std::chrono::milliseconds deadline = seconds(1)) {
  table_shard shard;
  shard.service = {"permit", std::move(domains), 100'000, 100'000};
  shard.rows.push_back({.name = "row",
                        .service = "permit",
                        .method = "GET",
                        .path_pattern = "/",
                        .fleet_limit = limit,
                        .deadline = deadline});
  return shard;
}

/** The node of slot 0 in failure domain "east", past its startup holdback. */
struct single_node {
  explicit single_node(const table_shard& shard)
      : shares({.failure_domain = "east", .target_slot = 0, .incarnation = 100}) {
    shares.UseTable(shard, now);
  }

  std::uint32_t BeginAll(duration deadline = seconds(1)) {
    std::uint32_t begun = 0;
    while (begun < 100'000 && shares.Begin("row", now + deadline, now)) {
      ++begun;
    }
    return begun;
  }

  share_actions Tick() {
    share_actions out;
    shares.Tick(now, out);
    return out;
  }

  limit_shares shares;
  instant now = FromMicros(1'000'000'000);
};

share_faults AnyFaults() {
  return {.lost_percent = *rc::gen::inRange<std::uint32_t>(0, 50),
          .duplicated_percent = *rc::gen::inRange<std::uint32_t>(0, 50),
          .max_delay = milliseconds(*rc::gen::element(1, 100, 3000, 12'000)),
          .pause_per_mille = *rc::gen::element<std::uint32_t>(0, 5, 20),
          .restart_per_mille = *rc::gen::element<std::uint32_t>(0, 5, 20),
          .drift_per_mille = *rc::gen::element<std::uint32_t>(0, 9)};
}

table_shard AnyShard() {
  std::vector<service_entry::domain_targets> domains = {
      {"east", *rc::gen::inRange<std::uint32_t>(1, 5)},
      {"west", *rc::gen::inRange<std::uint32_t>(1, 4)}};
  const auto deadline = *rc::gen::element(100, 1000, 4000, 9000);
  return MakeShard(*rc::gen::inRange<std::uint32_t>(2, 60), domains, milliseconds(deadline));
}

/** Load that stays at one node long enough for the node to borrow, and then comes to all nodes
    at once, when the lenders need what they lent. */
class moving_load {
 public:
  explicit moving_load(share_fleet& fleet, duration max_call_duration)
      : fleet_(fleet), max_call_duration_(max_call_duration) {}

  void Step() {
    random_source& random = fleet_.random();
    const std::int64_t max_step = random.Below(2) == 0 ? 10'000 : 300'000;
    fleet_.Step(duration(1 + static_cast<std::int64_t>(random.Below(max_step))));
    if (random.Below(30) == 0) {
      at_all_nodes_ = !at_all_nodes_;
      loaded_node_ = random.Below(fleet_.size());
    }
    for (std::size_t at = 0; at < fleet_.size(); ++at) {
      if (at_all_nodes_ || at == loaded_node_) {
        fleet_.Offer(at, 40, max_call_duration_);
      }
    }
  }

 private:
  share_fleet& fleet_;
  duration max_call_duration_;
  bool at_all_nodes_ = false;
  std::size_t loaded_node_ = 0;
};

}  // namespace

class limit_shares_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_shares_test);
  CPPUNIT_TEST(Fleet_AnyFaults_StaysUnderTheLimit);
  CPPUNIT_TEST(Fleet_LimitEditedDuringFaults_StaysUnderTheLargerThenTheNew);
  CPPUNIT_TEST(Usable_MoreThanRunning_BeginIsTrue);
  CPPUNIT_TEST(Domain_OneNodeBusy_BorrowsUnusedShares);
  CPPUNIT_TEST(Domain_BusyNodeBecomesIdle_LendersRegainTheirShares);
  CPPUNIT_TEST(Row_LimitTooSmallForEveryNode_IsStillUsed);
  CPPUNIT_TEST(Row_WithoutLimitOrUnknown_AlwaysBegins);
  CPPUNIT_TEST(Grant_ExpiresBeforeTheDeadline_CallIsNotBegun);
  CPPUNIT_TEST(Grant_ArrivesLate_DurationCountsFromTheRequest);
  CPPUNIT_TEST(Grant_ExpiresBeforeItsCallsAreReported_FreesNoOtherGrant);
  CPPUNIT_TEST(Grant_ToAnEarlierProcess_IsNotUsed);
  CPPUNIT_TEST(Restart_GrantsUnknown_HoldsBackThePartThatMayBeLent);
  CPPUNIT_TEST(Request_Duplicated_LendsOnce);
  CPPUNIT_TEST(LentPart_GrantExpires_IsRestoredAfterTheMargin);
  CPPUNIT_TEST(End_CallsUnderTwoGrants_FreesTheOneThatExpiresFirst);
  CPPUNIT_TEST(Return_OfOneGrant_RestoresNoOtherGrant);
  CPPUNIT_TEST(Edit_LowersTheLimit_NothingStartsAboveIt);
  CPPUNIT_TEST(Edit_MovesShares_RaiseIsDelayed);
  CPPUNIT_TEST(Row_LongDeadline_IsNotLent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Messages are lost, duplicated and delayed, processes pause and restart, clock rates differ. If
  // the parts ever summed up above the limit, a surge would overload the deep service that the
  // limit protects.
  void Fleet_AnyFaults_StaysUnderTheLimit() {
    testing::CheckProperty("running <= limit", [](std::uint64_t seed) {
      const table_shard shard = AnyShard();
      const std::uint32_t limit = shard.rows.front().fleet_limit;
      const share_faults faults = AnyFaults();
      for (std::uint64_t schedule = 0; schedule < kSchedulesPerCase; ++schedule) {
        share_fleet fleet(shard, faults, seed + schedule);
        fleet.Step(limit_shares::kStartupHoldback);
        moving_load load(fleet, shard.rows.front().deadline);
        for (int step = 0; step < 500; ++step) {
          load.Step();
          RC_ASSERT(fleet.running() <= limit);
        }
      }
    });
  }

  // An operator lowers a limit during a surge, and the nodes apply the edit one by one.
  void Fleet_LimitEditedDuringFaults_StaysUnderTheLargerThenTheNew() {
    testing::CheckProperty("running <= the larger, then <= the new", [](std::uint64_t seed) {
      const table_shard before = AnyShard();
      table_shard after = before;
      after.rows.front().fleet_limit = *rc::gen::inRange<std::uint32_t>(2, 60);
      const std::uint32_t larger =
          std::max(before.rows.front().fleet_limit, after.rows.front().fleet_limit);
      share_fleet fleet(before, AnyFaults(), seed);
      fleet.Step(limit_shares::kStartupHoldback);
      moving_load load(fleet, before.rows.front().deadline);
      for (std::size_t step = 0; step < 400; ++step) {
        if (step >= 100 && step - 100 < fleet.size()) {
          fleet.UseTable(step - 100, after);
        }
        load.Step();
        RC_ASSERT(fleet.running() <= larger);
      }
      // Past the longest grant and the longest call that began before the edit.
      fleet.Step(limit_shares::kStartupHoldback + before.rows.front().deadline);
      for (int step = 0; step < 100; ++step) {
        load.Step();
        RC_ASSERT(fleet.running() <= after.rows.front().fleet_limit);
      }
    });
  }

  // Admission starts calls by the number that UsableLimit() reported. If such a call could not
  // begin, a customer's request would be refused after it was admitted.
  void Usable_MoreThanRunning_BeginIsTrue() {
    testing::CheckProperty("what is usable can be begun", [](std::uint64_t seed) {
      const table_shard shard = AnyShard();
      const duration deadline = shard.rows.front().deadline;
      share_fleet fleet(shard, AnyFaults(), seed);
      fleet.Step(limit_shares::kStartupHoldback);
      moving_load load(fleet, deadline);
      for (int step = 0; step < 300; ++step) {
        load.Step();
        for (std::size_t at = 0; at < fleet.size(); ++at) {
          limit_shares& shares = fleet.shares(at);
          const instant now = fleet.ClockOf(at);
          if (shares.Running("row") < shares.UsableLimit("row", now)) {
            RC_ASSERT(shares.Begin("row", now + deadline, now));
            shares.End("row", now);
          }
        }
      }
    });
  }

  // A failure domain is cut off and all its callers reach one node. That node must be able to
  // borrow three quarters of what its idle peers may run.
  void Domain_OneNodeBusy_BorrowsUnusedShares() {
    share_fleet fleet(MakeShard(80, {{"east", 4}, {"west", 4}}), {}, 1);
    fleet.Step(limit_shares::kStartupHoldback);
    std::size_t max_running = 0;
    for (int step = 0; step < 100; ++step) {
      fleet.Step(milliseconds(50));
      fleet.Offer(0, 60, seconds(1));
      max_running = std::max(max_running, fleet.running());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10 + 3 * 7}, max_running);
    CPPUNIT_ASSERT(fleet.sent() < 200);
  }

  void Domain_BusyNodeBecomesIdle_LendersRegainTheirShares() {
    share_fleet fleet(MakeShard(80, {{"east", 4}, {"west", 4}}), {}, 1);
    fleet.Step(limit_shares::kStartupHoldback);
    for (int step = 0; step < 40; ++step) {
      fleet.Step(milliseconds(50));
      fleet.Offer(0, 60, milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, fleet.shares(1).Lent("row"));
    for (int step = 0; step < 60; ++step) {
      fleet.Step(milliseconds(50));
    }
    for (std::size_t at = 0; at < 4; ++at) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fleet.shares(at).Lent("row"));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{10},
                           fleet.shares(at).UsableLimit("row", fleet.ClockOf(at)));
    }
  }

  void Row_LimitTooSmallForEveryNode_IsStillUsed() {
    share_fleet fleet(MakeShard(10, {{"east", 4}}), {}, 1);
    fleet.Step(limit_shares::kStartupHoldback);
    std::uint32_t begun = 0;
    for (int step = 0; step < 20; ++step) {
      fleet.Step(milliseconds(50));
      begun = std::max(begun, fleet.Offer(3, 10, milliseconds(50)));
    }
    CPPUNIT_ASSERT(begun >= 5);
  }

  void Row_WithoutLimitOrUnknown_AlwaysBegins() {
    single_node node(MakeShard(0, {{"east", 4}}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100'000}, node.BeginAll());
    CPPUNIT_ASSERT(node.shares.Begin("other", node.now, node.now));
    CPPUNIT_ASSERT_EQUAL(limit_shares::kNoLimit, node.shares.UsableLimit("row", node.now));
  }

  void Grant_ExpiresBeforeTheDeadline_CallIsNotBegun() {
    single_node node(MakeShard(8, {{"east", 2}}));
    const share_request request = FillShareAndTakeRequest(node);
    share_actions out;
    node.shares.OnGrant(kLender, {request.request_number, "row", 2, seconds(3)}, node.now, out);
    CPPUNIT_ASSERT(!node.shares.Begin("row", node.now + seconds(4), node.now));
    CPPUNIT_ASSERT(node.shares.Begin("row", node.now + seconds(3), node.now));
    node.now += seconds(3);
    CPPUNIT_ASSERT(!node.shares.Begin("row", node.now + seconds(1), node.now));
  }

  // The grant was in transit for a second. If its duration counted from its arrival, it would be
  // used here for a second in which the lender already uses it again.
  void Grant_ArrivesLate_DurationCountsFromTheRequest() {
    single_node node(MakeShard(8, {{"east", 2}}));
    const share_request request = FillShareAndTakeRequest(node);
    node.now += seconds(1);
    share_actions out;
    node.shares.OnGrant(kLender, {request.request_number, "row", 2, seconds(3)}, node.now, out);
    CPPUNIT_ASSERT(!node.shares.Begin("row", node.now + milliseconds(2001), node.now));
    CPPUNIT_ASSERT(node.shares.Begin("row", node.now + milliseconds(2000), node.now));
  }

  // Two calls finish just as their grant expires, and this node is notified later. If they were
  // counted as calls under another grant, that grant would be used twice.
  void Grant_ExpiresBeforeItsCallsAreReported_FreesNoOtherGrant() {
    single_node node(MakeShard(8, {{"east", 2}}));
    share_actions out;
    const share_request first = FillShareAndTakeRequest(node);
    node.shares.OnGrant(kLender, {first.request_number, "row", 2, seconds(3)}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, node.BeginAll());
    const share_request second = node.Tick().requests.at(0).message;
    node.shares.OnGrant(kLender, {second.request_number, "row", 2, seconds(9)}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, node.BeginAll(seconds(8)));
    node.now += seconds(3);
    node.shares.End("row", node.now);
    node.shares.End("row", node.now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, node.shares.Running("row"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, node.BeginAll());
  }

  void Grant_ToAnEarlierProcess_IsNotUsed() {
    single_node node(MakeShard(8, {{"east", 2}}));
    FillShareAndTakeRequest(node);
    share_actions out;
    node.shares.OnGrant(kLender, {7, "row", 2, seconds(9)}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, node.shares.Borrowed("row"));
    CPPUNIT_ASSERT(out.returns.empty());
  }

  // An instance lends its part and is replaced at once. Its successor does not know of the grant;
  // if it used its whole share, the part would be used twice.
  void Restart_GrantsUnknown_HoldsBackThePartThatMayBeLent() {
    limit_shares successor({.failure_domain = "east", .incarnation = 5, .started = FromMicros(0)});
    successor.UseTable(MakeShard(80, {{"east", 4}}), FromMicros(0));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, successor.UsableLimit("row", FromMicros(0)));
    share_actions out;
    successor.OnRequest(kBorrower, {1, "row", 9}, FromMicros(1), out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, out.grants.at(0).message.call_count);
    const instant later = FromMicros(0) + limit_shares::kStartupHoldback;
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, successor.UsableLimit("row", later));
  }

  void Request_Duplicated_LendsOnce() {
    single_node node(MakeShard(80, {{"east", 4}}));
    share_actions out;
    node.shares.OnRequest(kBorrower, {1, "row", 6}, node.now, out);
    node.shares.OnRequest(kBorrower, {1, "row", 6}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, node.shares.Lent("row"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, out.grants.at(1).message.call_count);
    node.shares.OnReturn(kBorrower, {1, "row", 6}, node.now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, node.shares.UsableLimit("row", node.now));
  }

  // The borrower's clock runs a little slower than the lender's. Without the margin both would use
  // the part during the last moments of each grant.
  void LentPart_GrantExpires_IsRestoredAfterTheMargin() {
    single_node node(MakeShard(80, {{"east", 4}}));
    share_actions out;
    node.shares.OnRequest(kBorrower, {1, "row", 6}, node.now, out);
    node.now += out.grants.at(0).message.valid_for;
    node.Tick();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{14}, node.shares.UsableLimit("row", node.now));
    node.now += limit_shares::kClockDriftMargin;
    node.Tick();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, node.shares.UsableLimit("row", node.now));
  }

  void End_CallsUnderTwoGrants_FreesTheOneThatExpiresFirst() {
    single_node node(MakeShard(8, {{"east", 2}}));
    share_actions out;
    const share_request first = FillShareAndTakeRequest(node);
    node.shares.OnGrant(kLender, {first.request_number, "row", 1, seconds(3)}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, node.BeginAll());
    const share_request second = node.Tick().requests.at(0).message;
    node.shares.OnGrant(kLender, {second.request_number, "row", 1, seconds(9)}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, node.BeginAll(seconds(8)));
    node.shares.End("row", node.now);
    CPPUNIT_ASSERT(!node.shares.Begin("row", node.now + seconds(8), node.now));
    CPPUNIT_ASSERT(node.shares.Begin("row", node.now + seconds(3), node.now));
  }

  void Return_OfOneGrant_RestoresNoOtherGrant() {
    single_node node(MakeShard(80, {{"east", 4}}));
    share_actions out;
    node.shares.OnRequest(kBorrower, {1, "row", 6}, node.now, out);
    node.shares.OnRequest(kBorrower, {2, "row", 3}, node.now, out);
    node.shares.OnReturn(kBorrower, {1, "row", 6}, node.now);
    node.shares.OnReturn(kLender, {2, "row", 3}, node.now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, node.shares.Lent("row"));
  }

  void Edit_LowersTheLimit_NothingStartsAboveIt() {
    single_node node(MakeShard(8, {{"east", 2}}));
    const share_request request = FillShareAndTakeRequest(node);
    share_actions out;
    node.shares.OnGrant(kLender, {request.request_number, "row", 2, seconds(9)}, node.now, out);
    node.shares.UseTable(MakeShard(4, {{"east", 2}}), node.now);
    CPPUNIT_ASSERT(!node.shares.Begin("row", node.now + seconds(1), node.now));
    for (int call = 0; call < 3; ++call) {
      node.shares.End("row", node.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, node.BeginAll());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.Tick().returns.size());
  }

  // A target is removed from the table. Nodes with the edit would use its part while the node
  // without the edit still uses it, too.
  void Edit_MovesShares_RaiseIsDelayed() {
    single_node node(MakeShard(80, {{"east", 4}}));
    node.shares.UseTable(MakeShard(80, {{"east", 2}}), node.now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, node.shares.UsableLimit("row", node.now));
    const instant later = node.now + limit_shares::kShareRaiseDelay;
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{40}, node.shares.UsableLimit("row", later));
    node.shares.UseTable(MakeShard(100, {{"east", 2}}), later);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, node.shares.UsableLimit("row", later));
  }

  // A large upload may run for minutes. A part lent for that long would be unavailable to its owner
  // for as long.
  void Row_LongDeadline_IsNotLent() {
    single_node node(MakeShard(80, {{"east", 4}}, std::chrono::minutes(10)));
    share_actions out;
    node.shares.OnRequest(kBorrower, {1, "row", 6}, node.now, out);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, out.grants.at(0).message.call_count);
    node.BeginAll();
    CPPUNIT_ASSERT(node.Tick().requests.empty());
  }

 private:
  /** Fills the own share and returns the request that the node then sends. */
  static share_request FillShareAndTakeRequest(single_node& node) {
    node.shares.UsePeers(std::vector<endpoint>{kLender});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, node.BeginAll(seconds(60)));
    const share_actions out = node.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.requests.size());
    CPPUNIT_ASSERT(out.requests[0].to == kLender);
    return out.requests[0].message;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_shares_test);

}  // namespace cuminferry
