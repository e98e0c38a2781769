#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <string>

#include "cuminferry_policy/cuminferry_policy.h"
#include "policy/scenario_world.h"
#include "support/property.h"

namespace cuminferry {
namespace {

/** Faults injected into a controller or its results. The property has to detect each of them. */
enum class fault : std::uint8_t { kNone, kExtraSlot, kLosesRefusal, kStartsTwice };

constexpr std::uint32_t kSlots = 5;
constexpr std::uint32_t kQueueBound = 16;
constexpr std::uint32_t kRowLimit = 2;
constexpr std::uint32_t kRowCount = 4;

table_shard MakeTable(std::uint32_t first_row) {
  table_shard shard;
  for (std::uint32_t index = 0; index < kRowCount; ++index) {
    request_row row;
    row.name = "row" + std::to_string((first_row + index) % kRowCount);
    row.target_limit = row.name == "row0" ? kRowLimit : 0;
    shard.rows.push_back(row);
  }
  return shard;
}

/** Decodes a list of numbers into events for one controller and checks the invariants after each
    event. */
class controller_driver {
 public:
  explicit controller_driver(fault injected)
      : fault_(injected),
        admission_({"full", kSlots + (injected == fault::kExtraSlot ? 1 : 0), kQueueBound}) {
    admission_.UseTable(MakeTable(0), now_);
  }

  /** Returns the first violated invariant, or nothing if all held. */
  std::optional<std::string> Run(const std::vector<std::uint32_t>& events) {
    for (const std::uint32_t event : events) {
      Step(event);
    }
    FinishAll();
    return violation_;
  }

 private:
  struct call {
    call_rank rank;
    instant deadline;
    bool limited = false;
    bool running = false;
    std::uint32_t waits = 0;
  };

  void Step(std::uint32_t event) {
    const std::uint32_t value = event >> 4;
    switch (event % 16) {
      case 0:
        AdvanceTime(value % 100);
        break;
      case 1:
      case 2:
        WithRunningCall(value, [&](call_key key) { Finish(key); });
        break;
      case 3:
        WithRunningCall(value, [&](call_key key) {
          ++calls_[key].waits;
          admission_.BeginWait(key, value % 2 == 0 ? "soil" : "map", now_, actions_);
          admission_.LearnThreshold(value % kRowCount, "soil", "read", call_rank(value), now_);
        });
        break;
      case 4:
        WithRunningCall(value, [&](call_key key) {
          if (calls_[key].waits > 0) {
            --calls_[key].waits;
            admission_.EndWait(key, now_, actions_);
          }
        });
        break;
      case 5:
        if (!calls_.empty()) {
          admission_.Abandon(std::next(calls_.begin(), value % calls_.size())->first, now_,
                             actions_);
        }
        break;
      case 6:
        admission_.ReportBackendCap(value % (2 * kSlots), now_);
        break;
      case 7:
        first_row_ = value % kRowCount;
        admission_.UseTable(MakeTable(first_row_), now_);
        break;
      case 8:
        AdvanceTime(value % 3000);
        break;
      default:
        Offer(value);
    }
    Check();
  }

  void Offer(std::uint32_t value) {
    const std::uint32_t row = value % kRowCount;
    call offered;
    offered.rank = call_rank(static_cast<std::uint16_t>(value % 7), value % 3 == 0,
                             static_cast<std::uint16_t>(value * 31));
    offered.deadline = now_ + std::chrono::milliseconds(value % 500);
    offered.limited = (first_row_ + row) % kRowCount == 0;
    calls_[++last_key_] = offered;
    admission_.Offer({last_key_, row, offered.rank, offered.deadline}, now_, actions_);
  }

  template <typename Action>
  void WithRunningCall(std::uint32_t value, Action&& action) {
    std::vector<call_key> running;
    for (const auto& [key, one] : calls_) {
      if (one.running) {
        running.push_back(key);
      }
    }
    if (!running.empty()) {
      action(running[value % running.size()]);
    }
  }

  void Finish(call_key key) {
    calls_.erase(key);
    admission_.Finish(key, run_result::kAnswered, now_, actions_);
  }

