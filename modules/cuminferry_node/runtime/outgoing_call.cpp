#include "cuminferry_node/runtime/outgoing_call.h"

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/serving_side.h"
#include "cuminferry_policy/claims/claim_book.h"

namespace cuminferry {
namespace {

constexpr std::uint32_t kBlindAttempts = 4;
constexpr std::size_t kChunkBytes = 64 * 1024;
/** How long one question about a ticket waits for its answer. */
constexpr std::chrono::milliseconds kAskTimeout{300};
/** Pause before a ticket that is still running is asked about again. */
constexpr std::chrono::milliseconds kAskAgainAfter{20};
/** Time kept at the end of the deadline for revoking and answering. */
constexpr std::chrono::milliseconds kRevokeReserve{100};

// Whether another instance may well take what this one refused.
bool IsThisInstanceOnly(result_code code) {
  return code == result_code::kRefusedInstanceOnly || code == result_code::kRefusedDraining ||
         code == result_code::kNoTableYet;
}

}  // namespace

outgoing_call::outgoing_call(target_call about, parts chosen)
    : about_(std::move(about)), parts_(std::move(chosen)), claim_(about_.bound) {}

//==============================================================================
reply_message outgoing_call::Run(std::string body) {
  step next = step::kTryAgain;
  while (next == step::kTryAgain) {
    next = Attempt(body, false);
  }
  return TakeEnd();
}

bool outgoing_call::OpenStream(std::string first_part) {
  step next = step::kTryAgain;
  while (next == step::kTryAgain) {
    next = Attempt(first_part, true);
  }
  sent_bytes_ = first_part.size();
  return next == step::kStreaming;
}

bool outgoing_call::SendPart(std::string_view part) {
  while (!part.empty()) {
    if (end_.has_value()) {
      return false;
    }
    if (credit_ == 0 && AwaitEnd(true) != step::kStreaming) {
      return false;
    }
    body_chunk_message chunk;
    const auto attempt = current();
    chunk.attempt = attempt->id();
    chunk.offset = sent_bytes_;
    chunk.bytes = part.substr(0, std::min<std::uint64_t>({credit_, kChunkBytes, part.size()}));
    part.remove_prefix(chunk.bytes.size());
    credit_ -= chunk.bytes.size();
    sent_bytes_ += chunk.bytes.size();
    parts_.links.Send(attempt->connection(), FrameOf(chunk));
  }
  return true;
}

reply_message outgoing_call::FinishStream(bool whole) {
  if (!end_.has_value() && !whole) {
    // The receiver never sees the last chunk, so the backend server can't take
    // the part for the whole.
    Cancel();
  }
  if (!end_.has_value()) {
    if (whole) {
      body_chunk_message last;
      const auto attempt = current();
      last.attempt = attempt->id();
      last.offset = sent_bytes_;
      last.last = 1;
      parts_.links.Send(attempt->connection(), FrameOf(last));
    }
    while (AwaitEnd(true) == step::kStreaming) {
    }
  }
  if (!end_.has_value()) {
    // The parts that were sent are gone: there is nothing to try again with.
    EndUnknown(result_code::kConnectionLost);
  }
  return TakeEnd();
}

void outgoing_call::Cancel() {
  std::shared_ptr<outgoing_attempt> current;
  {
    ranked_lock lock(mutex_);
    cancelled_ = true;
    current = current_;
  }
  if (current != nullptr) {
    current->Cancel();
  }
}

//==============================================================================
outgoing_call::step outgoing_call::Attempt(const std::string& body, bool streams) {
  if (cancelled()) {
    return EndWith(MakeNotRun(about_.request, result_code::kCallerGone));
  }
  if (boot_clock::Now() >= about_.deadline) {
    return EndWith(MakeNotRun(about_.request, result_code::kDeadlineExceeded));
  }
  if (about_.bound.empty()) {
    const auto chosen = parts_.router.ChooseTarget(about_.service, avoid_);
    if (!chosen.has_value()) {
      return EndWith(MakeNotRun(about_.request, result_code::kNoTarget));
    }
    target_ = *chosen;
  } else {
    target_ = about_.bound.home;
    parts_.router.OnSent(target_);
  }
  if (!about_.row->idempotent && about_.bound.empty() && !MintTicket()) {
    // Nothing was sent yet, so another target may be tried with a clear conscience.
    EndAttempt(target_outcome::kLost, {});
    return RetryElsewhere(MakeNotRun(about_.request, result_code::kNoTarget));
  }
  if (!StartAttempt(body, streams)) {
    EndAttempt(target_outcome::kLost, {});
    return RetryElsewhere(MakeNotRun(about_.request, result_code::kNoTarget));
  }
  return AwaitEnd(streams);
}

bool outgoing_call::StartAttempt(const std::string& body, bool streams) {
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
  message.claim = claim_;
  message.body = body;
  message.chunks_follow = streams ? 1 : 0;
  if (attempts_ == 0) {
    parts_.router.CountFirstAttempt(about_.row->name);
  }
  ++attempts_;
  auto attempt = parts_.links.StartCall(target_, message);
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

outgoing_call::step outgoing_call::AwaitEnd(bool streams) {
  const auto held = current();
  outgoing_attempt& attempt = *held;
  switch (attempt.Wait(about_.deadline)) {
    case outgoing_attempt::event::kReply: {
      reply_message reply = attempt.TakeReply();
      parts_.links.Forget(attempt);
      return OnReply(std::move(reply));
    }
    case outgoing_attempt::event::kCredit:
      credit_ += attempt.TakeCredit();
      return streams ? step::kStreaming : AwaitEnd(streams);
    case outgoing_attempt::event::kLost:
      parts_.links.Forget(attempt);
      return OnLost();
    case outgoing_attempt::event::kCancelled:
      parts_.links.Abandon(attempt);
      EndAttempt(target_outcome::kAnswered, {});
      return EndUnknown(result_code::kCallerGone);
    case outgoing_attempt::event::kTimeout:
      parts_.links.Abandon(attempt);
      EndAttempt(target_outcome::kAnswered, {});
      return EndUnknown(result_code::kDeadlineExceeded);
    case outgoing_attempt::event::kAskReply:
      break;
  }
  return EndUnknown(result_code::kConnectionLost);
}

outgoing_call::step outgoing_call::OnReply(reply_message reply) {
  TakeBackRetries(reply.retries_left);
  const auto code = static_cast<result_code>(reply.code);
  const bool here_only = reply.end == call_end::kNotRun && IsThisInstanceOnly(code);
  EndAttempt(here_only ? target_outcome::kRefusedHere : target_outcome::kAnswered, reply.load);
  if (parts_.on_threshold) {
    parts_.on_threshold(call_rank(reply.load.threshold));
  }
  switch (reply.end) {
    case call_end::kCompleted:
      if (!IsWhole(reply)) {
        return EndUnknown(result_code::kAnswerDamaged);
      }
      return EndWith(std::move(reply));
    case call_end::kNotRun:
      return OnRefused(reply);
    case call_end::kUnknown:
      break;
  }
  if (!about_.row->idempotent && code == result_code::kTicketRunning) {
    return ResolveClaim();
  }
  if (about_.row->idempotent && code == result_code::kBackendFailed) {
    return RetryElsewhere(std::move(reply));
  }
  return EndWith(std::move(reply));
}

outgoing_call::step outgoing_call::OnRefused(const reply_message& reply) {
  if (parts_.blind_retries || IsThisInstanceOnly(static_cast<result_code>(reply.code))) {
    return RetryElsewhere(reply);
  }
  return EndWith(reply);
}

outgoing_call::step outgoing_call::OnLost() {
  EndAttempt(target_outcome::kLost, {});
  if (!about_.row->idempotent) {
    return ResolveClaim();
  }
  return RetryElsewhere(MakeUnknown(about_.request, result_code::kConnectionLost));
}

// The connection was lost with a non-idempotent call on it. Sent again blindly it
// might run twice; so its home is asked, over a new connection, what became of it.
outgoing_call::step outgoing_call::ResolveClaim() {
  while (!cancelled()) {
    const instant now = boot_clock::Now();
    if (now >= about_.deadline) {
      break;
    }
    ask_message question;
    question.claim = claim_;
    question.revoke = now + kRevokeReserve >= about_.deadline ? 1 : 0;
    const auto asked = parts_.links.Ask(target_, question);
    if (asked != nullptr) {
      const instant until = std::min(about_.deadline, now + duration(kAskTimeout));
      const auto came = asked->Wait(until);
      parts_.links.Forget(*asked);
      if (came == outgoing_attempt::event::kAskReply) {
        bool settled = false;
        const step next = OnClaimReport(asked->TakeAskReply(), settled);
        if (settled) {
          return next;
        }
      }
    }
    absl::SleepFor(absl::FromChrono(kAskAgainAfter));
  }
  return EndUnknown(result_code::kTicketHomeUnreachable);
}

outgoing_call::step outgoing_call::OnClaimReport(const ask_reply_message& report, bool& settled) {
  settled = true;
  switch (static_cast<claim_state>(report.state)) {
    case claim_state::kCompleted:
      if (!IsWhole(report.answer)) {
        return EndUnknown(result_code::kAnswerDamaged);
      }
      return EndWith(report.answer);
    case claim_state::kTombstone:
      return RetryElsewhere(MakeNotRun(about_.request, static_cast<result_code>(report.code)));
    case claim_state::kBrokenOff:
      return EndUnknown(result_code::kBackendFailed);
    case claim_state::kAnswerForgotten:
      return EndUnknown(result_code::kTicketAnswerForgotten);
    case claim_state::kRefused:
      return EndUnknown(static_cast<result_code>(report.code));
    case claim_state::kNeverSeen:
    case claim_state::kWaiting:
    case claim_state::kRunning:
      break;
  }
  settled = false;
  return step::kEnded;
}

//==============================================================================
outgoing_call::step outgoing_call::EndWith(reply_message reply) {
  end_ = std::move(reply);
  return step::kEnded;
}

outgoing_call::step outgoing_call::EndUnknown(result_code code) {
  return EndWith(MakeUnknown(about_.request, code));
}

outgoing_call::step outgoing_call::RetryElsewhere(reply_message otherwise) {
  avoid_.push_back(target_);
  if (!MayRetry()) {
    return EndWith(std::move(otherwise));
  }
  parts_.metrics.CountRetry(about_.row->name);
  return step::kTryAgain;
}

bool outgoing_call::MayRetry() {
  if (!about_.bound.empty() || sent_bytes_ > 0) {
    return false;
  }
  if (parts_.blind_retries) {
    avoid_.clear();
    return attempts_ < kBlindAttempts;
  }
  if (about_.parent == nullptr) {
    return false;
  }
  const bool allowed = about_.parent->WithRetries(
      [](retry_allowance& retries, std::uint32_t) { return retries.TakeOne(); });
  return allowed && parts_.router.TakeRetry(about_.row->name);
}

bool outgoing_call::MintTicket() {
  const instant until = std::min(about_.deadline, boot_clock::Now() + duration(kAskTimeout));
  const auto facts = parts_.links.FactsOf(target_, until);
  if (!facts.has_value()) {
    return false;
  }
  thread_local random_source random = random_source::FromMachine();
  claim_ = {target_, facts->incarnation, facts->window, random.Next(), random.Next()};
  return true;
}

bool outgoing_call::IsWhole(const reply_message& reply) const {
  return reply.body_digest == DigestOf(reply.body) &&
         (reply.request == about_.request || !about_.bound.empty());
}

std::uint8_t outgoing_call::LendRetries() {
  if (about_.parent == nullptr) {
    return 0;
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

void outgoing_call::EndAttempt(target_outcome outcome, const load_advert& load) {
  parts_.router.OnEnded(target_, outcome, {load.in_flight, load.limit});
}

bool outgoing_call::cancelled() {
  ranked_lock lock(mutex_);
  return cancelled_;
}

std::shared_ptr<outgoing_attempt> outgoing_call::current() {
  ranked_lock lock(mutex_);
  return current_;
}

reply_message outgoing_call::TakeEnd() {
  parts_.metrics.CountCalled(about_.row->name, end_->end, end_->code, attempts_);
  end_->request = about_.request;
  return std::move(*end_);
}

}  // namespace cuminferry
