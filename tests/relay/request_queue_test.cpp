#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr duration kLong = seconds(5);

slot_request Request(std::uint64_t id, std::uint32_t priority, duration objective = kLong) {
  return {.id = id,
          .priority = priority,
          .deadline_left = objective * 4,
          .objective_left = objective,
          .objective = objective,
          .awaits_turn = true};
}

slot_gate GateByImportance(std::uint32_t slots) {
  slot_gate gate(slots);
  gate.SetOrder(queue_order::kImportance);
  return gate;
}

/** Offers requests of one priority with the given first id until one does not wait. Returns how
    many wait. */
std::uint64_t Fill(slot_gate& gate, std::uint32_t priority, std::uint64_t first_id,
                   std::uint64_t most = 10'000) {
  std::uint64_t count = 0;
  while (count < most &&
         gate.Offer(Request(first_id + count, priority), kStart) == slot_verdict::kWait) {
    ++count;
  }
  return count;
}

void TakeAllSlots(slot_gate& gate) {
  for (std::uint64_t id = 1'000'000; !gate.lacks_slots(); ++id) {
    gate.Offer(Request(id, 0), kStart);
  }
}

std::set<std::uint64_t> TakeAllDisplaced(slot_gate& gate) {
  std::set<std::uint64_t> all;
  while (const auto id = gate.TakeDisplaced()) {
    all.insert(*id);
  }
  return all;
}

/** The entries of a waiting_order in a plain sorted vector. */
struct reference_order {
  std::vector<waiting_order::entry> entries;
  double interval = 1.0;

  const waiting_order::entry* FirstLate(instant first_start) const {
    for (std::size_t at = 0; at < entries.size(); ++at) {
      const double start =
          static_cast<double>(ToMicros(first_start)) + static_cast<double>(at) * interval;
      if (entries[at].is_checked_for_lateness &&
          static_cast<double>(ToMicros(entries[at].last_useful_start())) < start) {
        return &entries[at];
      }
    }
    return nullptr;
  }
};

bool AreEqual(const waiting_order::entry* left, const waiting_order::entry* right) {
  return left == nullptr || right == nullptr ? left == right : left->id == right->id;
}

}  // namespace

