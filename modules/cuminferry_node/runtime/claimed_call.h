#pragma once

#include <string>
#include <vector>

#include "cuminferry_node/runtime/outgoing_call.h"
#include "cuminferry_policy/claims/claim_sender.h"

namespace cuminferry {

/** A non-idempotent call, which is bound to a ticket. After a lost connection the call
    queries the ticket's state at the ticket's home before anything is sent again.
    claim_sender makes the decisions; this class executes them. */
class claimed_call : public outgoing_call {
 public:
  claimed_call(call_description description, dependencies chosen);

 private:
  progress Begin(const std::string& body, bool has_stream) override;
  progress Continue() override;

  claim_actions BindToNextTarget(result_code otherwise);
  claim_actions SendCall(const claim_ticket& call_ticket);
  void SendQuery(const claim_action& action);
  progress ExecuteActions(claim_actions actions);
  /** Waits for the next event.
      @return true where the receiver granted credit for more of the body */
  bool AwaitEvent(claim_actions& actions);
  claim_actions OnReply(reply_message reply);
  claim_actions OnAskReply(query_reply_message reply);
  claim_actions OnAnswer(reply_message answer);
  void FinishAs(const claim_action& action);

  claim_sender sender_;
  random_source random_;
  std::string body_;
  std::vector<endpoint> tried_targets_;
  reply_message answer_;
  std::chrono::milliseconds retry_after_{0};
  bool awaits_reply_ = false;
};

/** Converts between the ticket of wire messages and the ticket of the claim policy. */
claim_ticket FromWire(const ticket& from);
ticket ToWire(const claim_ticket& from);

}  // namespace cuminferry
