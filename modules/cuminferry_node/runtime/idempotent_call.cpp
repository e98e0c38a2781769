#include "cuminferry_node/runtime/idempotent_call.h"

#include <utility>

#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kMaxBlindAttempts = 4;

}  // namespace

idempotent_call::idempotent_call(call_description description, dependencies chosen)
    : outgoing_call(std::move(description), std::move(chosen)) {}

outgoing_call::progress idempotent_call::Begin(const std::string& body, bool /*streams*/) {
  while (!Attempt(body)) {
  }
  return is_finished() ? progress::kFinished : progress::kStreaming;
}

outgoing_call::progress idempotent_call::Continue() {
  if (!AwaitEvents() && !is_finished()) {
    // Parts of the body were already sent and not stored, so the call can't be retried.
    FinishUnknown(result_code::kConnectionLost);
  }
  return is_finished() ? progress::kFinished : progress::kStreaming;
}

bool idempotent_call::Attempt(const std::string& body) {
  if (cancelled()) {
    FinishNotRun(result_code::kCallerGone);
    return true;
  }
  if (boot_clock::Now() >= description().deadline) {
    FinishNotRun(result_code::kDeadlineExceeded);
    return true;
  }
  const auto chosen = deps().router.ChooseTarget(description().service, tried_targets_);
  if (!chosen.has_value()) {
    FinishNotRun(result_code::kNoTarget);
    return true;
  }
  target_ = *chosen;
  ++attempts_;
  if (!Send(target_, {}, body)) {
    RecordNoReply(target_, target_outcome::kLost);
    return RetryElsewhere(MakeNotRunReply(description().request, result_code::kNoTarget));
  }
  return AwaitEvents();
}

bool idempotent_call::AwaitEvents() {
  const auto attempt = current();
  while (true) {
    switch (attempt->Wait(description().deadline)) {
      case outgoing_attempt::event::kReply: {
        reply_message reply = attempt->TakeReply();
        deps().links.Forget(*attempt);
        return OnReply(std::move(reply));
      }
      case outgoing_attempt::event::kCredit:
        AddCredit(attempt->TakeCredit());
        if (has_stream()) {
          return true;
        }
        break;
      case outgoing_attempt::event::kConnectionLost:
      case outgoing_attempt::event::kNotListening:
        deps().links.Forget(*attempt);
        RecordNoReply(target_, target_outcome::kLost);
        return RetryElsewhere(
            MakeUnknownReply(description().request, result_code::kConnectionLost));
      case outgoing_attempt::event::kCancelled:
        deps().links.Abandon(*attempt);
        RecordNoReply(target_, target_outcome::kAnswered);
        FinishUnknown(result_code::kCallerGone);
        return true;
      case outgoing_attempt::event::kTimeout:
        deps().links.Abandon(*attempt);
        RecordNoReply(target_, target_outcome::kAnswered);
        FinishUnknown(result_code::kDeadlineExceeded);
        return true;
      case outgoing_attempt::event::kQueryReply:
        attempt->TakeQueryReply();
        break;
    }
  }
}

bool idempotent_call::OnReply(reply_message reply) {
  RecordReply(target_, reply);
  const auto code = static_cast<result_code>(reply.code);
  if (reply.outcome == call_outcome::kCompleted) {
    if (IsAnswerIntact(reply)) {
      FinishWith(std::move(reply));
    } else {
      FinishUnknown(result_code::kAnswerDamaged);
    }
    return true;
  }
  const bool elsewhere = RetryRuleOf(code, true) != retry_rule::kNever;
  if (elsewhere || deps().use_blind_retries) {
    return RetryElsewhere(std::move(reply));
  }
  FinishWith(std::move(reply));
  return true;
}

bool idempotent_call::RetryElsewhere(reply_message otherwise) {
  tried_targets_.push_back(target_);
  if (MayRetry()) {
    return false;
  }
  FinishWith(std::move(otherwise));
  return true;
}

bool idempotent_call::MayRetry() {
  if (deps().use_blind_retries) {
    tried_targets_.clear();
    return attempts_ < kMaxBlindAttempts && !has_stream();
  }
  return TakeRetry();
}

}  // namespace cuminferry
