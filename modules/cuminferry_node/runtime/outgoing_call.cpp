#include "cuminferry_node/runtime/outgoing_call.h"

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/claimed_call.h"
#include "cuminferry_node/runtime/idempotent_call.h"
#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

constexpr std::size_t kMaxChunkBytes = 64 * 1024;

}  // namespace

std::unique_ptr<outgoing_call> outgoing_call::Make(call_description description,
                                                   dependencies chosen) {
  if (description.row->idempotent) {
    return std::make_unique<idempotent_call>(std::move(description), std::move(chosen));
  }
  return std::make_unique<claimed_call>(std::move(description), std::move(chosen));
}

outgoing_call::outgoing_call(call_description description, dependencies chosen)
    : description_(std::move(description)), dependencies_(std::move(chosen)) {}

//==============================================================================
reply_message outgoing_call::Run(std::string body) {
  Begin(body, false);
  return TakeFinalReply();
}

bool outgoing_call::OpenStream(std::string first_part) {
  has_stream_ = true;
  sent_bytes_ = first_part.size();
  return Begin(first_part, true) == progress::kStreaming;
}

bool outgoing_call::SendPart(std::string_view part) {
  while (!part.empty()) {
    if (is_finished() || (credit_ == 0 && Continue() != progress::kStreaming)) {
      return false;
    }
    const std::size_t size = std::min<std::uint64_t>({credit_, kMaxChunkBytes, part.size()});
    SendChunk(std::string(part.substr(0, size)), false);
    part.remove_prefix(size);
    credit_ -= size;
  }
  return true;
}

reply_message outgoing_call::FinishStream(bool is_complete) {
  if (!is_finished() && is_complete) {
    SendChunk({}, true);
  } else if (!is_finished()) {
    // The receiver gets no last chunk, so the backend server can't mistake the partial body
    // for a complete one.
    Cancel();
  }
  while (!is_finished()) {
    Continue();
  }
  return TakeFinalReply();
}

void outgoing_call::Cancel() {
  std::shared_ptr<outgoing_attempt> held;
  {
    ranked_lock lock(mutex_);
    cancelled_ = true;
    held = current_;
  }
  held->Cancel();
}

//==============================================================================
std::shared_ptr<outgoing_attempt> outgoing_call::current() {
  ranked_lock lock(mutex_);
  return current_;
}

bool outgoing_call::cancelled() {
  ranked_lock lock(mutex_);
  return cancelled_;
}

bool outgoing_call::Send(endpoint target, const ticket& claim, const std::string& body) {
  call_message message;
  message.request = description_.request;
  message.service = description_.service;
  message.method = description_.method;
  message.target = description_.target;
  message.headers = description_.headers;
  message.time_left_micros = (description_.deadline - boot_clock::Now()).count();
  message.rank = description_.rank.packed();
  lent_retries_ = LendRetries();
  message.retries_lent = lent_retries_;
  message.claim = claim;
  message.body = body;
  message.chunks_follow = has_stream_ ? 1 : 0;
  if (attempts_ == 0) {
    dependencies_.router.CountFirstAttempt(description_.row->name);
  }
  ++attempts_;
  sent_at_ = boot_clock::Now();
  auto attempt = dependencies_.links.StartCall(target, message);
  if (attempt == nullptr) {
    TakeBackRetries(lent_retries_);
    return false;
  }
  bool was_cancelled = false;
  {
    ranked_lock lock(mutex_);
    current_ = attempt;
    was_cancelled = cancelled_;
  }
  if (was_cancelled) {
    attempt->Cancel();
  }
  return true;
}

void outgoing_call::RecordReply(endpoint target, const reply_message& reply) {
  TakeBackRetries(reply.retries_left);
  const bool is_refused_by_instance =
      RetryRuleOf(static_cast<result_code>(reply.code), description_.row->idempotent) ==
      retry_rule::kOtherTargetOnce;
  dependencies_.router.OnEnded(
      target,
      is_refused_by_instance ? target_outcome::kRefusedByInstance : target_outcome::kAnswered,
      {reply.load.in_flight, reply.load.limit});
  if (dependencies_.on_threshold) {
    dependencies_.on_threshold(call_rank(reply.load.threshold));
  }
}

void outgoing_call::RecordNoReply(endpoint target, target_outcome outcome) {
  lent_retries_ = 0;  // Retries lent with an attempt that got no reply are not returned.
  if (outcome == target_outcome::kLost) {
    dependencies_.router.OnLost(target, sent_at_);
  } else {
    dependencies_.router.OnEnded(target, outcome, {});
  }
}

bool outgoing_call::TakeRetry() {
  if (!description_.existing_ticket.empty() || has_stream_ || description_.parent == nullptr) {
    return false;
  }
  const bool allowed = description_.parent->WithRetryAllowance(
      [](retry_allowance& retries, std::uint32_t) { return retries.TakeOne(); });
  if (!allowed || !dependencies_.router.TakeRetry(description_.row->name)) {
    return false;
  }
  dependencies_.metrics.CountRetry(description_.row->name);
  return true;
}

bool outgoing_call::IsAnswerIntact(const reply_message& reply) const {
  // A ticket's stored answer carries the id of the request that ran, which may be an earlier
  // copy.
  const bool own = reply.request == description_.request || !description_.existing_ticket.empty();
  return own && reply.body_digest == DigestOf(reply.body);
}

outgoing_call::progress outgoing_call::FinishWith(reply_message reply) {
  final_reply_ = std::move(reply);
  return progress::kFinished;
}

outgoing_call::progress outgoing_call::FinishNotRun(result_code code) {
  return FinishWith(MakeNotRunReply(description_.request, code));
}

outgoing_call::progress outgoing_call::FinishUnknown(result_code code) {
  return FinishWith(MakeUnknownReply(description_.request, code));
}

//==============================================================================
std::uint8_t outgoing_call::LendRetries() {
  if (description_.parent == nullptr) {
    // For a relayed call the target's node is the ingress and grants the row's whole allowance.
    return description_.row->retry_allowance;
  }
  return description_.parent->WithRetryAllowance(
      [](retry_allowance& retries, std::uint32_t outstanding) {
        return retries.Lend(outstanding > 0 ? outstanding - 1 : 0);
      });
}

void outgoing_call::TakeBackRetries(std::uint8_t returned) {
  if (description_.parent != nullptr) {
    description_.parent->WithRetryAllowance([&](retry_allowance& retries, std::uint32_t) {
      retries.TakeBack(lent_retries_, returned);
    });
  }
  lent_retries_ = 0;
}

void outgoing_call::SendChunk(std::string bytes, bool last) {
  const auto attempt = current();
  body_chunk_message chunk;
  chunk.attempt = attempt->id();
  chunk.offset = sent_bytes_;
  chunk.bytes = std::move(bytes);
  chunk.last = last ? 1 : 0;
  sent_bytes_ += chunk.bytes.size();
  dependencies_.links.Send(attempt->connection(), FrameOf(chunk));
}

reply_message outgoing_call::TakeFinalReply() {
  dependencies_.metrics.CountOutgoingCall(description_.row->name, final_reply_->outcome,
                                          final_reply_->code, attempts_);
  final_reply_->request = description_.request;
  return std::move(*final_reply_);
}

}  // namespace cuminferry
