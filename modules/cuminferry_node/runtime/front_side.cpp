#include "cuminferry_node/runtime/front_side.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <utility>

#include "cuminferry_node/runtime/body_pipe.h"
#include "cuminferry_node/runtime/claimed_call.h"
#include "cuminferry_node/runtime/http_replies.h"
#include "cuminferry_policy/claims/claim_outcome.h"
#include "cuminferry_policy/claims/ticket_text.h"

namespace cuminferry {
namespace {

/** A body up to this size is read completely before the request is offered to admission. */
constexpr std::size_t kMaxInlineBodyBytes = 64 * 1024;
/** Maximum wait for another node's reply to a query about a ticket. */
constexpr std::chrono::seconds kQueryTimeout{1};
constexpr std::string_view kTicketPath = "/ticket/";
constexpr std::string_view kRevokePath = "/revoke";

/** Maximum time that a caller may request; the row's deadline may limit it further. */
constexpr std::chrono::hours kMaxTimeLeft{24};

std::string_view NameOf(claim_state state) {
  switch (state) {
    case claim_state::kNeverSeen:
      return "never_seen";
    case claim_state::kWaiting:
      return "waiting";
    case claim_state::kRunning:
      return "running";
    case claim_state::kCompleted:
      return "completed";
    case claim_state::kAnswerForgotten:
      return "answer_forgotten";
    case claim_state::kTombstone:
      return "not_run";
    case claim_state::kAborted:
      return "broken_off";
    case claim_state::kRefused:
      return "refused";
  }
  return "invalid";
}

// The reply to a call and the notification on which the HTTP thread waits for the reply.
struct awaited_reply {
  absl::Notification arrived;
  reply_message reply;
};

}  // namespace

class front_side::state {
 public:
  state(endpoint peer_address, incarnation_id incarnation, serving_side& serving,
        egress_side& egress, table_store& tables, connection_watch& watch, std::string service)
      : peer_address_(peer_address),
        incarnation_(incarnation),
        service_(std::move(service)),
        serving_(serving),
        egress_(egress),
        tables_(tables),
        watch_(watch) {}

  void Serve(const http_request& request, http_response& response) {
    ++requests_in_progress_;
    ServeCounted(request, response);
    --requests_in_progress_;
  }

  std::uint32_t requests_in_progress() const { return requests_in_progress_; }

 private:
  void ServeCounted(const http_request& request, http_response& response) {
    if (request.target.starts_with(kTicketPath)) {
      ServeTicket(request, response);
      return;
    }
    incoming_call call;
    call.request = NewRequestId();
    call.is_ingress = true;
    // Read before the body: a drain may begin during a long upload, which is still served.
    call.accepted_before_drain = !serving_.draining();
    call.method = request.method;
    call.target = request.target;
    call.headers = HeadersToForward(request.headers);
    const instant now = boot_clock::Now();
    const result_code fault = ReadRequestHeaders(request, now, call);
    reply_message reply =
        fault != result_code::kOk ? Refuse(call, fault) : RunAtTicketHome(request, call);
    response.close = !call.accepted_before_drain;
    response.close |= request.has_body && reply.outcome != call_outcome::kCompleted;
    if (!call.claim.empty()) {
      response.headers.push_back({header_names::kTicket, ticket_text::Write(FromWire(call.claim))});
    }
    WriteHttpResponse(reply, response);
  }

  // If the request has a ticket, an earlier copy may have run, so the outcome is unknown.
  static reply_message Refuse(const incoming_call& call, result_code fault) {
    return call.claim.empty() ? MakeNotRunReply(call.request, fault)
                              : MakeUnknownReply(call.request, fault);
  }

  static request_id NewRequestId() {
    thread_local random_source random = random_source::FromMachine();
    return {random.Next(), random.Next()};
  }

  result_code ReadRequestHeaders(const http_request& request, instant now, incoming_call& call) {
    const auto shard = tables_.Find(service_);
    const request_row* row = shard == nullptr ? nullptr : shard->FindRow(call.method, call.target);
    // A ticket is also read where the row is not known, because it names the node that has the
    // request's state.
    const bool idempotent = row != nullptr && row->idempotent;
    if (!idempotent && !ReadTicket(request, call.claim)) {
      return result_code::kTicketMalformed;
    }
    if (!ReadTimeLeft(request, now, now + kMaxTimeLeft, call.deadline)) {
      return result_code::kBadRequestHeader;
    }
    if (row != nullptr && !idempotent && call.claim.empty()) {
      call.claim = NewTicket();
    }
    return result_code::kOk;
  }

  // Returns false where the header is present but malformed.
  static bool ReadTicket(const http_request& request, ticket& into) {
    const auto text = request.Header(header_names::kTicket);
    claim_ticket given;
    if (!text.has_value()) {
      return true;
    }
    if (!ticket_text::Read(*text, given)) {
      return false;
    }
    into = ToWire(given);
    return true;
  }

  ticket NewTicket() {
    random_source random = random_source::FromMachine();
    const claim_target self{peer_address_, incarnation_, serving_.ClaimWindow()};
    return ToWire(MintTicket(self, incarnation_, random));
  }

