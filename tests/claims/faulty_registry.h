#pragma once

#include <string>

#include "claims/claim_fault.h"
#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** A claim_registry with one fault injected at its interface. */
class faulty_registry {
 public:
  faulty_registry(claim_registry::options settings, claim_fault fault, instant now);

  std::uint32_t CurrentWindow(instant now) { return registry_.CurrentWindow(now); }
  claim_report Begin(claim_id claim, instant now);
  claim_report Refuse(claim_id claim, result_code code, instant now);
  bool HandOver(claim_id claim, instant now);
  void MarkNotRun(claim_id claim, result_code code, instant now);
  void Complete(claim_id claim, const std::string& answer, instant now);
  void MarkAborted(claim_id claim, instant now);
  claim_report Query(claim_id claim, instant now);
  claim_report Revoke(claim_id claim, instant now);

  std::size_t tickets() const { return registry_.tickets(); }

 private:
  bool HasFault(claim_fault fault) const { return fault_ == fault; }
  claim_id WithOwnIncarnation(claim_id claim) const;
  bool IsTakenForFirst(const claim_report& report, const claim_id& claim, instant now);
  bool RefusesWithoutClosing(const claim_id& claim, instant now);
  claim_report InjectFault(claim_report report);

  claim_registry::options options_;
  claim_fault fault_;
  claim_registry registry_;
  std::string latest_answer_;
};

}  // namespace cuminferry::testing
