#pragma once

#include <string>

#include "claims/claim_fault.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** A claim_book, spoilt by one fault at its interface. */
class faulty_book {
 public:
  faulty_book(claim_book::options chosen, claim_fault fault, instant now);

  std::uint32_t Window(instant now) { return book_.Window(now); }
  claim_report Begin(claim_id claim, instant now);
  claim_report Refuse(claim_id claim, result_code code, instant now);
  bool HandOver(claim_id claim, instant now);
  void EndUnrun(claim_id claim, result_code code, instant now);
  void Complete(claim_id claim, const std::string& answer, instant now);
  void BreakOff(claim_id claim, instant now);
  claim_report Ask(claim_id claim, instant now);
  claim_report Revoke(claim_id claim, instant now);

  std::size_t tickets() const { return book_.tickets(); }

 private:
  bool Is(claim_fault fault) const { return fault_ == fault; }
  claim_id Own(claim_id claim) const;
  bool RunsAgain(const claim_report& report, const claim_id& claim, instant now);
  bool RefusesWithoutClosing(const claim_id& claim, instant now);
  claim_report Spoil(claim_report report);

  claim_book::options chosen_;
  claim_fault fault_;
  claim_book book_;
  std::string last_answer_;
};

}  // namespace cuminferry::testing