  // A request with a ticket runs at the ticket's home, whichever node received the request.
  reply_message RunAtTicketHome(const http_request& request, incoming_call call) {
    if (!call.claim.empty() && call.claim.home != peer_address_) {
      return egress_.Relay(request, std::move(call));
    }
    return RunLocally(request, std::move(call));
  }

  // GET /ticket/<ticket> queries a ticket, POST /ticket/<ticket>/revoke revokes it, and
  // POST /ticket/ creates a new one.
  void ServeTicket(const http_request& request, http_response& response) {
    std::string_view text = request.target;
    text.remove_prefix(kTicketPath.size());
    if (text.empty() && request.method == "POST") {
      response.body = ticket_text::Write(FromWire(NewTicket())) + "\n";
      return;
    }
    const bool revoke = request.method == "POST" && text.ends_with(kRevokePath);
    if (revoke) {
      text.remove_suffix(kRevokePath.size());
    }
    claim_ticket queried;
    if (!ticket_text::Read(text, queried)) {
      WriteHttpResponse(MakeNotRunReply({}, result_code::kTicketMalformed), response);
      return;
    }
    AnswerTicket(ToWire(queried), revoke, response);
  }

  void AnswerTicket(const ticket& queried, bool revoke, http_response& response) {
    query_reply_message report;
    if (queried.home == peer_address_) {
      query_message query;
      query.claim = queried;
      query.revoke = revoke ? 1 : 0;
      report = serving_.Query(query);
    } else {
      report = egress_.QueryHome(queried, revoke, boot_clock::Now() + duration(kQueryTimeout));
    }
    if (report.code == static_cast<std::uint16_t>(result_code::kTicketHomeUnreachable)) {
      WriteHttpResponse(MakeUnknownReply({}, result_code::kTicketHomeUnreachable), response);
      return;
    }
    const auto state = static_cast<claim_state>(report.state);
    if (state == claim_state::kCompleted) {
      WriteHttpResponse(report.answer, response);
      return;
    }
    if (IsFinal(state)) {
      response.headers.push_back(
          {header_names::kOutcome,
           std::string(NameOf(static_cast<call_outcome>(OutcomeOf(state))))});
    }
    response.headers.push_back({header_names::kCode, std::to_string(report.code)});
    response.body = std::string(NameOf(state)) + "\n";
  }

  reply_message RunLocally(const http_request& request, incoming_call call) {
    auto awaited = std::make_shared<awaited_reply>();
    const auto on_reply = [awaited](reply_message reply) {
      awaited->reply = std::move(reply);
      awaited->arrived.Notify();
    };
    if (!request.has_body) {
      const call_key key = serving_.Begin(std::move(call), on_reply);
      Await(request, key, *awaited);
      return std::move(awaited->reply);
    }
    return RunWithBody(request, std::move(call), on_reply, *awaited);
  }

  reply_message RunWithBody(const http_request& request, incoming_call call,
                            const serving_side::reply_hook& on_reply, awaited_reply& awaited) {
    std::string first;
    std::shared_ptr<body_pipe> pipe;
    call_key key = 0;
    const bool whole = request.read_body([&](std::string_view part) {
      if (pipe != nullptr) {
        return pipe->Push(part);
      }
      first.append(part);
      if (first.size() <= kMaxInlineBodyBytes) {
        return true;
      }
      pipe = std::make_shared<body_pipe>();
      call.body = std::move(first);
      call.more_body = [pipe](std::string& next) { return pipe->Pull(next); };
      key = serving_.Begin(std::move(call), [on_reply, pipe](reply_message reply) {
        pipe->CloseReader();
        on_reply(std::move(reply));
      });
      return true;
    });
    if (pipe != nullptr) {
      whole ? pipe->Finish() : pipe->Fail();
    } else if (whole) {
      call.body = std::move(first);
      key = serving_.Begin(std::move(call), on_reply);
    } else {
      return MakeNotRunReply(call.request, result_code::kCallerGone);
    }
    Await(request, key, awaited);
    return std::move(awaited.reply);
  }

  void Await(const http_request& request, call_key key, awaited_reply& awaited) {
    if (awaited.arrived.HasBeenNotified()) {
      return;
    }
    const connection_watch::guard guard(watch_, request.descriptor,
                                        [this, key] { serving_.Cancel(key); });
    awaited.arrived.WaitForNotification();
  }

  const endpoint peer_address_;
  const incarnation_id incarnation_;
  const std::string service_;
  serving_side& serving_;
  egress_side& egress_;
  table_store& tables_;
  connection_watch& watch_;
  std::atomic<std::uint32_t> requests_in_progress_ = 0;
};

front_side::front_side(const node_settings& settings, endpoint peer_address,
                       incarnation_id incarnation, serving_side& serving, egress_side& egress,
                       table_store& tables, connection_watch& watch)
    : state_(std::make_unique<state>(peer_address, incarnation, serving, egress, tables, watch,
                                     settings.service)) {}
front_side::~front_side() = default;

std::uint32_t front_side::requests_in_progress() const { return state_->requests_in_progress(); }

void front_side::Serve(const http_request& request, http_response& response) {
  state_->Serve(request, response);
}

}  // namespace cuminferry
