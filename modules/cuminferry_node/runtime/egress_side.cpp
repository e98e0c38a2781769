#include "cuminferry_node/runtime/egress_side.h"

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/call_router.h"
#include "cuminferry_node/runtime/http_replies.h"
#include "cuminferry_node/runtime/outgoing_call.h"

namespace cuminferry {
namespace {

/** A body up to this size is sent in the call message itself. */
constexpr std::size_t kMaxInlineBodyBytes = 64 * 1024;
/** Maximum wait of the first call to a service for the service's table shard and targets. */
constexpr std::chrono::seconds kMaxTableWait{2};

// Splits "/<service>/<path>". Returns false where the service is empty.
bool SplitTarget(std::string_view target, std::string& service, std::string& path) {
  if (target.size() < 2 || target.front() != '/') {
    return false;
  }
  const std::size_t slash = target.find('/', 1);
  service = target.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  path = slash == std::string_view::npos ? "/" : target.substr(slash);
  return !service.empty();
}

// The rank of a request whose ingress node is this one.
call_rank IngressRank(const request_row& row) {
  thread_local random_source random = random_source::FromMachine();
  return {row.weight, false, static_cast<std::uint16_t>(random.Next())};
}

reply_message RunWithBody(const http_request& request, outgoing_call& call) {
  if (!request.has_body) {
    return call.Run({});
  }
  std::string first;
  bool streams = false;
  const bool whole = request.read_body([&](std::string_view part) {
    if (streams) {
      return call.SendPart(part);
    }
    first.append(part);
    if (first.size() <= kMaxInlineBodyBytes) {
      return true;
    }
    streams = true;
    return call.OpenStream(std::move(first));
  });
  if (streams) {
    return call.FinishStream(whole);
  }
  return call.Run(std::move(first));
}

}  // namespace

class egress_side::state {
 public:
  state(const node_settings& settings, dependencies chosen)
      : dependencies_(std::move(chosen)),
        router_(settings),
        use_blind_retries_(settings.control == "none") {}

  void Serve(const http_request& request, http_response& response) {
    outgoing_call::call_description description;
    const result_code fault = Describe(request, description);
    if (fault != result_code::kOk) {
      response.close = request.has_body;
      WriteHttpResponse(MakeNotRunReply(description.request, fault), response);
      return;
    }
    const std::shared_ptr<running_request> parent = description.parent;
    const std::string row = description.row->name;
    const std::string service = description.service;
    // Shared with the cancel hook, which may still run after the call has finished.
    const std::shared_ptr<outgoing_call> call = outgoing_call::Make(
        std::move(description), CallDependencies(parent->info().row, service, row));
    bool first = false;
    const std::uint64_t child = parent->AddChildCall([call] { call->Cancel(); }, first);
    if (first) {
      dependencies_.serving.BeginWait(parent->info().key, service);
    }
    reply_message reply;
    {
      const connection_watch::guard guard(dependencies_.watch, request.descriptor,
                                          [&call] { call->Cancel(); });
      reply = RunWithBody(request, *call);
    }
    bool last = false;
    parent->RemoveChildCall(child, last);
    if (last) {
      dependencies_.serving.EndWait(parent->info().key);
    }
    response.close = request.has_body && reply.outcome != call_outcome::kCompleted;
    WriteHttpResponse(reply, response);
  }

  reply_message Relay(const http_request& request, incoming_call incoming) {
    const auto shard = dependencies_.tables.Find(own_service_);
    outgoing_call::call_description description;
    description.request = incoming.request;
    description.service = own_service_;
    description.method = incoming.method;
    description.target = incoming.target;
    description.headers = incoming.headers;
    description.existing_ticket = incoming.claim;
    description.shard = shard;
    description.row = shard == nullptr ? nullptr : shard->FindRow(incoming.method, incoming.target);
    if (description.row == nullptr) {
      // Only the ticket's home knows whether an earlier copy ran under this ticket.
      return MakeUnknownReply(incoming.request, result_code::kTicketHomeUnreachable);
    }
    description.rank = IngressRank(*description.row);
    description.deadline =
        std::min(incoming.deadline, boot_clock::Now() + description.row->deadline);
    const std::shared_ptr<outgoing_call> call =
        outgoing_call::Make(std::move(description), CallDependencies({}, {}, {}));
    const connection_watch::guard guard(dependencies_.watch, request.descriptor,
                                        [&call] { call->Cancel(); });
    return RunWithBody(request, *call);
  }