  void AdvanceTime(std::uint32_t millis) {
    now_ += std::chrono::milliseconds(millis);
    admission_.Tick(now_, actions_);
    Check();
    for (const auto& [key, one] : calls_) {
      Expect(one.running || one.deadline > now_, "an expired call is still queued");
    }
  }

  void Check() {
    if (fault_ == fault::kLosesRefusal && !actions_.refuse.empty()) {
      actions_.refuse.pop_back();
    }
    if (fault_ == fault::kStartsTwice && !actions_.start.empty()) {
      actions_.start.push_back(actions_.start.back());
    }
    for (const refused_call& refusal : actions_.refuse) {
      const auto found = calls_.find(refusal.key);
      Expect(found != calls_.end() && !found->second.running,
             "a call was refused that is not queued");
      Expect(refusal.code != result_code::kOk, "a refusal has the result code of success");
      calls_.erase(refusal.key);
    }
    for (const call_key key : actions_.start) {
      const auto found = calls_.find(key);
      Expect(found != calls_.end() && !found->second.running,
             "a call was started that is not queued");
      if (found != calls_.end()) {
        found->second.running = true;
        Expect(found->second.deadline > now_, "an expired call was started");
      }
    }
    actions_.Clear();
    CheckBounds();
  }

  void CheckBounds() {
    std::uint32_t running = 0;
    std::uint32_t limited = 0;
    for (const auto& [key, one] : calls_) {
      running += one.running ? 1 : 0;
      limited += one.running && one.limited ? 1 : 0;
    }
    Expect(running <= kSlots, "more calls run than there are slots");
    Expect(limited <= kRowLimit, "more calls of a row run than its limit allows");
    Expect(admission_.queued() <= kQueueBound, "the queue exceeds its bound");
    Expect(running == admission_.running(), "running calls are miscounted");
    Expect(calls_.size() - running == admission_.queued(), "queued calls are miscounted");
  }

  /** Finishes running calls and advances the time until no call is left; fails if one remains. */
  void FinishAll() {
    for (int round = 0; round < 1000 && !calls_.empty(); ++round) {
      WithRunningCall(0, [&](call_key key) { Finish(key); });
      Check();
      AdvanceTime(100);
    }
    Expect(calls_.empty(), "a call was neither refused nor finished");
  }

  void Expect(bool holds, const char* what) {
    if (!holds && !violation_.has_value()) {
      violation_ = what;
    }
  }

