#pragma once

#include <string>
#include <vector>

#include "cuminferry_node/runtime/outgoing_call.h"
#include "cuminferry_policy/claims/claim_sender.h"

namespace cuminferry {

/** A non-idempotent call: bound to a ticket, and after a loss asked about, never
    blindly sent again. Carries out what claim_sender decides. */
class claimed_call : public outgoing_call {
 public:
  claimed_call(target_call about, parts chosen);

 private:
  progress Begin(const std::string& body, bool streams) override;
  progress Continue() override;

  claim_actions BindElsewhere(result_code otherwise);
  claim_actions SendCall(const claim_ticket& under);
  void AskAbout(const claim_action& question);
  progress Drive(claim_actions actions);
  /** Waits for the next event; true where the receiver wants more of the body. */
  bool AwaitEvent(claim_actions& actions);
  claim_actions OnReply(reply_message reply);
  claim_actions OnAskReply(ask_reply_message reply);
  claim_actions OnAnswer(reply_message answer);
  void End(const claim_action& action);

  claim_sender sender_;
  random_source random_;
  std::string body_;
  std::vector<endpoint> avoid_;
  reply_message answer_;
  std::chrono::milliseconds retry_after_{0};
  bool attempt_open_ = false;
};

/** Between the ticket's form on the wire and the form that decisions use. */
claim_ticket FromWire(const ticket& from);
ticket ToWire(const claim_ticket& from);

}  // namespace cuminferry
