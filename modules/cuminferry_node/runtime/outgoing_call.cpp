#include "cuminferry_node/runtime/outgoing_call.h"

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/claimed_call.h"
#include "cuminferry_node/runtime/idempotent_call.h"
#include "cuminferry_node/runtime/serving_side.h"

namespace cuminferry {
namespace {

constexpr std::size_t kChunkBytes = 64 * 1024;

}  // namespace

std::unique_ptr<outgoing_call> outgoing_call::Make(target_call about, parts chosen) {
  if (about.row->idempotent) {
    return std::make_unique<idempotent_call>(std::move(about), std::move(chosen));
  }
  return std::make_unique<claimed_call>(std::move(about), std::move(chosen));
}

outgoing_call::outgoing_call(target_call about, parts chosen)
    : about_(std::move(about)), parts_(std::move(chosen)) {}

//==============================================================================
reply_message outgoing_call::Run(std::string body) {
  Begin(body, false);
  return TakeEnd();
}

bool outgoing_call::OpenStream(std::string first_part) {
  streams_ = true;
  sent_bytes_ = first_part.size();
  return Begin(first_part, true) == progress::kStreaming;
}

bool outgoing_call::SendPart(std::string_view part) {
  while (!part.empty()) {
    if (ended() || (credit_ == 0 && Continue() != progress::kStreaming)) {
      return false;
    }
    const std::size_t size = std::min<std::uint64_t>({credit_, kChunkBytes, part.size()});
    SendChunk(std::string(part.substr(0, size)), false);
    part.remove_prefix(size);
    credit_ -= size;
  }
  return true;
}

reply_message outgoing_call::FinishStream(bool whole) {
  if (!ended() && whole) {
    SendChunk({}, true);
  } else if (!ended()) {
    // The receiver never sees a last chunk, so the backend server can't take the
    // part that came for the whole.
    Cancel();
  }
  while (!ended()) {
    Continue();
  }
  return TakeEnd();
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
  message.request = about_.request;
  message.service = about_.service;
  message.method = about_.method;
  message.target = about_.target;
  message.headers = about_.headers;
  message.time_left_micros = (about_.deadline - boot_clock::Now()).count();
  message.rank = about_.rank.packed();
  lent_ = LendRetries();
  message.retries_lent = lent_;
  message.claim = claim;
  message.body = body;
  message.chunks_follow = streams_ ? 1 : 0;
  if (attempts_ == 0) {
    parts_.router.CountFirstAttempt(about_.row->name);
  }
  ++attempts_;
  sent_at_ = boot_clock::Now();
  auto attempt = parts_.links.StartCall(target, message);
  if (attempt == nullptr) {
    TakeBackRetries(lent_);
    return false;
  }
  bool gone = false;
  {
    ranked_lock lock(mutex_);
    current_ = attempt;
    gone = cancelled_;
  }
  if (gone) {
    attempt->Cancel();
  }
  return true;
}

void outgoing_call::NoteReply(endpoint target, const reply_message& reply) {
  TakeBackRetries(reply.retries_left);
  const bool here_only = RetryRuleOf(static_cast<result_code>(reply.code),
                                     about_.row->idempotent) == retry_rule::kOtherTargetOnce;
  parts_.router.OnEnded(target,
                        here_only ? target_outcome::kRefusedByInstance : target_outcome::kAnswered,
                        {reply.load.in_flight, reply.load.limit});
  if (parts_.on_threshold) {
    parts_.on_threshold(call_rank(reply.load.threshold));
  }
}

void outgoing_call::NoteNoReply(endpoint target, target_outcome outcome) {
  lent_ = 0;  // What was lent with a reply that never came stays lost.
  if (outcome == target_outcome::kLost) {
    parts_.router.OnLost(target, sent_at_);
  } else {
    parts_.router.OnEnded(target, outcome, {});
  }
}

bool outgoing_call::TakeRetry() {
  if (!about_.bound.empty() || streams_ || about_.parent == nullptr) {
    return false;
  }
  const bool allowed = about_.parent->WithRetries(
      [](retry_allowance& retries, std::uint32_t) { return retries.TakeOne(); });
  if (!allowed || !parts_.router.TakeRetry(about_.row->name)) {
    return false;
  }
  parts_.metrics.CountRetry(about_.row->name);
  return true;
}

bool outgoing_call::IsWhole(const reply_message& reply) const {
  // A ticket's kept answer names the request under which it ran first.
  const bool own = reply.request == about_.request || !about_.bound.empty();
  return own && reply.body_digest == DigestOf(reply.body);
}

outgoing_call::progress outgoing_call::EndWith(reply_message reply) {
  end_ = std::move(reply);
  return progress::kEnded;
}

outgoing_call::progress outgoing_call::EndNotRun(result_code code) {
  return EndWith(MakeNotRun(about_.request, code));
}

outgoing_call::progress outgoing_call::EndUnknown(result_code code) {
  return EndWith(MakeUnknown(about_.request, code));
}

//==============================================================================
std::uint8_t outgoing_call::LendRetries() {
  if (about_.parent == nullptr) {
    // Relayed: the request's tree begins at the other node.
    return about_.row->retry_allowance;
  }
  return about_.parent->WithRetries([](retry_allowance& retries, std::uint32_t outstanding) {
    return retries.Lend(outstanding > 0 ? outstanding - 1 : 0);
  });
}

void outgoing_call::TakeBackRetries(std::uint8_t returned) {
  if (about_.parent != nullptr) {
    about_.parent->WithRetries(
        [&](retry_allowance& retries, std::uint32_t) { retries.TakeBack(lent_, returned); });
  }
  lent_ = 0;
}

void outgoing_call::SendChunk(std::string bytes, bool last) {
  const auto attempt = current();
  body_chunk_message chunk;
  chunk.attempt = attempt->id();
  chunk.offset = sent_bytes_;
  chunk.bytes = std::move(bytes);
  chunk.last = last ? 1 : 0;
  sent_bytes_ += chunk.bytes.size();
  parts_.links.Send(attempt->connection(), FrameOf(chunk));
}

reply_message outgoing_call::TakeEnd() {
  parts_.metrics.CountCalled(about_.row->name, end_->end, end_->code, attempts_);
  end_->request = about_.request;
  return std::move(*end_);
}

}  // namespace cuminferry
