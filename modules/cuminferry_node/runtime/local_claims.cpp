#include "cuminferry_node/runtime/local_claims.h"

#include "cuminferry_node/runtime/local_replies.h"

namespace cuminferry {
namespace {

claim_id ClaimOf(const ticket& claim) {
  return {claim.home_incarnation, claim.window, claim.nonce_high, claim.nonce_low};
}

reply_message AnswerFrom(const claim_report& report, request_id request) {
  switch (report.state) {
    case claim_state::kCompleted: {
      reply_message stored;
      if (DecodeMessage(report.answer, stored).ok()) {
        return stored;
      }
      return MakeUnknownReply(request, result_code::kTicketAnswerForgotten);
    }
    case claim_state::kTombstone:
      return MakeNotRunReply(request, report.code);
    case claim_state::kWaiting:
    case claim_state::kRunning:
      return MakeUnknownReply(request, result_code::kTicketRunning);
    case claim_state::kAnswerForgotten:
      return MakeUnknownReply(request, result_code::kTicketAnswerForgotten);
    case claim_state::kBrokenOff:
    case claim_state::kRefused:
    case claim_state::kNeverSeen:
      break;
  }
  return MakeUnknownReply(request, report.code);
}

}  // namespace

local_claims::local_claims(incarnation_id incarnation)
    : claims_(lock_rank::kClaims, claim_book::options{.incarnation = incarnation},
              boot_clock::Now()) {}

std::optional<reply_message> local_claims::Begin(const ticket& claim, request_id request) {
  if (claim.empty()) {
    return std::nullopt;
  }
  const claim_report report =
      claims_.With([&](claim_book& book) { return book.Begin(ClaimOf(claim), boot_clock::Now()); });
  if (report.state == claim_state::kNeverSeen) {
    return std::nullopt;
  }
  return AnswerFrom(report, request);
}

reply_message local_claims::Refuse(const ticket& claim, request_id request, result_code fault) {
  if (claim.empty()) {
    return MakeNotRunReply(request, fault);
  }
  const claim_report report = claims_.With(
      [&](claim_book& book) { return book.Refuse(ClaimOf(claim), fault, boot_clock::Now()); });
  return AnswerFrom(report, request);
}

bool local_claims::HandOver(const ticket& claim) {
  if (claim.empty()) {
    return true;
  }
  return claims_.With(
      [&](claim_book& book) { return book.HandOver(ClaimOf(claim), boot_clock::Now()); });
}

void local_claims::EndUnrun(const ticket& claim, result_code code) {
  if (!claim.empty()) {
    claims_.With([&](claim_book& book) { book.EndUnrun(ClaimOf(claim), code, boot_clock::Now()); });
  }
}

void local_claims::StoreOutcome(const ticket& claim, const reply_message& reply) {
  if (claim.empty()) {
    return;
  }
  const auto code = static_cast<result_code>(reply.code);
  claims_.With([&](claim_book& book) {
    const instant now = boot_clock::Now();
    switch (reply.outcome) {
      case call_outcome::kCompleted:
        book.Complete(ClaimOf(claim), EncodeMessage(reply), now);
        break;
      case call_outcome::kNotRun:
        book.EndUnrun(ClaimOf(claim), code, now);
        break;
      case call_outcome::kUnknown:
        book.BreakOff(ClaimOf(claim), code, now);
        break;
    }
  });
}

//==============================================================================
query_reply_message local_claims::Query(const query_message& query) {
  const claim_id claim = ClaimOf(query.claim);
  const claim_report report = claims_.With([&](claim_book& book) {
    const instant now = boot_clock::Now();
    return query.revoke != 0 ? book.Revoke(claim, now) : book.Ask(claim, now);
  });
  query_reply_message reply;
  reply.query_id = query.query_id;
  reply.state = static_cast<std::uint8_t>(report.state);
  reply.code = static_cast<std::uint16_t>(report.code);
  if (report.state == claim_state::kCompleted) {
    static_cast<void>(DecodeMessage(report.answer, reply.answer));
  }
  return reply;
}

std::uint32_t local_claims::Window() {
  return claims_.With([](claim_book& book) { return book.Window(boot_clock::Now()); });
}

}  // namespace cuminferry
