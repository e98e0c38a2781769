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
    case claim_state::kAborted:
    case claim_state::kRefused:
    case claim_state::kNeverSeen:
      break;
  }
  return MakeUnknownReply(request, report.code);
}

}  // namespace

local_claims::local_claims(incarnation_id incarnation)
    : registry_(lock_rank::kClaims, claim_registry::options{.incarnation = incarnation},
                boot_clock::Now()) {}

std::optional<reply_message> local_claims::Begin(const ticket& claim, request_id request) {
  if (claim.empty()) {
    return std::nullopt;
  }
  const claim_report report = registry_.With(
      [&](claim_registry& registry) { return registry.Begin(ClaimOf(claim), boot_clock::Now()); });
  if (report.state == claim_state::kNeverSeen) {
    return std::nullopt;
  }
  return AnswerFrom(report, request);
}

reply_message local_claims::Refuse(const ticket& claim, request_id request, result_code fault) {
  if (claim.empty()) {
    return MakeNotRunReply(request, fault);
  }
  const claim_report report = registry_.With([&](claim_registry& registry) {
    return registry.Refuse(ClaimOf(claim), fault, boot_clock::Now());
  });
  return AnswerFrom(report, request);
}

bool local_claims::HandOver(const ticket& claim) {
  if (claim.empty()) {
    return true;
  }
  return registry_.With([&](claim_registry& registry) {
    return registry.HandOver(ClaimOf(claim), boot_clock::Now());
  });
}

void local_claims::MarkNotRun(const ticket& claim, result_code code) {
  if (!claim.empty()) {
    registry_.With([&](claim_registry& registry) {
      registry.MarkNotRun(ClaimOf(claim), code, boot_clock::Now());
    });
  }
}

void local_claims::StoreOutcome(const ticket& claim, const reply_message& reply) {
  if (claim.empty()) {
    return;
  }
  const auto code = static_cast<result_code>(reply.code);
  registry_.With([&](claim_registry& registry) {
    const instant now = boot_clock::Now();
    switch (reply.outcome) {
      case call_outcome::kCompleted:
        registry.Complete(ClaimOf(claim), EncodeMessage(reply), now);
        break;
      case call_outcome::kNotRun:
        registry.MarkNotRun(ClaimOf(claim), code, now);
        break;
      case call_outcome::kUnknown:
        registry.MarkAborted(ClaimOf(claim), code, now);
        break;
    }
  });
}

//==============================================================================
query_reply_message local_claims::Query(const query_message& query) {
  const claim_id claim = ClaimOf(query.claim);
  const claim_report report = registry_.With([&](claim_registry& registry) {
    const instant now = boot_clock::Now();
    return query.revoke != 0 ? registry.Revoke(claim, now) : registry.Query(claim, now);
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

std::uint32_t local_claims::CurrentWindow() {
  return registry_.With(
      [](claim_registry& registry) { return registry.CurrentWindow(boot_clock::Now()); });
}

}  // namespace cuminferry
