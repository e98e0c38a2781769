#include "cuminferry_node/runtime/idempotent_call.h"

#include <utility>

#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kBlindAttempts = 4;

}  // namespace

idempotent_call::idempotent_call(target_call about, parts chosen)
    : outgoing_call(std::move(about), std::move(chosen)) {}

outgoing_call::progress idempotent_call::Begin(const std::string& body, bool /*streams*/) {
  while (!Attempt(body)) {
  }
  return ended() ? progress::kEnded : progress::kStreaming;
}

outgoing_call::progress idempotent_call::Continue() {
  if (!Await() && !ended()) {
    // Parts of the body are gone: there is nothing to try again with.
    EndUnknown(result_code::kConnectionLost);
  }
  return ended() ? progress::kEnded : progress::kStreaming;
}

bool idempotent_call::Attempt(const std::string& body) {
  if (cancelled()) {
    EndNotRun(result_code::kCallerGone);
    return true;
  }
  if (boot_clock::Now() >= about().deadline) {
    EndNotRun(result_code::kDeadlineExceeded);
    return true;
  }
  const auto chosen = with().router.ChooseTarget(about().service, avoid_);
  if (!chosen.has_value()) {
    EndNotRun(result_code::kNoTarget);
    return true;
  }
  target_ = *chosen;
  ++attempts_;
  if (!Send(target_, {}, body)) {
    NoteNoReply(target_, target_outcome::kLost);
    return RetryElsewhere(MakeNotRun(about().request, result_code::kNoTarget));
  }
  return Await();
}

bool idempotent_call::Await() {
  const auto attempt = current();
  while (true) {
    switch (attempt->Wait(about().deadline)) {
      case outgoing_attempt::event::kReply: {
        reply_message reply = attempt->TakeReply();
        with().links.Forget(*attempt);
        return OnReply(std::move(reply));
      }
      case outgoing_attempt::event::kCredit:
        AddCredit(attempt->TakeCredit());
        if (streams()) {
          return true;
        }
        break;
      case outgoing_attempt::event::kLost:
      case outgoing_attempt::event::kGone:
        with().links.Forget(*attempt);
        NoteNoReply(target_, target_outcome::kLost);
        return RetryElsewhere(MakeUnknown(about().request, result_code::kConnectionLost));
      case outgoing_attempt::event::kCancelled:
        with().links.Abandon(*attempt);
        NoteNoReply(target_, target_outcome::kAnswered);
        EndUnknown(result_code::kCallerGone);
        return true;
      case outgoing_attempt::event::kTimeout:
        with().links.Abandon(*attempt);
        NoteNoReply(target_, target_outcome::kAnswered);
        EndUnknown(result_code::kDeadlineExceeded);
        return true;
      case outgoing_attempt::event::kAskReply:
        attempt->TakeAskReply();
        break;
    }
  }
}

bool idempotent_call::OnReply(reply_message reply) {
  NoteReply(target_, reply);
  const auto code = static_cast<result_code>(reply.code);
  if (reply.end == call_end::kCompleted) {
    if (IsWhole(reply)) {
      EndWith(std::move(reply));
    } else {
      EndUnknown(result_code::kAnswerDamaged);
    }
    return true;
  }
  const bool elsewhere = RetryRuleOf(code, true) != retry_rule::kNever;
  if (elsewhere || with().blind_retries) {
    return RetryElsewhere(std::move(reply));
  }
  EndWith(std::move(reply));
  return true;
}

bool idempotent_call::RetryElsewhere(reply_message otherwise) {
  avoid_.push_back(target_);
  if (MayRetry()) {
    return false;
  }
  EndWith(std::move(otherwise));
  return true;
}

bool idempotent_call::MayRetry() {
  if (with().blind_retries) {
    avoid_.clear();
    return attempts_ < kBlindAttempts && !streams();
  }
  return TakeRetry();
}

}  // namespace cuminferry
