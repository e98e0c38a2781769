#include "claims/faulty_book.h"

namespace cuminferry::testing {

faulty_book::faulty_book(claim_book::options chosen, claim_fault fault, instant now)
    : chosen_(chosen), fault_(fault), book_(chosen, now) {}

claim_id faulty_book::Own(claim_id claim) const {
  if (Is(claim_fault::kIncarnationNotChecked)) {
    claim.incarnation = chosen_.incarnation;
  }
  return claim;
}

/** The fault makes the home take this arrival for the first one. */
bool faulty_book::RunsAgain(const claim_report& report, const claim_id& claim, instant now) {
  const bool pending =
      report.state == claim_state::kWaiting || report.state == claim_state::kRunning;
  const bool own = claim.incarnation == chosen_.incarnation;
  const bool window_over = claim.window < book_.Window(now);
  switch (fault_) {
    case claim_fault::kWindowNotChecked:
      return own && (report.code == result_code::kTicketExpired ||
                     report.code == result_code::kTicketForgotten);
    case claim_fault::kDuplicateRunsAgain:
      return pending;
    case claim_fault::kPendingForgottenWithWindow:
      return pending && window_over;
    case claim_fault::kEndedForgottenWithWindow:
      return IsFinal(report.state) && own && window_over &&
             claim.window + chosen_.windows_kept > book_.Window(now);
    case claim_fault::kFullBookForgets:
      return report.code == result_code::kTicketTableFull;
    default:
      return false;
  }
}

/** The book is full, and the fault keeps it from closing its windows for that. */
bool faulty_book::RefusesWithoutClosing(const claim_id& claim, instant now) {
  return Is(claim_fault::kFullBookStaysOpen) && book_.tickets() >= chosen_.ticket_bound &&
         book_.Ask(claim, now).state == claim_state::kNeverSeen;
}

claim_report faulty_book::Spoil(claim_report report) {
  if (Is(claim_fault::kForgottenIsTombstone) && report.code == result_code::kTicketForgotten) {
    report.state = claim_state::kTombstone;
  }
  if (Is(claim_fault::kAnswerOfAnotherNonce) && report.state == claim_state::kCompleted) {
    report.answer = last_answer_;
  }
  return report;
}

claim_report faulty_book::Begin(claim_id claim, instant now) {
  claim = Own(claim);
  if (RefusesWithoutClosing(claim, now)) {
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }
  claim_report report = book_.Begin(claim, now);
  if (RunsAgain(report, claim, now)) {
    if (Is(claim_fault::kFullBookForgets)) {
      book_ = claim_book(chosen_, now);
    }
    return {};
  }
  return Spoil(std::move(report));
}

claim_report faulty_book::Refuse(claim_id claim, result_code code, instant now) {
  if (!Is(claim_fault::kRefusedWithoutTombstone) && !RefusesWithoutClosing(claim, now)) {
    return Spoil(book_.Refuse(Own(claim), code, now));
  }
  const claim_report report = Ask(claim, now);
  return report.state == claim_state::kNeverSeen ? claim_report{claim_state::kTombstone, code, {}}
                                                 : report;
}

bool faulty_book::HandOver(claim_id claim, instant now) {
  const bool may = book_.HandOver(Own(claim), now);
  switch (fault_) {
    case claim_fault::kWindowNotChecked:
    case claim_fault::kDuplicateRunsAgain:
    case claim_fault::kPendingForgottenWithWindow:
    case claim_fault::kEndedForgottenWithWindow:
    case claim_fault::kFullBookForgets:
    case claim_fault::kHandOverAfterRevoke:
      return true;
    default:
      return may;
  }
}

void faulty_book::EndUnrun(claim_id claim, result_code code, instant now) {
  book_.EndUnrun(Own(claim), code, now);
}

void faulty_book::Complete(claim_id claim, const std::string& answer, instant now) {
  last_answer_ = answer;
  book_.Complete(Own(claim), answer, now);
}

void faulty_book::BreakOff(claim_id claim, instant now) {
  if (Is(claim_fault::kBrokenOffIsTombstone)) {
    book_.EndUnrun(Own(claim), result_code::kBackendFailed, now);
    return;
  }
  book_.BreakOff(Own(claim), now);
}

claim_report faulty_book::Ask(claim_id claim, instant now) {
  return Spoil(book_.Ask(Own(claim), now));
}

claim_report faulty_book::Revoke(claim_id claim, instant now) {
  claim = Own(claim);
  if (Is(claim_fault::kTombstoneSkipped)) {
    claim_report report = book_.Ask(claim, now);
    if (!IsFinal(report.state) && report.state != claim_state::kRunning) {
      report.state = claim_state::kTombstone;
    }
    return report;
  }
  if (RefusesWithoutClosing(claim, now)) {
    return {claim_state::kTombstone, result_code::kTicketTableFull, {}};
  }
  return Spoil(book_.Revoke(claim, now));
}

}  // namespace cuminferry::testing
