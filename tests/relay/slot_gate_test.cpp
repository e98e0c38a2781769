#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = FromMicros(1'000'000);

slot_request ReadRequest(std::uint64_t id, duration objective) {
  return {.id = id,
          .deadline_left = objective * 4,
          .objective_left = objective,
          .objective = objective};
}

}  // namespace

class slot_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slot_gate_test);
  CPPUNIT_TEST(Offer_SlotsFree_Starts);
  CPPUNIT_TEST(Offer_SlotsTaken_WaitsUntilOneIsFree);
  CPPUNIT_TEST(Offer_QueueTooLong_IsRefusedAtOnce);
  CPPUNIT_TEST(Offer_LateRequest_WaitsNoLongerThanAPromptRefusal);
  CPPUNIT_TEST(StartNext_MixedObjectives_MostUrgentFirst);
  CPPUNIT_TEST(StartNext_NestedCall_WaitsUpToItsDeadline);
  CPPUNIT_TEST(Remove_CallerCancelled_RequestDoesNotStart);
  CPPUNIT_TEST(SetSlots_FewerThanRunning_NoRequestStarts);
  CPPUNIT_TEST(Gate_AnySchedule_RespectsItsLimitAndLosesNoRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Offer_SlotsFree_Starts() {
    slot_gate gate(10);
    CPPUNIT_ASSERT(gate.Offer(ReadRequest(1, milliseconds(100)), kStart) == slot_verdict::kStart);
    CPPUNIT_ASSERT_EQUAL(1U, gate.running());
  }

  void Offer_SlotsTaken_WaitsUntilOneIsFree() {
    slot_gate gate(2);
    CPPUNIT_ASSERT_EQUAL(1U, gate.limit());
    CPPUNIT_ASSERT(gate.Offer(ReadRequest(1, milliseconds(200)), kStart) == slot_verdict::kStart);
    CPPUNIT_ASSERT(gate.Offer(ReadRequest(2, milliseconds(200)), kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(!gate.StartNext(kStart));
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, gate.StartNext(kStart + milliseconds(20)).value());
  }

  // Guards against requests waiting in a full queue when they can only be late. Refused at once,
  // their clients can try again in time.
  void Offer_QueueTooLong_IsRefusedAtOnce() {
    slot_gate gate(2);
    gate.Offer(ReadRequest(1, milliseconds(100)), kStart);
    std::uint64_t first_refused_id = 0;
    for (std::uint64_t id = 2; id < 40 && first_refused_id == 0; ++id) {
      if (gate.Offer(ReadRequest(id, milliseconds(100)), kStart) == slot_verdict::kRefuse) {
        first_refused_id = id;
      }
    }
    // An objective of 100 ms allows for the request's own run, 30 ms at most, and three runs of
    // 20 ms before it.
    CPPUNIT_ASSERT(first_refused_id >= 4);
    CPPUNIT_ASSERT(first_refused_id <= 6);
  }

  void Offer_LateRequest_WaitsNoLongerThanAPromptRefusal() {
    slot_gate gate(2);
    gate.Offer(ReadRequest(1, milliseconds(400)), kStart);
    slot_request late = ReadRequest(2, milliseconds(400));
    late.objective_left = milliseconds(-50);
    CPPUNIT_ASSERT(gate.Offer(late, kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(gate.TakeExpired(kStart + milliseconds(49)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gate.TakeExpired(kStart + milliseconds(51)).size());
  }

  void StartNext_MixedObjectives_MostUrgentFirst() {
    slot_gate gate(2);
    gate.Offer(ReadRequest(1, milliseconds(500)), kStart);
    gate.Offer(ReadRequest(2, milliseconds(500)), kStart);
    gate.Offer(ReadRequest(3, milliseconds(120)), kStart + milliseconds(1));
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, gate.StartNext(kStart + milliseconds(20)).value());
  }

  // Guards against refusing a nested call because its own short objective is missed. The refusal
  // would fail the calling request, whose other work is done already.
  void StartNext_NestedCall_WaitsUpToItsDeadline() {
    slot_gate gate(2);
    gate.Offer(ReadRequest(1, milliseconds(100)), kStart);
    slot_request nested = ReadRequest(2, milliseconds(100));
    nested.nested = true;
    nested.objective_left = milliseconds(-10);
    CPPUNIT_ASSERT(gate.Offer(nested, kStart) == slot_verdict::kWait);
    CPPUNIT_ASSERT(gate.TakeExpired(kStart + milliseconds(300)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gate.TakeExpired(kStart + milliseconds(401)).size());
  }

  void Remove_CallerCancelled_RequestDoesNotStart() {
    slot_gate gate(2);
    gate.Offer(ReadRequest(1, milliseconds(200)), kStart);
    gate.Offer(ReadRequest(2, milliseconds(200)), kStart);
    CPPUNIT_ASSERT(gate.Remove(2));
    CPPUNIT_ASSERT(!gate.Remove(2));
    gate.Finish(milliseconds(20));
    CPPUNIT_ASSERT(!gate.StartNext(kStart));
  }

  void SetSlots_FewerThanRunning_NoRequestStarts() {
    slot_gate gate(100);
    for (std::uint64_t id = 1; id <= 50; ++id) {
      gate.Offer(ReadRequest(id, milliseconds(500)), kStart);
    }
    gate.SetSlots(10);
    CPPUNIT_ASSERT(gate.Offer(ReadRequest(51, milliseconds(500)), kStart) != slot_verdict::kStart);
  }

  // Requests arrive, finish and expire in any order. Guards against assigning a slot twice, which
  // overloads the backend server, and against losing a waiting request, whose client would then
  // wait until its own timeout.
  void Gate_AnySchedule_RespectsItsLimitAndLosesNoRequest() {
    CheckProperty("gate keeps its limit and every request", [](std::uint64_t seed) {
      random_source random(seed);
      slot_gate gate(static_cast<std::uint32_t>(2 + random.Below(20)));
      std::map<std::uint64_t, int> waiting_ids;
      std::uint32_t running = 0;
      instant now = kStart;
      for (std::uint64_t id = 1; id < 300; ++id) {
        now += duration(static_cast<duration::rep>(random.Below(8'000)));
        const auto objective = milliseconds(10 + random.Below(300));
        const slot_verdict verdict = gate.Offer(ReadRequest(id, objective), now);
        running += verdict == slot_verdict::kStart ? 1 : 0;
        if (verdict == slot_verdict::kWait) {
          waiting_ids[id] = 1;
        }
        for (const std::uint64_t expired : gate.TakeExpired(now)) {
          RC_ASSERT(waiting_ids.erase(expired) == 1U);
        }
        if (running > 0 && random.Below(3) != 0) {
          --running;
          gate.Finish(duration(static_cast<duration::rep>(random.Below(40'000))));
        }
        while (const auto next = gate.StartNext(now)) {
          RC_ASSERT(waiting_ids.erase(*next) == 1U);
          ++running;
        }
        RC_ASSERT(gate.running() == running);
        RC_ASSERT(running <= gate.limit());
        RC_ASSERT(gate.waiting() == waiting_ids.size());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_gate_test);

}  // namespace cuminferry::testing
