#pragma once

#include <vector>

#include "cuminferry_node/runtime/outgoing_call.h"

namespace cuminferry {

/** A call to an idempotent row. After a lost connection the call is sent again to another
    target, as long as the request's retry allowance and the row's retry ratio permit. */
class idempotent_call : public outgoing_call {
 public:
  idempotent_call(call_description description, dependencies chosen);

 private:
  progress Begin(const std::string& body, bool has_stream) override;
  progress Continue() override;

  /** Makes one attempt.
      @return false where another attempt follows */
  bool Attempt(const std::string& body);
  bool AwaitEvents();
  bool OnReply(reply_message reply);
  bool RetryElsewhere(reply_message otherwise);
  bool MayRetry();

  endpoint target_;
  std::vector<endpoint> tried_targets_;
  std::uint32_t attempts_ = 0;
};

}  // namespace cuminferry
