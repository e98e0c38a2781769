#include "claims/faulty_registry.h"

namespace cuminferry::testing {

faulty_registry::faulty_registry(claim_registry::options settings, claim_fault fault, instant now)
    : options_(settings), fault_(fault), registry_(settings, now) {}

claim_id faulty_registry::WithOwnIncarnation(claim_id claim) const {
  if (HasFault(claim_fault::kIncarnationNotChecked)) {
    claim.incarnation = options_.incarnation;
  }
  return claim;
}

/** Returns whether the injected fault makes the home instance treat this copy as the first one. */
bool faulty_registry::IsTakenForFirst(const claim_report& report, const claim_id& claim,
                                      instant now) {
  const bool pending =
      report.state == claim_state::kWaiting || report.state == claim_state::kRunning;
  const bool own_incarnation = claim.incarnation == options_.incarnation;
  const bool window_passed = claim.window < registry_.CurrentWindow(now);
  switch (fault_) {
    case claim_fault::kWindowNotChecked:
      return own_incarnation && (report.code == result_code::kTicketExpired ||
                                 report.code == result_code::kTicketForgotten);
    case claim_fault::kDuplicateRunsAgain:
      return pending;
    case claim_fault::kPendingForgottenWithWindow:
      return pending && window_passed;
    case claim_fault::kFinishedForgottenWithWindow:
      return IsFinal(report.state) && own_incarnation && window_passed &&
             claim.window + options_.windows_accepted > registry_.CurrentWindow(now);
    case claim_fault::kFullRegistryForgets:
      return report.code == result_code::kTicketTableFull;
    default:
      return false;
  }
}

/** Returns whether the registry is full and the injected fault leaves its windows open. */
bool faulty_registry::RefusesWithoutClosing(const claim_id& claim, instant now) {
  return HasFault(claim_fault::kFullRegistryStaysOpen) &&
         registry_.tickets() >= options_.max_tickets &&
         registry_.Query(claim, now).state == claim_state::kNeverSeen;
}

claim_report faulty_registry::InjectFault(claim_report report) {
  if (HasFault(claim_fault::kForgottenIsTombstone) &&
      report.code == result_code::kTicketForgotten) {
    report.state = claim_state::kTombstone;
  }
  if (HasFault(claim_fault::kAnswerOfAnotherNonce) && report.state == claim_state::kCompleted) {
    report.answer = latest_answer_;
  }
  return report;
}

claim_report faulty_registry::Begin(claim_id claim, instant now) {
  claim = WithOwnIncarnation(claim);
  if (RefusesWithoutClosing(claim, now)) {
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }
  claim_report report = registry_.Begin(claim, now);
  if (IsTakenForFirst(report, claim, now)) {
    if (HasFault(claim_fault::kFullRegistryForgets)) {
      registry_ = claim_registry(options_, now);
    }
    return {};
  }
  return InjectFault(std::move(report));
}

claim_report faulty_registry::Refuse(claim_id claim, result_code code, instant now) {
  if (!HasFault(claim_fault::kRefusedWithoutTombstone) && !RefusesWithoutClosing(claim, now)) {
    return InjectFault(registry_.Refuse(WithOwnIncarnation(claim), code, now));
  }
  const claim_report report = Query(claim, now);
  return report.state == claim_state::kNeverSeen ? claim_report{claim_state::kTombstone, code, {}}
                                                 : report;
}

bool faulty_registry::HandOver(claim_id claim, instant now) {
  const bool allowed = registry_.HandOver(WithOwnIncarnation(claim), now);
  switch (fault_) {
    case claim_fault::kWindowNotChecked:
    case claim_fault::kDuplicateRunsAgain:
    case claim_fault::kPendingForgottenWithWindow:
    case claim_fault::kFinishedForgottenWithWindow:
    case claim_fault::kFullRegistryForgets:
    case claim_fault::kHandOverAfterRevoke:
      return true;
    default:
      return allowed;
  }
}

void faulty_registry::MarkNotRun(claim_id claim, result_code code, instant now) {
  registry_.MarkNotRun(WithOwnIncarnation(claim), code, now);
}

void faulty_registry::Complete(claim_id claim, const std::string& answer, instant now) {
  latest_answer_ = answer;
  registry_.Complete(WithOwnIncarnation(claim), answer, now);
}

void faulty_registry::MarkAborted(claim_id claim, instant now) {
  if (HasFault(claim_fault::kAbortedIsTombstone)) {
    registry_.MarkNotRun(WithOwnIncarnation(claim), result_code::kBackendFailed, now);
    return;
  }
  registry_.MarkAborted(WithOwnIncarnation(claim), now);
}

claim_report faulty_registry::Query(claim_id claim, instant now) {
  return InjectFault(registry_.Query(WithOwnIncarnation(claim), now));
}

claim_report faulty_registry::Revoke(claim_id claim, instant now) {
  claim = WithOwnIncarnation(claim);
  if (HasFault(claim_fault::kTombstoneSkipped)) {
    claim_report report = registry_.Query(claim, now);
    if (!IsFinal(report.state) && report.state != claim_state::kRunning) {
      report.state = claim_state::kTombstone;
    }
    return report;
  }
  if (RefusesWithoutClosing(claim, now)) {
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }
  return InjectFault(registry_.Revoke(claim, now));
}

}  // namespace cuminferry::testing