class request_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_queue_test);
  CPPUNIT_TEST(Offer_QueueFull_LeastImportantIsDisplaced);
  CPPUNIT_TEST(Offer_WaitingOneBecomesLate_IsDisplacedAtOnce);
  CPPUNIT_TEST(Offer_QueueFullOfClients_CallIsNotDisplaced);
  CPPUNIT_TEST(Remove_CallerGone_NextOneStarts);
  CPPUNIT_TEST(SetSlots_Reduced_LeastImportantAreDisplaced);
  CPPUNIT_TEST(Rate_Declared_ImportantGetsTheNextTurn);
  CPPUNIT_TEST(TakeLongestWait_LeastImportantWaits_IsTheTimeThatTheSlotsNeed);
  CPPUNIT_TEST(SetOrder_Reloaded_WaitingRequestsAreSortedAnew);
  CPPUNIT_TEST(Order_AnyChanges_EqualsASortedVector);
  CPPUNIT_TEST(Gate_AnySchedule_LosesNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing an important request because less important ones arrived before it.
  void Offer_QueueFull_LeastImportantIsDisplaced() {
    slot_gate gate = GateByImportance(2);
    TakeAllSlots(gate);
    const std::uint64_t waiting = Fill(gate, 2, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{slot_gate::kMaxQueuedPerSlot}, waiting);
    CPPUNIT_ASSERT(gate.Offer(Request(100, 0), kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(TakeAllDisplaced(gate) == std::set<std::uint64_t>{waiting});
    CPPUNIT_ASSERT(gate.Offer(Request(101, 3), kStart) == slot_verdict::kRefuse);
    CPPUNIT_ASSERT(!gate.TakeDisplaced());
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, gate.StartNext(kStart).value());
  }

  // Guards against keeping a request in the queue that can only be late. Refused at once, its
  // client can try again in time. With runs of 20 ms, a start within 70 ms leaves room for three.
  void Offer_WaitingOneBecomesLate_IsDisplacedAtOnce() {
    slot_gate gate = GateByImportance(2);
    TakeAllSlots(gate);
    for (std::uint64_t id = 1; id <= 3; ++id) {
      CPPUNIT_ASSERT(gate.Offer(Request(id, 1, milliseconds(100)), kStart) == slot_verdict::kWait);
    }
    gate.Offer(Request(4, 2), kStart);
    CPPUNIT_ASSERT(!gate.TakeDisplaced());
    CPPUNIT_ASSERT(gate.Offer(Request(5, 0, milliseconds(100)), kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(TakeAllDisplaced(gate) == std::set<std::uint64_t>{3});
  }

  // Guards against new requests that displace every call of the requests that already run.
  void Offer_QueueFullOfClients_CallIsNotDisplaced() {
    slot_gate gate = GateByImportance(20);
    TakeAllSlots(gate);
    Fill(gate, 0, 1);
    TakeAllDisplaced(gate);
    slot_request nested = Request(500, 3);
    nested.nested = true;
    CPPUNIT_ASSERT(gate.Offer(nested, kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT_EQUAL(1U, gate.waiting_nested());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeAllDisplaced(gate).size());
  }

  void Remove_CallerGone_NextOneStarts() {
    slot_gate gate = GateByImportance(2);
    TakeAllSlots(gate);
    slot_request nested = Request(1, 0);
    nested.nested = true;
    gate.Offer(nested, kStart);
    gate.Offer(Request(2, 1), kStart);
    CPPUNIT_ASSERT(gate.Remove(1));
    CPPUNIT_ASSERT(!gate.Remove(1));
    CPPUNIT_ASSERT_EQUAL(0U, gate.waiting_nested());
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, gate.StartNext(kStart).value());
    CPPUNIT_ASSERT(!gate.next_expiry());
  }

  // Guards against a queue that was sized for more slots and now holds requests that can't start.
  void SetSlots_Reduced_LeastImportantAreDisplaced() {
    slot_gate gate = GateByImportance(20);
    TakeAllSlots(gate);
    Fill(gate, 2, 1, 60);
    Fill(gate, 1, 101, 30);
    gate.SetSlots(5);
    gate.Displace(kStart);
    const std::set<std::uint64_t> displaced = TakeAllDisplaced(gate);
    CPPUNIT_ASSERT_EQUAL(gate.limit() * slot_gate::kMaxQueuedPerSlot, gate.waiting());
    CPPUNIT_ASSERT(*displaced.rbegin() <= 60);
  }

  // At 10 requests a second, 4 turns are waited for. Guards against refusing an important request
  // because less important ones wait for all of them.
  void Rate_Declared_ImportantGetsTheNextTurn() {
    slot_gate gate = GateByImportance(20);
    gate.SetRate(10.0, kStart);
    const std::uint64_t waiting = Fill(gate, 2, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, waiting);
    CPPUNIT_ASSERT(gate.Offer(Request(100, 0), kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(TakeAllDisplaced(gate) == std::set<std::uint64_t>{4});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, gate.StartNext(*gate.NextTurn(kStart)).value());
    CPPUNIT_ASSERT(!gate.StartNext(kStart + milliseconds(101)));
  }

  // A request of the lowest priority waits for 400 ms behind a few others. Guards against refusing
  // load at the ingress nodes for the sake of its wait, while the slots need only a few
  // milliseconds for the whole queue; and against missing that the backend server stands still.
  void TakeLongestWait_LeastImportantWaits_IsTheTimeThatTheSlotsNeed() {
    slot_gate gate = GateByImportance(20);
    TakeAllSlots(gate);
    gate.Offer(Request(1, 3), kStart);
    instant now = kStart;
    for (std::uint64_t id = 2; id <= 400; ++id) {
      now += milliseconds(1);
      gate.Offer(Request(id, 0), now);
      gate.Finish(milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(id, gate.StartNext(now).value());
    }
    CPPUNIT_ASSERT(gate.TakeLongestWait(now) <= milliseconds(5));
    CPPUNIT_ASSERT(gate.TakeLongestWait(now + milliseconds(300)) >= milliseconds(300));
  }

  void SetOrder_Reloaded_WaitingRequestsAreSortedAnew() {
    slot_gate gate(2);
    TakeAllSlots(gate);
    gate.Offer(Request(1, 1, milliseconds(200)), kStart);
    gate.Offer(Request(2, 0, milliseconds(400)), kStart);
    gate.SetOrder(queue_order::kImportance);
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, gate.StartNext(kStart).value());
    gate.SetOrder(queue_order::kDeadline);
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, gate.StartNext(kStart).value());
  }

  // Guards against wrong positions or bounds after blocks were split and merged.
  void Order_AnyChanges_EqualsASortedVector() {
    CheckProperty("the order equals a sorted vector", [](std::uint64_t seed) {
      random_source random(seed);
      waiting_order order;
      reference_order expected;
      const auto random_start = [&] {
        return kStart + duration(static_cast<duration::rep>(random.Below(100'000)));
      };
      // Grows first and shrinks later.
      for (std::uint64_t id = 1; id <= 2'000; ++id) {
        const bool grows = random.Below(1'000) > id / 2;
        if (grows || expected.entries.empty()) {
          waiting_order::entry added(static_cast<std::uint32_t>(random.Below(3)), random_start(),
                                     id, random.Below(8) == 0);
          added.is_checked_for_lateness = random.Below(4) != 0 ? 1 : 0;
          order.Insert(added);
          expected.entries.insert(std::ranges::upper_bound(expected.entries, added,
                                                           [](const auto& left, const auto& right) {
                                                             return left.IsBefore(right);
                                                           }),
                                  added);
        } else {
          const auto at = expected.entries.begin() +
                          static_cast<std::ptrdiff_t>(random.Below(expected.entries.size()));
          if (random.Below(4) == 0) {
            at->is_checked_for_lateness ^= 1U;
            order.SetCheckedForLateness(*at, at->is_checked_for_lateness != 0);
          } else {
            RC_ASSERT(order.Erase(*at));
            RC_ASSERT(!order.Erase(*at));
            expected.entries.erase(at);
          }
        }
        if (random.Below(50) == 0) {
          expected.interval = 10.0 * static_cast<double>(1U << random.Below(6));
          order.SetInterval(expected.interval);
        }
        RC_ASSERT(order.size() == expected.entries.size());
        const instant when = random_start();
        RC_ASSERT(AreEqual(order.FirstLate(when), expected.FirstLate(when)));
        const auto expired = std::ranges::find_if(
            expected.entries, [&](const auto& each) { return each.last_useful_start() < when; });
        RC_ASSERT(AreEqual(order.FirstExpired(when),
                           expired == expected.entries.end() ? nullptr : &*expired));
        const auto ahead = std::ranges::count_if(expected.entries, [&](const auto& each) {
          return each.rank() < 1 || (each.rank() == 1 && each.last_useful_start() <= when);
        });
        RC_ASSERT(order.CountAhead(1, when) == static_cast<std::size_t>(ahead));
        const auto client = std::find_if(expected.entries.rbegin(), expected.entries.rend(),
                                         [](const auto& each) { return each.is_client; });
        RC_ASSERT(
            AreEqual(order.LastClient(), client == expected.entries.rend() ? nullptr : &*client));
        if (!order.empty()) {
          RC_ASSERT(order.front().id == expected.entries.front().id);
          RC_ASSERT(order.back().id == expected.entries.back().id);
          RC_ASSERT(*order.earliest_last_useful_start() ==
                    std::ranges::min_element(expected.entries, {},
                                             &waiting_order::entry::last_useful_start)
                        ->last_useful_start());
        }
      }
    });
  }

  // Guards against a request that is neither waiting nor answered, whose client would wait until
  // its own timeout, and against one that is both displaced and started.
  void Gate_AnySchedule_LosesNoRequest() {
    CheckProperty("every request ends once", [](std::uint64_t seed) {
      random_source random(seed);
      slot_gate gate = GateByImportance(static_cast<std::uint32_t>(2 + random.Below(20)));
      std::set<std::uint64_t> waiting;
      instant now = kStart;
      for (std::uint64_t id = 1; id < 600; ++id) {
        now += duration(static_cast<duration::rep>(random.Below(4'000)));
        if (random.Below(100) == 0) {
          gate.SetSlots(static_cast<std::uint32_t>(2 + random.Below(20)));
        }
        if (random.Below(100) == 0) {
          gate.SetRate(random.Below(2) == 0 ? std::nullopt : std::optional(200.0), now);
        }
        if (random.Below(100) == 0) {
          gate.SetOrder(random.Below(2) == 0 ? queue_order::kDeadline : queue_order::kImportance);
        }
        slot_request offered = Request(id, static_cast<std::uint32_t>(random.Below(4)),
                                       milliseconds(10 + random.Below(300)));
        offered.nested = random.Below(3) == 0;
        if (gate.Offer(offered, now) == slot_verdict::kWait) {
          waiting.insert(id);
        }
        for (const std::uint64_t displaced : TakeAllDisplaced(gate)) {
          RC_ASSERT(waiting.erase(displaced) == 1U);
        }
        for (const std::uint64_t expired : gate.TakeExpired(now)) {
          RC_ASSERT(waiting.erase(expired) == 1U);
        }
        if (!waiting.empty() && random.Below(10) == 0) {
          RC_ASSERT(gate.Remove(*waiting.begin()));
          waiting.erase(waiting.begin());
        }
        if (gate.running() > 0 && random.Below(3) != 0) {
          gate.Finish(duration(static_cast<duration::rep>(random.Below(40'000))));
        }
        while (const auto next = gate.StartNext(now)) {
          RC_ASSERT(waiting.erase(*next) == 1U);
        }
        RC_ASSERT(gate.waiting() == waiting.size());
        RC_ASSERT(waiting.empty() || *gate.next_expiry() >= now);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_queue_test);

}  // namespace cuminferry::testing
