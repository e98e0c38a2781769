#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace cuminferry::testing {

/** One deliberate mistake in the claim logic; tests must notice each. */
enum class claim_fault : std::uint8_t {
  kNone,
  // At the home.
  kWindowNotChecked,
  kIncarnationNotChecked,
  kIncarnationKeptOverRestart,
  kTombstoneSkipped,
  kRefusedWithoutTombstone,
  kHandOverAfterRevoke,
  kDuplicateRunsAgain,
  kPendingForgottenWithWindow,
  kEndedForgottenWithWindow,
  kFullBookForgets,
  kFullBookStaysOpen,
  kBrokenOffIsTombstone,
  kForgottenIsTombstone,
  kAnswerOfAnotherNonce,
  // At the sender.
  kBlindResend,
  kSilenceIsNotRun,
  kOtherIncarnationIsNotRun,
  kSharedTicketRebinds,
  kReplyToOldTicketCounts,
};

struct claim_fault_name {
  claim_fault fault;
  std::string_view name;
};

inline constexpr std::array<claim_fault_name, 19> kClaimFaults = {{
    {claim_fault::kWindowNotChecked, "window not checked"},
    {claim_fault::kIncarnationNotChecked, "incarnation not checked"},
    {claim_fault::kIncarnationKeptOverRestart, "incarnation kept over a restart"},
    {claim_fault::kTombstoneSkipped, "tombstone skipped"},
    {claim_fault::kRefusedWithoutTombstone, "refused before weighing, without a tombstone"},
    {claim_fault::kHandOverAfterRevoke, "hand-over after revoke"},
    {claim_fault::kDuplicateRunsAgain, "duplicate runs again"},
    {claim_fault::kPendingForgottenWithWindow, "waiting and running forgotten with their window"},
    {claim_fault::kEndedForgottenWithWindow, "ended forgotten before their window closes"},
    {claim_fault::kFullBookForgets, "full book forgets"},
    {claim_fault::kFullBookStaysOpen, "full book refuses without closing its windows"},
    {claim_fault::kBrokenOffIsTombstone, "broken off taken for not run"},
    {claim_fault::kForgottenIsTombstone, "forgotten window taken for not run"},
    {claim_fault::kAnswerOfAnotherNonce, "answer of another nonce"},
    {claim_fault::kBlindResend, "blind re-send to another home"},
    {claim_fault::kSilenceIsNotRun, "silence taken for not run"},
    {claim_fault::kOtherIncarnationIsNotRun, "other incarnation taken for not run"},
    {claim_fault::kSharedTicketRebinds, "shared ticket bound anew"},
    {claim_fault::kReplyToOldTicketCounts, "reply to an old ticket counts"},
}};

}  // namespace cuminferry::testing
