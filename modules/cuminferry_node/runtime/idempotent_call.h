#pragma once

#include <vector>

#include "cuminferry_node/runtime/outgoing_call.h"

namespace cuminferry {

/** A call that may run more than once: after a loss it is simply sent again, to
    another target, while the tree's retry allowance and the path's ratio allow. */
class idempotent_call : public outgoing_call {
 public:
  idempotent_call(target_call about, parts chosen);

 private:
  progress Begin(const std::string& body, bool streams) override;
  progress Continue() override;

  /** Makes one attempt; false where another is to follow. */
  bool Attempt(const std::string& body);
  bool Await();
  bool OnReply(reply_message reply);
  bool RetryElsewhere(reply_message otherwise);
  bool MayRetry();

  endpoint target_;
  std::vector<endpoint> avoid_;
  std::uint32_t attempts_ = 0;
};

}  // namespace cuminferry
