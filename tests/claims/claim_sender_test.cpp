#include "cuminferry_policy/claims/claim_sender.h"

#include "support/property.h"

namespace cuminferry::testing {
namespace {

using enum claim_action::kind;

constexpr instant kStart = FromMicros(5'000'000);
constexpr instant kDeadline = kStart + std::chrono::seconds(5);
constexpr std::chrono::milliseconds kSoon{10};

}  // namespace

class claim_sender_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_sender_test);
  CPPUNIT_TEST(Call_Answered_EndsCompleted);
  CPPUNIT_TEST(Call_RefusedForOverload_EndsNotRunAtOnce);
  CPPUNIT_TEST(Call_RefusedByInstance_BindsAnewOnce);
  CPPUNIT_TEST(Call_RefusedByInstanceWithoutTable_BindsAnew);
  CPPUNIT_TEST(SharedTicket_RefusedByInstance_IsNotBoundAnew);
  CPPUNIT_TEST(Call_RunsOnAGoodConnection_IsAskedAboutSeldom);
  CPPUNIT_TEST(Connection_Lost_AsksOverANewOneAndNotTooOften);
  CPPUNIT_TEST(Question_HomeNeverSawIt_SendsTheSameTicketAgain);
  CPPUNIT_TEST(Question_BodyGone_Revokes);
  CPPUNIT_TEST(Time_Short_RevokesAndThenEndsUnknown);
  CPPUNIT_TEST(Home_Gone_EndsUnknownAtOnce);
  CPPUNIT_TEST(Home_Restarted_EndsUnknownAtOnce);
  CPPUNIT_TEST(Call_NeverLeft_BindsAnew);
  CPPUNIT_TEST(Caller_Gone_RevokesAndEnds);
  CPPUNIT_TEST(Reply_ToAnOldTicket_IsIgnored);
  CPPUNIT_TEST(Sender_AnyEvents_EndsOnceAndByTheDeadline);
  CPPUNIT_TEST_SUITE_END();

  static claim_sender Made() { return claim_sender({.deadline = kDeadline, .sender = 3}); }

  claim_actions Bind(claim_sender& sender, instant now = kStart) {
    return sender.Bind({{1, 1}, 9, 4}, now, random_);
  }

  static claim_action Only(const claim_actions& actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    return actions.front();
  }

  static void AssertEnd(claim_end end, result_code code, const claim_actions& actions) {
    const claim_action action = Only(actions);
    CPPUNIT_ASSERT(action.what == kEnd && action.end == end);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(action.code));
  }

  random_source random_{1};

 public:
  void Call_Answered_EndsCompleted() {
    claim_sender sender = Made();
    const claim_action sent = Only(Bind(sender));
    CPPUNIT_ASSERT(sent.what == kSend && sent.ticket.id.window == 4);
    AssertEnd(claim_end::kCompleted, result_code::kOk,
              sender.Heard(sent.ticket, claim_state::kCompleted, result_code::kOk, kStart));
  }

  void Call_RefusedForOverload_EndsNotRunAtOnce() {
    claim_sender sender = Made();
    Bind(sender);
    AssertEnd(claim_end::kNotRun, result_code::kRefusedOverload,
              sender.Heard(sender.ticket(), claim_state::kTombstone, result_code::kRefusedOverload,
                           kStart));
  }

  void Call_RefusedByInstance_BindsAnewOnce() {
    claim_sender sender = Made();
    const claim_ticket first = Only(Bind(sender)).ticket;
    CPPUNIT_ASSERT(
        Only(sender.Heard(first, claim_state::kTombstone, result_code::kRefusedDraining, kStart))
            .what == kRebind);
    CPPUNIT_ASSERT(Only(Bind(sender)).ticket != first);
    AssertEnd(claim_end::kNotRun, result_code::kRefusedDraining,
              sender.Heard(sender.ticket(), claim_state::kTombstone, result_code::kRefusedDraining,
                           kStart));
  }

  // Of instances that have just been replaced, one has no table yet. The permit
  // goes to another one instead of being refused.
  void Call_RefusedByInstanceWithoutTable_BindsAnew() {
    claim_sender sender = Made();
    const claim_ticket first = Only(Bind(sender)).ticket;
    const claim_actions actions =
        sender.Heard(first, claim_state::kTombstone, result_code::kNoTableYet, kStart);
    CPPUNIT_ASSERT(Only(actions).what == kRebind);
  }

  // A caller tries again through two nodes with one ticket, and the home
  // refuses it. If both nodes went on to other instances, both would file.
  void SharedTicket_RefusedByInstance_IsNotBoundAnew() {
    claim_sender sender = Made();
    sender.Resume({{1, 1}, {9, 4, 1, 1}}, kStart);
    AssertEnd(claim_end::kNotRun, result_code::kRefusedInstanceOnly,
              sender.Heard(sender.ticket(), claim_state::kTombstone,
                           result_code::kRefusedInstanceOnly, kStart));
  }

  // A filing takes its time on a good connection: its home is not pestered.
  void Call_RunsOnAGoodConnection_IsAskedAboutSeldom() {
    claim_sender sender = Made();
    const claim_ticket ticket = Only(Bind(sender)).ticket;
    const instant first = sender.NextTick();
    sender.Tick(first);
    sender.Heard(ticket, claim_state::kRunning, result_code::kTicketRunning, first);
    CPPUNIT_ASSERT(sender.NextTick() == first + std::chrono::seconds(2));
    sender.ConnectionLost(ticket, first + std::chrono::seconds(1));
    sender.Heard(ticket, claim_state::kRunning, result_code::kTicketRunning,
                 first + std::chrono::seconds(1));
    CPPUNIT_ASSERT(sender.NextTick() < first + std::chrono::seconds(2));
  }

  // The connection goes silent with a filing on it. Sent again elsewhere it
  // could run twice; so its home is asked, but a home out of reach, which loses
  // each connection at once, is not asked in an endless hurry.
  void Connection_Lost_AsksOverANewOneAndNotTooOften() {
    claim_sender sender = Made();
    const claim_ticket ticket = Only(Bind(sender)).ticket;
    const claim_action asked = Only(sender.ConnectionLost(ticket, kStart + kSoon));
    CPPUNIT_ASSERT(asked.what == kAsk && !asked.revoke && asked.ticket == ticket);
    CPPUNIT_ASSERT(sender.ConnectionLost(ticket, kStart + 2 * kSoon).empty());
    CPPUNIT_ASSERT(Only(sender.Tick(sender.NextTick())).what == kAsk);
    CPPUNIT_ASSERT(
        sender.Heard(ticket, claim_state::kRunning, result_code::kTicketRunning, kStart).empty());
  }

  void Question_HomeNeverSawIt_SendsTheSameTicketAgain() {
    claim_sender sender = Made();
    const claim_ticket ticket = Only(Bind(sender)).ticket;
    const claim_action again =
        Only(sender.Heard(ticket, claim_state::kNeverSeen, result_code::kOk, kStart + kSoon));
    CPPUNIT_ASSERT(again.what == kSend && again.ticket == ticket);
  }

  void Question_BodyGone_Revokes() {
    claim_sender sender = Made();
    const claim_ticket ticket = Only(Bind(sender)).ticket;
    sender.BodyGone();
    const instant silent = sender.NextTick();
    CPPUNIT_ASSERT(!Only(sender.Tick(silent)).revoke);
    const claim_action asked = Only(sender.ConnectionLost(ticket, sender.NextTick()));
    CPPUNIT_ASSERT(asked.what == kAsk && asked.revoke);
    AssertEnd(claim_end::kNotRun, result_code::kTicketRevoked,
              sender.Heard(ticket, claim_state::kTombstone, result_code::kTicketRevoked, kStart));
  }

  // Nobody answers. Just before the deadline the home is asked to make sure
  // that the filing never runs; if that gets no answer either, the farmer must
  // hear "unknown", not "not run".
  void Time_Short_RevokesAndThenEndsUnknown() {
    claim_sender sender = Made();
    Bind(sender);
    bool revoked = false;
    while (sender.NextTick() < kDeadline) {
      const claim_action action = Only(sender.Tick(sender.NextTick()));
      CPPUNIT_ASSERT(action.what == kAsk);
      revoked = action.revoke;
    }
    CPPUNIT_ASSERT(revoked);
    AssertEnd(claim_end::kUnknown, result_code::kDeadlineExceeded, sender.Tick(kDeadline));
  }

  void Home_Gone_EndsUnknownAtOnce() {
    claim_sender sender = Made();
    Bind(sender);
    AssertEnd(claim_end::kUnknown, result_code::kTicketHomeUnreachable,
              sender.HomeGone(sender.ticket(), kStart + kSoon));
  }

  // The home restarted after it may have handed the filing over. The new
  // process knows nothing, and its refusal is no proof that nothing ran.
  void Home_Restarted_EndsUnknownAtOnce() {
    claim_sender sender = Made();
    Bind(sender);
    AssertEnd(claim_end::kUnknown, result_code::kTicketOtherIncarnation,
              sender.Heard(sender.ticket(), claim_state::kRefused,
                           result_code::kTicketOtherIncarnation, kStart));
  }

  void Call_NeverLeft_BindsAnew() {
    claim_sender sender = Made();
    const claim_ticket ticket = Only(Bind(sender)).ticket;
    CPPUNIT_ASSERT(Only(sender.NotSent(ticket, kStart)).what == kRebind);
    AssertEnd(claim_end::kNotRun, result_code::kNoTarget,
              sender.NoTarget(result_code::kNoTarget, kStart));
  }

  void Caller_Gone_RevokesAndEnds() {
    claim_sender sender = Made();
    Bind(sender);
    const claim_actions actions = sender.CallerGone(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
    CPPUNIT_ASSERT(actions[0].what == kAsk && actions[0].revoke);
    CPPUNIT_ASSERT(actions[1].end == claim_end::kUnknown);
    CPPUNIT_ASSERT(sender.ended() && sender.Tick(kDeadline).empty());
  }

  void Reply_ToAnOldTicket_IsIgnored() {
    claim_sender sender = Made();
    const claim_ticket first = Only(Bind(sender)).ticket;
    sender.Heard(first, claim_state::kTombstone, result_code::kRefusedInstanceOnly, kStart);
    Bind(sender);
    CPPUNIT_ASSERT(
        sender.Heard(first, claim_state::kTombstone, result_code::kRefusedOverload, kStart)
            .empty());
    CPPUNIT_ASSERT(!sender.ended());
  }

  // A caller that never hears of its filing, or hears twice, files again.
  void Sender_AnyEvents_EndsOnceAndByTheDeadline() {
    CheckProperty("one end, by the deadline", [](std::uint64_t seed) {
      random_source random(seed);
      claim_sender sender = Made();
      int ends = 0;
      const auto count = [&ends](const claim_actions& actions) {
        for (const claim_action& each : actions) {
          ends += each.what == kEnd;
        }
        return !actions.empty() && actions.back().what == kRebind;
      };
      count(sender.Bind({{1, 1}, 9, 4}, kStart, random));
      instant now = kStart;
      for (int step = 0; step < 40; ++step) {
        now += std::chrono::milliseconds(random.Below(300));
        const claim_ticket ticket = sender.ticket();
        const auto state = static_cast<claim_state>(random.Below(8));
        claim_actions actions;
        switch (random.Below(5)) {
          case 0:
            actions = sender.Heard(ticket, state, result_code::kRefusedInstanceOnly, now);
            break;
          case 1:
            actions = sender.ConnectionLost(ticket, now);
            break;
          case 2:
            actions = sender.NotSent(ticket, now);
            break;
          default:
            actions = sender.Tick(now);
        }
        if (count(actions)) {
          count(sender.Bind({{2, 1}, 8, 4}, now, random));
        }
      }
      count(sender.Tick(kDeadline));
      RC_ASSERT(ends == 1);
      RC_ASSERT(sender.ended());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_sender_test);

}  // namespace cuminferry::testing
