#include "cuminferry_policy/claims/claim_registry.h"

#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr instant kStart = FromMicros(5'000'000);
constexpr std::chrono::seconds kWindow{60};

claim_registry::options SmallOptions() {
  return {.incarnation = 9,
          .window_length = kWindow,
          .windows_accepted = 3,
          .windows_retained = 2,
          .max_tickets = 3,
          .max_answer_bytes = 2 * claim_registry::kOverheadBytesPerAnswer + 10};
}

claim_id Claim(std::uint32_t window, std::uint64_t nonce) { return {9, window, nonce, ~nonce}; }

void AssertState(claim_state state, result_code code, const claim_report& report) {
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(state), static_cast<int>(report.state));
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(report.code));
}

}  // namespace

class claim_registry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_registry_test);
  CPPUNIT_TEST(Begin_SecondCopy_GetsFirstAnswer);
  CPPUNIT_TEST(Query_TicketAges_GoesFromMayRunToNotRunToForgotten);
  CPPUNIT_TEST(Query_FutureWindow_IsRefused);
  CPPUNIT_TEST(Window_CallStillRuns_IsNotForgotten);
  CPPUNIT_TEST(Begin_RegistryFull_ClosesWindowsUpToCurrent);
  CPPUNIT_TEST(Revoke_RegistryFull_ReportsTombstone);
  CPPUNIT_TEST(Refuse_BeforeAdmission_LeavesTombstone);
  CPPUNIT_TEST(Complete_AnswersOverMaximum_OldestAreEvicted);
  CPPUNIT_TEST(Complete_AnswerOverTotalMaximum_IsNotStored);
  CPPUNIT_TEST(Registry_AnyTickets_StaysWithinBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Begin_SecondCopy_GetsFirstAnswer() {
    claim_registry registry(SmallOptions(), kStart);
    const claim_id claim = Claim(1, 1);
    AssertState(claim_state::kNeverSeen, result_code::kOk, registry.Begin(claim, kStart));
    AssertState(claim_state::kWaiting, result_code::kTicketRunning, registry.Begin(claim, kStart));
    CPPUNIT_ASSERT(registry.HandOver(claim, kStart));
    CPPUNIT_ASSERT(!registry.HandOver(claim, kStart));
    registry.Complete(claim, "permit", kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("permit"), registry.Begin(claim, kStart).answer);
  }

  // The network holds a copy of a call for minutes. While the home instance retains the window of
  // the ticket, it can guarantee that the call did not run; afterwards it must not report
  // `not_run`.
  void Query_TicketAges_GoesFromMayRunToNotRunToForgotten() {
    claim_registry registry(SmallOptions(), kStart);
    const auto query = [&](int windows) {
      return registry.Query(Claim(1, 1), kStart + windows * kWindow);
    };
    AssertState(claim_state::kNeverSeen, result_code::kOk, query(2));
    AssertState(claim_state::kTombstone, result_code::kTicketExpired, query(3));
    AssertState(claim_state::kTombstone, result_code::kTicketExpired, query(4));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten, query(5));
    AssertState(claim_state::kRefused, result_code::kTicketOtherIncarnation,
                registry.Query({8, 6, 1, 1}, kStart + 5 * kWindow));
  }

  // A forged ticket names a window that has not begun. A tombstone for it would become false once
  // the window begins.
  void Query_FutureWindow_IsRefused() {
    claim_registry registry(SmallOptions(), kStart);
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                registry.Revoke(Claim(2, 1), kStart));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                registry.Begin(Claim(0, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.tickets());
  }

  // The process was paused, and a call waits or runs for longer than its window is retained. If the
  // registry removed it, a late copy would run a second time.
  void Window_CallStillRuns_IsNotForgotten() {
    claim_registry registry(SmallOptions(), kStart);
    const claim_id running = Claim(1, 1);
    const claim_id waiting = Claim(1, 2);
    registry.Begin(running, kStart);
    registry.Begin(waiting, kStart);
    registry.HandOver(running, kStart);
    const instant late = kStart + 20 * kWindow;
    AssertState(claim_state::kRunning, result_code::kTicketRunning, registry.Begin(running, late));
    AssertState(claim_state::kTombstone, result_code::kTicketRevoked,
                registry.Revoke(waiting, late));
    CPPUNIT_ASSERT(!registry.HandOver(waiting, late));
    registry.Complete(running, "permit", late);
    AssertState(claim_state::kCompleted, result_code::kOk,
                registry.Query(running, late + 4 * kWindow));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                registry.Query(running, late + 5 * kWindow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.tickets());
  }

  // The registry is full and refuses a call. Its second copy arrives when there is room again. It
  // must not run, because `not_run` was reported and the caller may have sent the call with another
  // ticket.
  void Begin_RegistryFull_ClosesWindowsUpToCurrent() {
    claim_registry registry(SmallOptions(), kStart);
    for (std::uint64_t nonce = 0; nonce < 3; ++nonce) {
      registry.Begin(Claim(1, nonce), kStart);
      registry.MarkNotRun(Claim(1, nonce), result_code::kRefusedOverload, kStart);
    }
    const instant later = kStart + 4 * kWindow;
    AssertState(claim_state::kTombstone, result_code::kTicketTableFull,
                registry.Begin(Claim(5, 7), later));
    const instant after_turn = later + kWindow;
    AssertState(claim_state::kTombstone, result_code::kTicketExpired,
                registry.Begin(Claim(5, 7), after_turn));
    AssertState(claim_state::kNeverSeen, result_code::kOk, registry.Begin(Claim(6, 7), after_turn));
  }

  void Revoke_RegistryFull_ReportsTombstone() {
    claim_registry registry(SmallOptions(), kStart);
    for (std::uint64_t nonce = 0; nonce < 3; ++nonce) {
      registry.Begin(Claim(1, nonce), kStart);
    }
    AssertState(claim_state::kTombstone, result_code::kTicketTableFull,
                registry.Revoke(Claim(1, 7), kStart));
    CPPUNIT_ASSERT(registry.Begin(Claim(1, 7), kStart).state == claim_state::kTombstone);
  }

  // A node without a policy table refuses a call. A second copy that arrives after the table must
  // not run, because `not_run` was reported. If the call runs already, refusing a second copy must
  // not change its state.
  void Refuse_BeforeAdmission_LeavesTombstone() {
    claim_registry registry(SmallOptions(), kStart);
    AssertState(claim_state::kTombstone, result_code::kNoTableYet,
                registry.Refuse(Claim(1, 1), result_code::kNoTableYet, kStart));
    CPPUNIT_ASSERT(registry.Begin(Claim(1, 1), kStart).state == claim_state::kTombstone);
    registry.Begin(Claim(1, 2), kStart);
    registry.HandOver(Claim(1, 2), kStart);
    AssertState(claim_state::kRunning, result_code::kTicketRunning,
                registry.Refuse(Claim(1, 2), result_code::kNoTableYet, kStart));
    registry.MarkAborted(Claim(1, 2), result_code::kAnswerTooLarge, kStart);
    AssertState(claim_state::kAborted, result_code::kAnswerTooLarge,
                registry.Query(Claim(1, 2), kStart));
  }

  void Complete_AnswersOverMaximum_OldestAreEvicted() {
    claim_registry registry(SmallOptions(), kStart);
    const auto complete = [&](std::uint64_t nonce, const std::string& answer) {
      registry.Begin(Claim(1, nonce), kStart);
      registry.HandOver(Claim(1, nonce), kStart);
      registry.Complete(Claim(1, nonce), answer, kStart);
    };
    complete(1, "123456");
    complete(2, "1234");
    CPPUNIT_ASSERT_EQUAL(SmallOptions().max_answer_bytes, registry.answer_bytes());
    complete(3, "1");
    AssertState(claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten,
                registry.Begin(Claim(1, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("1234"), registry.Query(Claim(1, 2), kStart).answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, registry.tickets());
  }

  void Complete_AnswerOverTotalMaximum_IsNotStored() {
    claim_registry registry(SmallOptions(), kStart);
    registry.Begin(Claim(1, 1), kStart);
    registry.HandOver(Claim(1, 1), kStart);
    registry.Complete(Claim(1, 1), std::string(SmallOptions().max_answer_bytes, 'a'), kStart);
    AssertState(claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten,
                registry.Query(Claim(1, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.answer_bytes());
  }

  // A flood of tickets, including forged ones, must not exhaust the memory of a node.
  void Registry_AnyTickets_StaysWithinBounds() {
    CheckProperty("tickets and answers stay bounded", [](std::uint64_t seed) {
      random_source random(seed);
      claim_registry registry(SmallOptions(), kStart);
      instant now = kStart;
      for (int step = 0; step < 300; ++step) {
        now += std::chrono::seconds(random.Below(50));
        const std::uint32_t window = registry.CurrentWindow(now);
        const claim_id claim =
            Claim(window + 1 - static_cast<std::uint32_t>(random.Below(5)), random.Below(9));
        const bool fresh = registry.Begin(claim, now).state == claim_state::kNeverSeen;
        if (fresh && random.Below(3) != 0 && registry.HandOver(claim, now)) {
          registry.Complete(claim, std::string(random.Below(14), 'a'), now);
        } else if (random.Below(2) != 0) {
          registry.Revoke(claim, now);
        }
        RC_ASSERT(registry.tickets() <= SmallOptions().max_tickets);
        RC_ASSERT(registry.answer_bytes() <= SmallOptions().max_answer_bytes);
      }
      registry.CurrentWindow(now + 10 * kWindow);
      RC_ASSERT(registry.answer_bytes() == 0U);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_registry_test);

}  // namespace cuminferry::testing