  query_reply_message QueryHome(const ticket& claim, bool revoke, instant until) {
    query_message query;
    query.claim = claim;
    query.revoke = revoke ? 1 : 0;
    const auto pending_query = dependencies_.links.Query(claim.home, query);
    query_reply_message reply;
    reply.code = static_cast<std::uint16_t>(result_code::kTicketHomeUnreachable);
    if (pending_query == nullptr) {
      return reply;
    }
    if (pending_query->Wait(until) == outgoing_attempt::event::kQueryReply) {
      reply = pending_query->TakeQueryReply();
    }
    dependencies_.links.Forget(*pending_query);
    return reply;
  }

  // Ignores nodes of services that are not called from here; they are no targets of this node.
  void OnHello(const hello_message& hello) {
    if (dependencies_.tables.Find(hello.service) != nullptr) {
      router_.LearnTarget(hello);
    }
  }

  void SetOwnService(std::string service) { own_service_ = std::move(service); }
  call_router& router() { return router_; }

 private:
  result_code Describe(const http_request& request, outgoing_call::call_description& description) {
    const auto handle = request.Header(header_names::kContext);
    description.parent = dependencies_.records.Find(handle.value_or(""));
    if (description.parent == nullptr) {
      return result_code::kUnknownContext;
    }
    description.request = description.parent->info().id;
    description.rank = description.parent->info().rank.ToUnderWay();
    if (!SplitTarget(request.target, description.service, description.target)) {
      return result_code::kNoSuchRow;
    }
    const instant now = boot_clock::Now();
    if (!ReadTimeLeft(request, now, description.parent->info().deadline, description.deadline)) {
      return result_code::kBadRequestHeader;
    }
    description.method = request.method;
    description.headers = HeadersToForward(request.headers);
    return FindRow(now, description);
  }

  result_code FindRow(instant now, outgoing_call::call_description& description) {
    description.shard = dependencies_.tables.Find(description.service);
    if (description.shard == nullptr) {
      dependencies_.follow(description.service);
      description.shard = dependencies_.tables.WaitFor(
          description.service, std::min(description.deadline, now + duration(kMaxTableWait)));
    }
    if (description.shard == nullptr) {
      return result_code::kNoTableYet;
    }
    description.row = description.shard->FindRow(description.method, description.target);
    if (description.row == nullptr) {
      return result_code::kNoSuchRow;
    }
    description.deadline = std::min(description.deadline, now + description.row->deadline);
    dependencies_.tables.WaitForTargets(
        description.service, std::min(description.deadline, now + duration(kMaxTableWait)));
    return result_code::kOk;
  }

  outgoing_call::dependencies CallDependencies(std::string caller_row, std::string service,
                                               std::string row) {
    serving_side& serving = dependencies_.serving;
    return {
        .links = dependencies_.links,
        .router = router_,
        .metrics = dependencies_.metrics,
        .events = dependencies_.events,
        .use_blind_retries = use_blind_retries_,
        .on_threshold = [&serving, caller_row = std::move(caller_row), service = std::move(service),
                         row = std::move(row)](call_rank threshold) {
          serving.LearnThreshold(caller_row, service, row, threshold);
        }};
  }

  dependencies dependencies_;
  call_router router_;
  const bool use_blind_retries_;
  std::string own_service_;
};

egress_side::egress_side(const node_settings& settings, dependencies chosen)
    : state_(std::make_unique<state>(settings, std::move(chosen))) {
  state_->SetOwnService(settings.service);
}
egress_side::~egress_side() = default;

void egress_side::Serve(const http_request& request, http_response& response) {
  state_->Serve(request, response);
}

reply_message egress_side::Relay(const http_request& request, incoming_call call) {
  return state_->Relay(request, std::move(call));
}

query_reply_message egress_side::QueryHome(const ticket& claim, bool revoke, instant until) {
  return state_->QueryHome(claim, revoke, until);
}

void egress_side::UseTargets(std::string_view service, std::span<const target_info> targets) {
  state_->router().UseTargets(service, targets);
}

void egress_side::OnHello(const hello_message& hello) { state_->OnHello(hello); }

void egress_side::MarkDraining(endpoint target, incarnation_id incarnation) {
  state_->router().MarkDraining(target, incarnation);
}

void egress_side::NoteProcessPause() { state_->router().NoteProcessPause(); }

}  // namespace cuminferry