  fault fault_;
  admission_controller admission_;
  admission_actions actions_;
  instant now_ = FromMicros(1'000'000);
  std::map<call_key, call> calls_;
  call_key last_key_ = 0;
  std::uint32_t first_row_ = 0;
  std::optional<std::string> violation_;
};

/** Result of a random surge into a call chain of random depth and capacity. */
struct surge_outcome {
  double inversions = 0;
  bool slots_exceeded = false;
};

using testing::fake_load;
using testing::fake_row;
using testing::scenario_world;

double CountInversions(const scenario_world& world, std::int64_t first_bucket,
                       std::int64_t end_bucket) {
  constexpr std::int64_t kReaction = 300'000 / scenario_world::kBucketMicros;
  const auto low = world.admitted.find(1);
  const auto high = world.refused.find(100);
  if (low == world.admitted.end() || high == world.refused.end()) {
    return 0;
  }
  double sum = 0;
  for (const auto& refusal : high->second) {
    bool all = refusal.first >= first_bucket && refusal.first < end_bucket;
    for (std::int64_t back = 0; back <= kReaction && all; ++back) {
      all = low->second.contains(refusal.first - back);
    }
    sum += all ? refusal.second : 0;
  }
  return sum;
}

surge_outcome RunSurge(std::uint64_t seed, const std::string& control, std::uint32_t depth,
                       std::uint32_t bottleneck, double self_ms, double high_part) {
  constexpr std::uint32_t kTargets = 2;
  constexpr std::uint32_t kBottleneckSlots = 10;
  scenario_world world(seed);
  world.control = control;
  for (std::uint32_t level = 0; level < depth; ++level) {
    world.AddService("s" + std::to_string(level), kTargets,
                     level == bottleneck ? kBottleneckSlots : 8 * kBottleneckSlots);
  }
  for (std::uint32_t level = 0; level < depth; ++level) {
    fake_row row;
    row.self_ms = self_ms;
    row.row.deadline = std::chrono::milliseconds(2000);
    if (level + 1 < depth) {
      row.calls.push_back({"s" + std::to_string(level + 1), "high", 1});
    }
    for (const char* name : {"high", "low"}) {
      row.row.name = name;
      row.row.weight = row.row.name == "high" ? 100 : 1;
      world.AddRow("s" + std::to_string(level), row);
    }
  }
  // A call holds its slot of the bottleneck while the services below it work as well.
  const double capacity = kTargets * kBottleneckSlots * 1000 / (self_ms * (depth - bottleneck));
  fake_load load{"s0", "high", high_part * capacity, world.now(), FromMicros(5'000'000), 3, 50};
  world.AddLoad(load);
  load.row = "low";
  load.per_second = 8 * capacity;
  load.from = FromMicros(2'000'000);
  world.AddLoad(load);
  world.RunUntil(FromMicros(6'000'000));
  surge_outcome outcome;
  outcome.inversions = CountInversions(world, 2'500'000 / scenario_world::kBucketMicros,
                                       5'000'000 / scenario_world::kBucketMicros);
  for (std::uint32_t level = 0; level < depth; ++level) {
    for (const testing::fake_node* node : world.NodesOf("s" + std::to_string(level))) {
      outcome.slots_exceeded = outcome.slots_exceeded || node->peak_running > node->slots;
    }
  }
  return outcome;
}

}  // namespace

class admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admission_test);
  CPPUNIT_TEST(Controller_RandomEvents_RespectsBoundsAndFinishesEachCallOnce);
  CPPUNIT_TEST(Controller_InjectedFault_IsDetected);
  CPPUNIT_TEST(Surge_AnyChain_RefusesHigherWeightsLast);
  CPPUNIT_TEST(Surge_FirstComeFirstServed_ShowsInversions);
  CPPUNIT_TEST(Queue_FullOfLowRanks_EvictsForHigherRank);
  CPPUNIT_TEST(Drain_CallsQueued_RefusesAll);
  CPPUNIT_TEST(Threshold_CalleeRefuses_RefusesNewRequestsHere);
  CPPUNIT_TEST(Threshold_NoRecentReply_AdmitsProbes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Controller_RandomEvents_RespectsBoundsAndFinishesEachCallOnce() {
    testing::CheckProperty("bounds hold and each call finishes once", [] {
      const auto events = *rc::gen::scale(5.0, rc::gen::arbitrary<std::vector<std::uint32_t>>());
      const std::optional<std::string> violation = controller_driver(fault::kNone).Run(events);
      if (violation.has_value()) {
        RC_FAIL(*violation);
      }
    });
  }

  void Controller_InjectedFault_IsDetected() {
    for (const fault injected : {fault::kExtraSlot, fault::kLosesRefusal, fault::kStartsTwice}) {
      bool found = false;
      for (std::uint64_t seed = 1; seed <= 100 && !found; ++seed) {
        random_source random(seed);
        std::vector<std::uint32_t> events(300);
        for (std::uint32_t& event : events) {
          event = static_cast<std::uint32_t>(random.Next());
        }
        found = controller_driver(injected).Run(events).has_value();
      }
      CPPUNIT_ASSERT_MESSAGE("an injected fault was not detected", found);
    }
  }

  // Eight times more low-weight requests than the chain can serve come on top of the high-weight
  // load. A request of the high weight must not be refused while requests of the low weight are
  // admitted, whichever service in the chain is the bottleneck.
  void Surge_AnyChain_RefusesHigherWeightsLast() {
    testing::CheckProperty("higher weights are refused last", [](std::uint64_t seed) {
      const auto depth = *rc::gen::inRange<std::uint32_t>(1, 5);
      const auto bottleneck = *rc::gen::inRange<std::uint32_t>(0, depth);
      const double self_ms = *rc::gen::inRange(30, 100);
      const double high_part = *rc::gen::inRange(1, 6) / 10.0;
      const surge_outcome outcome = RunSurge(seed, "full", depth, bottleneck, self_ms, high_part);
      RC_ASSERT(!outcome.slots_exceeded);
      RC_ASSERT(outcome.inversions == 0);
    });
  }

  void Surge_FirstComeFirstServed_ShowsInversions() {
    CPPUNIT_ASSERT(RunSurge(1, "static", 3, 2, 30, 0.3).inversions > 0);
  }

  void Queue_FullOfLowRanks_EvictsForHigherRank() {
    admission_controller admission({"full", 1, kQueueBound});
    admission_actions actions;
    const instant now = FromMicros(1'000'000);
    const instant later = now + std::chrono::seconds(60);
    call_key key = 0;
    while (actions.refuse.empty()) {
      admission.Offer({++key, 0, call_rank(1, true, 9), later}, now, actions);
    }
    actions.Clear();
    admission.Offer({++key, 0, call_rank(2, true, 1), later}, now, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refuse.size());
    CPPUNIT_ASSERT(actions.refuse[0].key != key);
    actions.Clear();
    admission.Finish(1, run_result::kAnswered, now, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.start.size());
    CPPUNIT_ASSERT_EQUAL(key, actions.start[0]);
  }

  void Drain_CallsQueued_RefusesAll() {
    admission_controller admission({"full", 1, kQueueBound});
    admission_actions actions;
    const instant now = FromMicros(1'000'000);
    admission.Offer({1, 0, call_rank(1, true, 1), now + std::chrono::seconds(9)}, now, actions);
    admission.Offer({2, 0, call_rank(1, true, 1), now + std::chrono::seconds(9)}, now, actions);
    admission.Drain(now, actions);
    admission.Offer({3, 0, call_rank(1, true, 1), now + std::chrono::seconds(9)}, now, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.start.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.refuse.size());
    CPPUNIT_ASSERT(actions.refuse[1].code == result_code::kRefusedDraining);
  }

  void Threshold_CalleeRefuses_RefusesNewRequestsHere() {
    admission_controller admission({"full", 10, kQueueBound});
    admission_actions actions;
    const instant now = FromMicros(1'000'000);
    admission.UseTable(MakeTable(0), now);
    admission.LearnThreshold(0, "soil", "read", call_rank(100, true, 1000), now);
    const instant later = now + std::chrono::seconds(1);
    admission.Offer({1, 0, call_rank(100, false, 999), later}, now, actions);
    admission.Offer({2, 0, call_rank(100, false, 1001), later}, now, actions);
    admission.Offer({3, 0, call_rank(100, true, 999), later}, now, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refuse.size());
    CPPUNIT_ASSERT_EQUAL(call_key{1}, actions.refuse[0].key);
    CPPUNIT_ASSERT(actions.refuse[0].retry_after.count() > 0);
    CPPUNIT_ASSERT(admission.ThresholdOf(0, now) == call_rank(100, true, 1000));
    CPPUNIT_ASSERT(admission.ThresholdOf(1, now) == call_rank());
  }

  // After a surge, all remaining requests are below the threshold. Without probes no reply would
  // show that the callee is idle again, and an idle system would continue to refuse requests.
  void Threshold_NoRecentReply_AdmitsProbes() {
    admission_controller admission({"full", 10, kQueueBound});
    admission_actions actions;
    instant now = FromMicros(1'000'000);
    admission.UseTable(MakeTable(1), now);
    admission.LearnThreshold(0, "soil", "read", call_rank(100, true, 1000), now);
    for (call_key key = 1; key <= 100; ++key) {
      now += std::chrono::milliseconds(5);
      admission.Offer({key, 0, call_rank(1, false, 1), now + std::chrono::seconds(1)}, now,
                      actions);
    }
    CPPUNIT_ASSERT(actions.start.size() >= 3 && actions.start.size() <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

}  // namespace cuminferry
