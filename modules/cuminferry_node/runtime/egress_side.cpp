#include "cuminferry_node/runtime/egress_side.h"

#include <algorithm>
#include <utility>

#include "cuminferry_node/runtime/call_router.h"
#include "cuminferry_node/runtime/http_replies.h"
#include "cuminferry_node/runtime/outgoing_call.h"

namespace cuminferry {
namespace {

/** A body up to this size goes along with the call. */
constexpr std::size_t kInlineBody = 64 * 1024;
/** How long a first call to a service waits for the service's part of the table. */
constexpr std::chrono::seconds kLongestTableWait{2};

// "/<service>/<path>" taken apart; false where it has no service.
bool SplitTarget(std::string_view target, std::string& service, std::string& path) {
  if (target.size() < 2 || target.front() != '/') {
    return false;
  }
  const std::size_t slash = target.find('/', 1);
  service = target.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  path = slash == std::string_view::npos ? "/" : target.substr(slash);
  return !service.empty();
}

// The rank of a request that enters the fleet here.
call_rank EntryRank(const request_row& row) {
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
    if (first.size() <= kInlineBody) {
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
  state(const node_settings& settings, parts chosen)
      : parts_(std::move(chosen)), router_(settings), blind_retries_(settings.control == "none") {}

  void Serve(const http_request& request, http_response& response) {
    outgoing_call::target_call about;
    const result_code fault = Describe(request, about);
    if (fault != result_code::kOk) {
      response.close = request.has_body;
      ToHttp(MakeNotRun(about.request, fault), response);
      return;
    }
    const std::shared_ptr<running_request> parent = about.parent;
    const std::string row = about.row->name;
    const std::string service = about.service;
    // Shared with the hook: a cancel that has begun may come after the call's end.
    const std::shared_ptr<outgoing_call> call =
        outgoing_call::Make(std::move(about), CallParts(parent->about().row, service, row));
    bool first = false;
    const std::uint64_t child = parent->BeginChild([call] { call->Cancel(); }, first);
    if (first) {
      parts_.serving.BeginWait(parent->about().key, service);
    }
    reply_message reply;
    {
      const connection_watch::guard guard(parts_.watch, request.descriptor,
                                          [&call] { call->Cancel(); });
      reply = RunWithBody(request, *call);
    }
    bool last = false;
    parent->EndChild(child, last);
    if (last) {
      parts_.serving.EndWait(parent->about().key);
    }
    response.close = request.has_body && reply.end != call_end::kCompleted;
    ToHttp(reply, response);
  }

  reply_message Relay(const http_request& request, incoming_call incoming) {
    const auto shard = parts_.tables.Find(own_service_);
    outgoing_call::target_call about;
    about.request = incoming.request;
    about.service = own_service_;
    about.method = incoming.method;
    about.target = incoming.target;
    about.headers = incoming.headers;
    about.bound = incoming.claim;
    about.shard = shard;
    about.row = shard == nullptr ? nullptr : shard->FindRow(incoming.method, incoming.target);
    if (about.row == nullptr) {
      // Of what an earlier copy did under this ticket only its home knows.
      return MakeUnknown(incoming.request, result_code::kTicketHomeUnreachable);
    }
    about.rank = EntryRank(*about.row);
    about.deadline = std::min(incoming.deadline, boot_clock::Now() + about.row->deadline);
    const std::shared_ptr<outgoing_call> call =
        outgoing_call::Make(std::move(about), CallParts({}, {}, {}));
    const connection_watch::guard guard(parts_.watch, request.descriptor,
                                        [&call] { call->Cancel(); });
    return RunWithBody(request, *call);
  }

  ask_reply_message AskHome(const ticket& claim, bool revoke, instant until) {
    ask_message question;
    question.claim = claim;
    question.revoke = revoke ? 1 : 0;
    const auto asked = parts_.links.Ask(claim.home, question);
    ask_reply_message reply;
    reply.code = static_cast<std::uint16_t>(result_code::kTicketHomeUnreachable);
    if (asked == nullptr) {
      return reply;
    }
    if (asked->Wait(until) == outgoing_attempt::event::kAskReply) {
      reply = asked->TakeAskReply();
    }
    parts_.links.Forget(*asked);
    return reply;
  }

  // Only services that are called from here: the others' nodes are none of its targets.
  void OnHello(const hello_message& hello) {
    if (parts_.tables.Find(hello.service) != nullptr) {
      router_.LearnTarget(hello);
    }
  }

  void SetOwnService(std::string service) { own_service_ = std::move(service); }
  call_router& router() { return router_; }

 private:
  result_code Describe(const http_request& request, outgoing_call::target_call& about) {
    const auto handle = request.Header(header_names::kContext);
    about.parent = parts_.records.Find(handle.value_or(""));
    if (about.parent == nullptr) {
      return result_code::kUnknownContext;
    }
    about.request = about.parent->about().id;
    about.rank = about.parent->about().rank.ToUnderWay();
    if (!SplitTarget(request.target, about.service, about.target)) {
      return result_code::kNoSuchRow;
    }
    const instant now = boot_clock::Now();
    if (!ReadTimeLeft(request, now, about.parent->about().deadline, about.deadline)) {
      return result_code::kBadRequestHeader;
    }
    about.method = request.method;
    about.headers = HeadersToPassOn(request.headers);
    return FindRow(now, about);
  }

  result_code FindRow(instant now, outgoing_call::target_call& about) {
    about.shard = parts_.tables.Find(about.service);
    if (about.shard == nullptr) {
      parts_.follow(about.service);
      about.shard = parts_.tables.WaitFor(
          about.service, std::min(about.deadline, now + duration(kLongestTableWait)));
    }
    if (about.shard == nullptr) {
      return result_code::kNoTableYet;
    }
    about.row = about.shard->FindRow(about.method, about.target);
    if (about.row == nullptr) {
      return result_code::kNoSuchRow;
    }
    about.deadline = std::min(about.deadline, now + about.row->deadline);
    parts_.tables.WaitForTargets(about.service,
                                 std::min(about.deadline, now + duration(kLongestTableWait)));
    return result_code::kOk;
  }

  outgoing_call::parts CallParts(std::string caller_row, std::string service, std::string row) {
    serving_side& serving = parts_.serving;
    return {
        .links = parts_.links,
        .router = router_,
        .metrics = parts_.metrics,
        .events = parts_.events,
        .blind_retries = blind_retries_,
        .on_threshold = [&serving, caller_row = std::move(caller_row), service = std::move(service),
                         row = std::move(row)](call_rank threshold) {
          serving.LearnThreshold(caller_row, service, row, threshold);
        }};
  }

  parts parts_;
  call_router router_;
  const bool blind_retries_;
  std::string own_service_;
};

egress_side::egress_side(const node_settings& settings, parts chosen)
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

ask_reply_message egress_side::AskHome(const ticket& claim, bool revoke, instant until) {
  return state_->AskHome(claim, revoke, until);
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
