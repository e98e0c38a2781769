#include "cuminferry_policy/claims/claim_book.h"

#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr instant kStart = FromMicros(5'000'000);
constexpr std::chrono::seconds kWindow{60};

claim_book::options Small() {
  return {.incarnation = 9,
          .window_length = kWindow,
          .windows_kept = 3,
          .windows_remembered = 2,
          .ticket_bound = 3,
          .answer_bytes_bound = 2 * claim_book::kBytesPerAnswer + 10};
}

claim_id Claim(std::uint32_t window, std::uint64_t nonce) { return {9, window, nonce, ~nonce}; }

void AssertState(claim_state state, result_code code, const claim_report& report) {
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(state), static_cast<int>(report.state));
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(report.code));
}

}  // namespace

class claim_book_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_book_test);
  CPPUNIT_TEST(Begin_SecondCopy_GetsTheFirstOnesAnswer);
  CPPUNIT_TEST(Ask_TicketAges_GoesFromMayRunToNotRunToForgotten);
  CPPUNIT_TEST(Ask_WindowToCome_PromisesNothing);
  CPPUNIT_TEST(Turn_CallStillRuns_IsNotForgotten);
  CPPUNIT_TEST(Begin_BookFull_ClosesItsWindowsUntilTheyTurn);
  CPPUNIT_TEST(Revoke_BookFull_IsATombstoneAllTheSame);
  CPPUNIT_TEST(Refuse_BeforeItIsWeighed_LeavesATombstone);
  CPPUNIT_TEST(Complete_AnswersOverTheBound_GoOldestFirst);
  CPPUNIT_TEST(Complete_AnswerLargerThanAll_IsForgottenAtOnce);
  CPPUNIT_TEST(Book_AnyTickets_StaysWithinItsBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Begin_SecondCopy_GetsTheFirstOnesAnswer() {
    claim_book book(Small(), kStart);
    const claim_id claim = Claim(1, 1);
    AssertState(claim_state::kNeverSeen, result_code::kOk, book.Begin(claim, kStart));
    AssertState(claim_state::kWaiting, result_code::kTicketRunning, book.Begin(claim, kStart));
    CPPUNIT_ASSERT(book.HandOver(claim, kStart));
    CPPUNIT_ASSERT(!book.HandOver(claim, kStart));
    book.Complete(claim, "permit", kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("permit"), book.Begin(claim, kStart).answer);
  }

  // A copy of a filing is held in the network for minutes. While the home
  // remembers the filing's window it can say for sure that it did not run;
  // later it can't, and "not run" would be a guess.
  void Ask_TicketAges_GoesFromMayRunToNotRunToForgotten() {
    claim_book book(Small(), kStart);
    const auto ask = [&](int windows) { return book.Ask(Claim(1, 1), kStart + windows * kWindow); };
    AssertState(claim_state::kNeverSeen, result_code::kOk, ask(2));
    AssertState(claim_state::kTombstone, result_code::kTicketExpired, ask(3));
    AssertState(claim_state::kTombstone, result_code::kTicketExpired, ask(4));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten, ask(5));
    AssertState(claim_state::kRefused, result_code::kTicketOtherIncarnation,
                book.Ask({8, 6, 1, 1}, kStart + 5 * kWindow));
  }

  // Somebody forges a ticket of a window that has not begun. "Not run, ever"
  // would become false as soon as the window comes.
  void Ask_WindowToCome_PromisesNothing() {
    claim_book book(Small(), kStart);
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                book.Revoke(Claim(2, 1), kStart));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                book.Begin(Claim(0, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.tickets());
  }

  // A filing waits or runs longer than its window is remembered, because the
  // process was paused. Forgotten, its late copy would file a second permit.
  void Turn_CallStillRuns_IsNotForgotten() {
    claim_book book(Small(), kStart);
    const claim_id running = Claim(1, 1);
    const claim_id waiting = Claim(1, 2);
    book.Begin(running, kStart);
    book.Begin(waiting, kStart);
    book.HandOver(running, kStart);
    const instant late = kStart + 20 * kWindow;
    AssertState(claim_state::kRunning, result_code::kTicketRunning, book.Begin(running, late));
    AssertState(claim_state::kTombstone, result_code::kTicketRevoked, book.Revoke(waiting, late));
    CPPUNIT_ASSERT(!book.HandOver(waiting, late));
    book.Complete(running, "permit", late);
    AssertState(claim_state::kCompleted, result_code::kOk, book.Ask(running, late + 4 * kWindow));
    AssertState(claim_state::kRefused, result_code::kTicketForgotten,
                book.Ask(running, late + 5 * kWindow));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.tickets());
  }

  // The book is full, and a filing is refused for that. Its second copy arrives
  // when there is room again: the farmer was told "not run" by then, and has
  // filed anew.
  void Begin_BookFull_ClosesItsWindowsUntilTheyTurn() {
    claim_book book(Small(), kStart);
    for (std::uint64_t nonce = 0; nonce < 3; ++nonce) {
      book.Begin(Claim(1, nonce), kStart);
      book.EndUnrun(Claim(1, nonce), result_code::kRefusedOverload, kStart);
    }
    const instant later = kStart + 4 * kWindow;
    AssertState(claim_state::kTombstone, result_code::kTicketTableFull,
                book.Begin(Claim(5, 7), later));
    const instant with_room = later + kWindow;
    AssertState(claim_state::kTombstone, result_code::kTicketExpired,
                book.Begin(Claim(5, 7), with_room));
    AssertState(claim_state::kNeverSeen, result_code::kOk, book.Begin(Claim(6, 7), with_room));
  }

  void Revoke_BookFull_IsATombstoneAllTheSame() {
    claim_book book(Small(), kStart);
    for (std::uint64_t nonce = 0; nonce < 3; ++nonce) {
      book.Begin(Claim(1, nonce), kStart);
    }
    AssertState(claim_state::kTombstone, result_code::kTicketTableFull,
                book.Revoke(Claim(1, 7), kStart));
    CPPUNIT_ASSERT(book.Begin(Claim(1, 7), kStart).state == claim_state::kTombstone);
  }

  // A node that has just started has no table and refuses a filing. A second copy
  // of it comes after the table: it must not run, as "not run" has been told. And
  // of one that runs already, the refusal of a second copy proves nothing.
  void Refuse_BeforeItIsWeighed_LeavesATombstone() {
    claim_book book(Small(), kStart);
    AssertState(claim_state::kTombstone, result_code::kNoTableYet,
                book.Refuse(Claim(1, 1), result_code::kNoTableYet, kStart));
    CPPUNIT_ASSERT(book.Begin(Claim(1, 1), kStart).state == claim_state::kTombstone);
    book.Begin(Claim(1, 2), kStart);
    book.HandOver(Claim(1, 2), kStart);
    AssertState(claim_state::kRunning, result_code::kTicketRunning,
                book.Refuse(Claim(1, 2), result_code::kNoTableYet, kStart));
    book.BreakOff(Claim(1, 2), result_code::kAnswerTooLarge, kStart);
    AssertState(claim_state::kBrokenOff, result_code::kAnswerTooLarge,
                book.Ask(Claim(1, 2), kStart));
  }

  void Complete_AnswersOverTheBound_GoOldestFirst() {
    claim_book book(Small(), kStart);
    const auto complete = [&](std::uint64_t nonce, const std::string& answer) {
      book.Begin(Claim(1, nonce), kStart);
      book.HandOver(Claim(1, nonce), kStart);
      book.Complete(Claim(1, nonce), answer, kStart);
    };
    complete(1, "123456");
    complete(2, "1234");
    CPPUNIT_ASSERT_EQUAL(Small().answer_bytes_bound, book.answer_bytes());
    complete(3, "1");
    AssertState(claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten,
                book.Begin(Claim(1, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("1234"), book.Ask(Claim(1, 2), kStart).answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, book.tickets());
  }

  void Complete_AnswerLargerThanAll_IsForgottenAtOnce() {
    claim_book book(Small(), kStart);
    book.Begin(Claim(1, 1), kStart);
    book.HandOver(Claim(1, 1), kStart);
    book.Complete(Claim(1, 1), std::string(Small().answer_bytes_bound, 'a'), kStart);
    AssertState(claim_state::kAnswerForgotten, result_code::kTicketAnswerForgotten,
                book.Ask(Claim(1, 1), kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, book.answer_bytes());
  }

  // Floods of tickets, forged ones among them, must not fill a node's memory.
  void Book_AnyTickets_StaysWithinItsBounds() {
    CheckProperty("tickets and answers stay bounded", [](std::uint64_t seed) {
      random_source random(seed);
      claim_book book(Small(), kStart);
      instant now = kStart;
      for (int step = 0; step < 300; ++step) {
        now += std::chrono::seconds(random.Below(50));
        const std::uint32_t window = book.Window(now);
        const claim_id claim =
            Claim(window + 1 - static_cast<std::uint32_t>(random.Below(5)), random.Below(9));
        const bool fresh = book.Begin(claim, now).state == claim_state::kNeverSeen;
        if (fresh && random.Below(3) != 0 && book.HandOver(claim, now)) {
          book.Complete(claim, std::string(random.Below(14), 'a'), now);
        } else if (random.Below(2) != 0) {
          book.Revoke(claim, now);
        }
        RC_ASSERT(book.tickets() <= Small().ticket_bound);
        RC_ASSERT(book.answer_bytes() <= Small().answer_bytes_bound);
      }
      book.Window(now + 10 * kWindow);
      RC_ASSERT(book.answer_bytes() == 0U);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_book_test);

}  // namespace cuminferry::testing
