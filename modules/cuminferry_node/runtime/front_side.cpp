#include "cuminferry_node/runtime/front_side.h"

#include <absl/synchronization/notification.h>

#include <utility>

#include "cuminferry_node/runtime/body_pipe.h"
#include "cuminferry_node/runtime/http_replies.h"

namespace cuminferry {
namespace {

/** A body up to this size is read before the request is admitted. */
constexpr std::size_t kInlineBody = 64 * 1024;
/** Bounds the time that a caller may ask for; the row's deadline bounds it further. */
constexpr std::chrono::hours kLongestTime{24};

// The reply to a call, for the thread that waits for it.
struct awaited_reply {
  absl::Notification came;
  reply_message reply;
};

}  // namespace

class front_side::state {
 public:
  state(endpoint peer_address, incarnation_id incarnation, serving_side& serving,
        egress_side& /*egress*/, table_store& tables, connection_watch& watch, std::string service)
      : peer_address_(peer_address),
        incarnation_(incarnation),
        service_(std::move(service)),
        serving_(serving),
        tables_(tables),
        watch_(watch) {}

  void Serve(const http_request& request, http_response& response) {
    incoming_call call;
    call.request = NewRequestId();
    call.enters_here = true;
    call.method = request.method;
    call.target = request.target;
    const instant now = boot_clock::Now();
    if (!ReadTimeLeft(request, now, now + kLongestTime, call.deadline)) {
      response.close = request.has_body;
      ToHttp(MakeNotRun(call.request, result_code::kBadRequestHeader), response);
      return;
    }
    call.headers = HeadersToPassOn(request.headers);
    BindTicket(call);
    reply_message reply = RunLocally(request, std::move(call));
    response.close = request.has_body && reply.end != call_end::kCompleted;
    ToHttp(reply, response);
  }

 private:
  static request_id NewRequestId() {
    thread_local random_source random = random_source::FromMachine();
    return {random.Next(), random.Next()};
  }

  void BindTicket(incoming_call& call) {
    const auto shard = tables_.Find(service_);
    const request_row* row = shard == nullptr ? nullptr : shard->FindRow(call.method, call.target);
    if (row == nullptr || row->idempotent) {
      return;
    }
    thread_local random_source random = random_source::FromMachine();
    call.claim = {peer_address_, incarnation_, serving_.ClaimWindow(), random.Next(),
                  random.Next()};
  }

  reply_message RunLocally(const http_request& request, incoming_call call) {
    auto awaited = std::make_shared<awaited_reply>();
    const auto on_reply = [awaited](reply_message reply) {
      awaited->reply = std::move(reply);
      awaited->came.Notify();
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
      if (first.size() <= kInlineBody) {
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
      return MakeNotRun(call.request, result_code::kCallerGone);
    }
    Await(request, key, awaited);
    return std::move(awaited.reply);
  }

  void Await(const http_request& request, call_key key, awaited_reply& awaited) {
    if (awaited.came.HasBeenNotified()) {
      return;
    }
    const connection_watch::guard guard(watch_, request.descriptor,
                                        [this, key] { serving_.Cancel(key); });
    awaited.came.WaitForNotification();
  }

  const endpoint peer_address_;
  const incarnation_id incarnation_;
  const std::string service_;
  serving_side& serving_;
  table_store& tables_;
  connection_watch& watch_;
};

front_side::front_side(const node_settings& settings, endpoint peer_address,
                       incarnation_id incarnation, serving_side& serving, egress_side& egress,
                       table_store& tables, connection_watch& watch)
    : state_(std::make_unique<state>(peer_address, incarnation, serving, egress, tables, watch,
                                     settings.service)) {}
front_side::~front_side() = default;

void front_side::Serve(const http_request& request, http_response& response) {
  state_->Serve(request, response);
}

}  // namespace cuminferry
