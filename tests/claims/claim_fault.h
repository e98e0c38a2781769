#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace cuminferry::testing {

/** A deliberate fault in the claim logic; the tests must detect each one. */
enum class claim_fault : std::uint8_t {
  kNone,
  // Faults at the home instance.
  kWindowNotChecked,
  kIncarnationNotChecked,
  kIncarnationReusedAfterRestart,
  kTombstoneSkipped,
  kRefusedWithoutTombstone,
  kHandOverAfterRevoke,
  kDuplicateRunsAgain,
  kPendingForgottenWithWindow,
  kFinishedForgottenWithWindow,
  kFullRegistryForgets,
  kFullRegistryStaysOpen,
  kAbortedIsTombstone,
  kForgottenIsTombstone,
  kAnswerOfAnotherNonce,
  // Faults at the sender.
  kBlindResend,
  kTimeoutIsNotRun,
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
    {claim_fault::kIncarnationReusedAfterRestart, "incarnation reused after a restart"},
    {claim_fault::kTombstoneSkipped, "tombstone skipped"},
    {claim_fault::kRefusedWithoutTombstone, "refused before admission, without a tombstone"},
    {claim_fault::kHandOverAfterRevoke, "hand-over after revoke"},
    {claim_fault::kDuplicateRunsAgain, "duplicate runs again"},
    {claim_fault::kPendingForgottenWithWindow, "waiting and running forgotten with their window"},
    {claim_fault::kFinishedForgottenWithWindow, "finished forgotten before their window closes"},
    {claim_fault::kFullRegistryForgets, "full registry forgets"},
    {claim_fault::kFullRegistryStaysOpen, "full registry refuses without closing windows"},
    {claim_fault::kAbortedIsTombstone, "aborted taken for not run"},
    {claim_fault::kForgottenIsTombstone, "forgotten window taken for not run"},
    {claim_fault::kAnswerOfAnotherNonce, "answer of another nonce"},
    {claim_fault::kBlindResend, "blind re-send to another home"},
    {claim_fault::kTimeoutIsNotRun, "timeout taken for not run"},
    {claim_fault::kOtherIncarnationIsNotRun, "other incarnation taken for not run"},
    {claim_fault::kSharedTicketRebinds, "shared ticket bound again"},
    {claim_fault::kReplyToOldTicketCounts, "reply to an old ticket counts"},
}};

}  // namespace cuminferry::testing
