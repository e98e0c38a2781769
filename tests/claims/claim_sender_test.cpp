#include "cuminferry_policy/claims/claim_sender.h"

#include "support/property.h"

namespace cuminferry::testing {
namespace {

using enum claim_action::kind;

constexpr instant kStart = FromMicros(5'000'000);
constexpr instant kDeadline = kStart + std::chrono::seconds(5);
constexpr std::chrono::milliseconds kShortDelay{10};

}  // namespace

class claim_sender_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_sender_test);
  CPPUNIT_TEST(Call_Answered_EndsCompleted);
  CPPUNIT_TEST(Call_RefusedForOverload_EndsNotRunAtOnce);
  CPPUNIT_TEST(Call_RefusedByInstance_RebindsOnce);
  CPPUNIT_TEST(Call_RefusedByInstanceWithoutTable_Rebinds);
  CPPUNIT_TEST(SharedTicket_RefusedByInstance_DoesNotRebind);
  CPPUNIT_TEST(Call_RunningOnHealthyConnection_IsQueriedRarely);
  CPPUNIT_TEST(Connection_Lost_QueriesAtMostOncePerInterval);
  CPPUNIT_TEST(Query_HomeNeverSawTicket_ResendsSameTicket);
  CPPUNIT_TEST(Query_BodyDiscarded_Revokes);
  CPPUNIT_TEST(Deadline_Near_RevokesAndThenEndsUnknown);
  CPPUNIT_TEST(Home_Gone_EndsUnknownAtOnce);
  CPPUNIT_TEST(Home_Restarted_EndsUnknownAtOnce);
  CPPUNIT_TEST(Call_NotSent_Rebinds);
  CPPUNIT_TEST(Caller_Disconnected_RevokesAndEnds);
  CPPUNIT_TEST(Reply_ToOldTicket_IsIgnored);
  CPPUNIT_TEST(Sender_AnyEvents_EndsOnceByDeadline);
  CPPUNIT_TEST_SUITE_END();

  static claim_sender MakeSender() { return claim_sender({.deadline = kDeadline, .sender = 3}); }

  claim_actions Bind(claim_sender& sender, instant now = kStart) {
    return sender.Bind({{1, 1}, 9, 4}, now, random_);
  }

  static claim_action OnlyAction(const claim_actions& actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    return actions.front();
  }

  static void AssertOutcome(claim_outcome outcome, result_code code, const claim_actions& actions) {
    const claim_action action = OnlyAction(actions);
    CPPUNIT_ASSERT(action.type == kReportOutcome && action.outcome == outcome);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(action.code));
  }

  random_source random_{1};

 public:
  void Call_Answered_EndsCompleted() {
    claim_sender sender = MakeSender();
    const claim_action sent = OnlyAction(Bind(sender));
    CPPUNIT_ASSERT(sent.type == kSend && sent.ticket.id.window == 4);
    AssertOutcome(claim_outcome::kCompleted, result_code::kOk,
                  sender.OnReply(sent.ticket, claim_state::kCompleted, result_code::kOk, kStart));
  }

  void Call_RefusedForOverload_EndsNotRunAtOnce() {
    claim_sender sender = MakeSender();
    Bind(sender);
    AssertOutcome(claim_outcome::kNotRun, result_code::kRefusedOverload,
                  sender.OnReply(sender.ticket(), claim_state::kTombstone,
                                 result_code::kRefusedOverload, kStart));
  }

  void Call_RefusedByInstance_RebindsOnce() {
    claim_sender sender = MakeSender();
    const claim_ticket first = OnlyAction(Bind(sender)).ticket;
    CPPUNIT_ASSERT(OnlyAction(sender.OnReply(first, claim_state::kTombstone,
                                             result_code::kRefusedDraining, kStart))
                       .type == kRebind);
    CPPUNIT_ASSERT(OnlyAction(Bind(sender)).ticket != first);
    AssertOutcome(claim_outcome::kNotRun, result_code::kRefusedDraining,
                  sender.OnReply(sender.ticket(), claim_state::kTombstone,
                                 result_code::kRefusedDraining, kStart));
  }

  // One of several instances that were just replaced has no policy table yet. The call must go to
  // another instance instead of failing.
  void Call_RefusedByInstanceWithoutTable_Rebinds() {
    claim_sender sender = MakeSender();
    const claim_ticket first = OnlyAction(Bind(sender)).ticket;
    const claim_actions actions =
        sender.OnReply(first, claim_state::kTombstone, result_code::kNoTableYet, kStart);
    CPPUNIT_ASSERT(OnlyAction(actions).type == kRebind);
  }

  // A caller retries through two nodes with one ticket, and the home instance refuses it. If both
  // nodes bound the call to other instances, it would run twice.
  void SharedTicket_RefusedByInstance_DoesNotRebind() {
    claim_sender sender = MakeSender();
    sender.Resume({{1, 1}, {9, 4, 1, 1}}, kStart);
    AssertOutcome(claim_outcome::kNotRun, result_code::kRefusedInstanceOnly,
                  sender.OnReply(sender.ticket(), claim_state::kTombstone,
                                 result_code::kRefusedInstanceOnly, kStart));
  }

  // A long call on a healthy connection must not cause frequent queries.
  void Call_RunningOnHealthyConnection_IsQueriedRarely() {
    claim_sender sender = MakeSender();
    const claim_ticket ticket = OnlyAction(Bind(sender)).ticket;
    const instant first = sender.NextTick();
    sender.Tick(first);
    sender.OnReply(ticket, claim_state::kRunning, result_code::kTicketRunning, first);
    CPPUNIT_ASSERT(sender.NextTick() == first + std::chrono::seconds(2));
    sender.OnConnectionLost(ticket, first + std::chrono::seconds(1));
    sender.OnReply(ticket, claim_state::kRunning, result_code::kTicketRunning,
                   first + std::chrono::seconds(1));
    CPPUNIT_ASSERT(sender.NextTick() < first + std::chrono::seconds(2));
  }

  // The connection of a call becomes silent. If the call were sent to another instance it could run
  // twice, so its home instance is queried. An unreachable home instance loses each connection at
  // once; the query interval must still be respected.
  void Connection_Lost_QueriesAtMostOncePerInterval() {
    claim_sender sender = MakeSender();
    const claim_ticket ticket = OnlyAction(Bind(sender)).ticket;
    const claim_action query = OnlyAction(sender.OnConnectionLost(ticket, kStart + kShortDelay));
    CPPUNIT_ASSERT(query.type == kQuery && !query.revoke && query.ticket == ticket);
    CPPUNIT_ASSERT(sender.OnConnectionLost(ticket, kStart + 2 * kShortDelay).empty());
    CPPUNIT_ASSERT(OnlyAction(sender.Tick(sender.NextTick())).type == kQuery);
    CPPUNIT_ASSERT(
        sender.OnReply(ticket, claim_state::kRunning, result_code::kTicketRunning, kStart).empty());
  }

  void Query_HomeNeverSawTicket_ResendsSameTicket() {
    claim_sender sender = MakeSender();
    const claim_ticket ticket = OnlyAction(Bind(sender)).ticket;
    const claim_action resent = OnlyAction(
        sender.OnReply(ticket, claim_state::kNeverSeen, result_code::kOk, kStart + kShortDelay));
    CPPUNIT_ASSERT(resent.type == kSend && resent.ticket == ticket);
  }

  void Query_BodyDiscarded_Revokes() {
    claim_sender sender = MakeSender();
    const claim_ticket ticket = OnlyAction(Bind(sender)).ticket;
    sender.OnBodyDiscarded();
    const instant query_time = sender.NextTick();
    CPPUNIT_ASSERT(!OnlyAction(sender.Tick(query_time)).revoke);
    const claim_action query = OnlyAction(sender.OnConnectionLost(ticket, sender.NextTick()));
    CPPUNIT_ASSERT(query.type == kQuery && query.revoke);
    AssertOutcome(
        claim_outcome::kNotRun, result_code::kTicketRevoked,
        sender.OnReply(ticket, claim_state::kTombstone, result_code::kTicketRevoked, kStart));
  }

  // The home instance does not answer. Shortly before the deadline a query revokes the call. If it
  // gets no answer either, the outcome must be kUnknown and not kNotRun.
  void Deadline_Near_RevokesAndThenEndsUnknown() {
    claim_sender sender = MakeSender();
    Bind(sender);
    bool revoked = false;
    while (sender.NextTick() < kDeadline) {
      const claim_action action = OnlyAction(sender.Tick(sender.NextTick()));
      CPPUNIT_ASSERT(action.type == kQuery);
      revoked = action.revoke;
    }
    CPPUNIT_ASSERT(revoked);
    AssertOutcome(claim_outcome::kUnknown, result_code::kDeadlineExceeded, sender.Tick(kDeadline));
  }

  void Home_Gone_EndsUnknownAtOnce() {
    claim_sender sender = MakeSender();
    Bind(sender);
    AssertOutcome(claim_outcome::kUnknown, result_code::kTicketHomeUnreachable,
                  sender.OnHomeGone(sender.ticket(), kStart + kShortDelay));
  }

  // The home instance restarted and may have handed the call over before. The new process has no
  // record of the call, so its refusal does not prove that the call did not run.
  void Home_Restarted_EndsUnknownAtOnce() {
    claim_sender sender = MakeSender();
    Bind(sender);
    AssertOutcome(claim_outcome::kUnknown, result_code::kTicketOtherIncarnation,
                  sender.OnReply(sender.ticket(), claim_state::kRefused,
                                 result_code::kTicketOtherIncarnation, kStart));
  }

  void Call_NotSent_Rebinds() {
    claim_sender sender = MakeSender();
    const claim_ticket ticket = OnlyAction(Bind(sender)).ticket;
    CPPUNIT_ASSERT(OnlyAction(sender.OnNotSent(ticket, kStart)).type == kRebind);
    AssertOutcome(claim_outcome::kNotRun, result_code::kNoTarget,
                  sender.OnNoTarget(result_code::kNoTarget, kStart));
  }

  void Caller_Disconnected_RevokesAndEnds() {
    claim_sender sender = MakeSender();
    Bind(sender);
    const claim_actions actions = sender.OnCallerGone(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
    CPPUNIT_ASSERT(actions[0].type == kQuery && actions[0].revoke);
    CPPUNIT_ASSERT(actions[1].outcome == claim_outcome::kUnknown);
    CPPUNIT_ASSERT(sender.ended() && sender.Tick(kDeadline).empty());
  }

  void Reply_ToOldTicket_IsIgnored() {
    claim_sender sender = MakeSender();
    const claim_ticket first = OnlyAction(Bind(sender)).ticket;
    sender.OnReply(first, claim_state::kTombstone, result_code::kRefusedInstanceOnly, kStart);
    Bind(sender);
    CPPUNIT_ASSERT(
        sender.OnReply(first, claim_state::kTombstone, result_code::kRefusedOverload, kStart)
            .empty());
    CPPUNIT_ASSERT(!sender.ended());
  }

  // A caller that receives no outcome, or two outcomes, may send its call again.
  void Sender_AnyEvents_EndsOnceByDeadline() {
    CheckProperty("one outcome, by the deadline", [](std::uint64_t seed) {
      random_source random(seed);
      claim_sender sender = MakeSender();
      int outcomes = 0;
      const auto count_outcomes = [&outcomes](const claim_actions& actions) {
        for (const claim_action& each : actions) {
          outcomes += each.type == kReportOutcome;
        }
        return !actions.empty() && actions.back().type == kRebind;
      };
      count_outcomes(sender.Bind({{1, 1}, 9, 4}, kStart, random));
      instant now = kStart;
      for (int step = 0; step < 40; ++step) {
        now += std::chrono::milliseconds(random.Below(300));
        const claim_ticket ticket = sender.ticket();
        const auto state = static_cast<claim_state>(random.Below(8));
        claim_actions actions;
        switch (random.Below(5)) {
          case 0:
            actions = sender.OnReply(ticket, state, result_code::kRefusedInstanceOnly, now);
            break;
          case 1:
            actions = sender.OnConnectionLost(ticket, now);
            break;
          case 2:
            actions = sender.OnNotSent(ticket, now);
            break;
          default:
            actions = sender.Tick(now);
        }
        if (count_outcomes(actions)) {
          count_outcomes(sender.Bind({{2, 1}, 8, 4}, now, random));
        }
      }
      count_outcomes(sender.Tick(kDeadline));
      RC_ASSERT(outcomes == 1);
      RC_ASSERT(sender.ended());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_sender_test);

}  // namespace cuminferry::testing
