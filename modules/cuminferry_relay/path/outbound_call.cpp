#include "cuminferry_relay/path/outbound_call.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {
namespace {

std::string SecondsText(duration span) { return fmt::format("{:.2f}", ToSeconds(span)); }

}  // namespace

http_head MakeAnswer(int status) {
  http_head head;
  head.status = status;
  head.reason = http_status::ReasonOf(status);
  return head;
}

outbound_call::state::state(relay_board& board, std::shared_ptr<server_exchange> client,
                            std::function<void(outbound_call*)> on_end)
    : board(board),
      client(std::move(client)),
      on_end(std::move(on_end)),
      started(board.loop.Now()),
      entered(started),
      timer(board.loop),
      silence_timer(board.loop) {}

void outbound_call::state::Begin() {
  HookClient();
  const http_head& request = client->request();
  const std::string* id = request.Find(board.settings.headers.request_id);
  const std::string* host = request.Find("host");
  if (board.closed) {
    Refuse("stopping", kPlainReturn);
    return;
  }
  table = board.table();
  if (!table) {
    Refuse("no_table", kPlainReturn);
    return;
  }
  if (id == nullptr || host == nullptr) {
    AnswerError(http_status::kBadRequest, "malformed");
    return;
  }
  record.request_id = *id;
  route = table->Find(*host, request.target);
  if (route == nullptr) {
    AnswerError(http_status::kNotFound, "no_row");
    return;
  }
  record.row = route->name;
  record.table_version = table->version();
  SetDeadline(request);
  if (FindCustomer()) {
    CheckLimit();
  }
}

// Whose it is and that it is within a limit is known.
void outbound_call::state::Enter() {
  rank = RankOf(*route, holder);
  record.nested = holder == nullptr && !board.admission.ComesFromClients(route->name);
  if (!record.nested) {
    board.admission.OnRequest(route->name, rank, started);
    if (!board.admission.Admits(route->name, rank, board.random.Fraction(), started)) {
      Refuse("level", ReturnTime(started));
      return;
    }
  }
  record.service = ChooseService();
  if (record.nested && board.running.any()) {
    board.causes.OnCall(route->name, started);
    stands_for = board.demand.OnCall(route->name);
    repeated = board.running.repeated_share();
    entered = started - board.running.MeanAge(started);
  }
  PlaceUnlessSuspect();
}

void outbound_call::state::SetDeadline(const http_head& request) {
  duration left = route->timeout;
  if (const std::string* field = request.Find(board.settings.headers.deadline)) {
    if (const auto millis = ParseDecimal(*field)) {
      left =
          std::min<duration>(left, std::chrono::milliseconds(std::max<std::int64_t>(0, *millis)));
    }
  }
  deadline = started + left;
  timer.StartOnce(left, [this] { OnDeadline(); });
}

// By weight, whatever room the services have: the operator's split is kept,
// and what doesn't fit in a part is refused.
std::string outbound_call::state::ChooseService() {
  double sum = 0.0;
  for (const weighted_service& part : route->services) {
    sum += part.weight;
  }
  double draw = board.random.Fraction() * sum;
  for (const weighted_service& part : route->services) {
    draw -= part.weight;
    if (draw < 0.0) {
      return part.service;
    }
  }
  return route->services.back().service;
}

void outbound_call::state::HookClient() {
  client->SetHooks({.on_body = [this](std::string_view bytes) { OnRequestBody(bytes); },
                    .on_body_end = [this] { OnRequestBodyEnd(); },
                    .on_client_gone = [this] { OnClientGone(); },
                    .on_drained =
                        [this] {
                          if (upstream) {
                            upstream->ResumeAnswer();
                          }
                        }});
}

void outbound_call::state::OnRequestBody(std::string_view bytes) {
  if (ended) {
    return;
  }
  replay.Append(bytes);
  body_bytes += static_cast<double>(bytes.size());
  if (awaits_body && replay.is_known()) {
    OnBodyKnown();
    return;
  }
  if (upstream && released) {
    upstream->SendBody(bytes);
    if (upstream->unsent() > tcp_connection::kHighWater) {
      client->PauseBody();
    }
  } else if (replay.bytes().size() > tcp_connection::kHighWater) {
    client->PauseBody();
  }
}

void outbound_call::state::OnRequestBodyEnd() {
  body_ended = true;
  if (awaits_body) {
    OnBodyKnown();
    return;
  }
  if (upstream && released) {
    upstream->FinishBody();
  }
}

void outbound_call::state::OnDeadline() {
  if (ended) {
    return;
  }
  if (committed) {
    if (!detached) {
      client->Break();
    }
    End("cut_at_deadline");
    return;
  }
  if (upstream) {
    board.PickerOf(record.service).OnDone(record.target_id);
  }
  if (!released && !may_have_run) {
    // The row's timeout may be over long before its client's patience.
    Refuse("deadline", ReturnTime(board.loop.Now()));
    return;
  }
  AnswerError(http_status::kGatewayTimeout, "deadline");
}

void outbound_call::state::OnClientGone() {
  if (ended) {
    return;
  }
  // What can't be repeated and may run is left to finish: the client may ask what
  // became of it. It can't finish without the rest of its body.
  const bool leave_running = route != nullptr && upstream && released && body_ended &&
                             route->repeat != repeat_rule::kIdempotent;
  if (leave_running) {
    detached = true;
    upstream->ResumeAnswer();
    return;
  }
  if (upstream) {
    board.PickerOf(record.service).OnDone(record.target_id);
  }
  End("client_gone");
}

// The request has not run and will not.
void outbound_call::state::Refuse(std::string_view why, std::optional<duration> return_after) {
  if (std::exchange(counted, false)) {
    board.limits.OnRefused(*holder);
  }
  http_head head = MakeAnswer(http_status::kUnavailable);
  if (return_after) {
    head.Set("Retry-After", SecondsText(*return_after));
  }
  AnswerAndEnd(std::move(head), "refused", why);
}

// Its customer sends more than was agreed. It is not counted among what its row asks for:
// others would be refused for it.
void outbound_call::state::RefuseOverLimit() {
  board.metrics.OnCustomer(holder->name, "over_limit");
  record.limit_share = board.limits.ShareOf(holder->name);
  record.limit_alone = board.limits.IsAlone(holder->name);
  http_head head = MakeAnswer(http_status::kTooManyRequests);
  const double draw = board.random.Fraction();
  head.Set("Retry-After", SecondsText(board.limits.ReturnAfter(*holder, route->objective, draw)));
  AnswerAndEnd(std::move(head), "refused", "over_limit");
}

void outbound_call::state::AnswerError(int status, std::string_view why) {
  http_head head = MakeAnswer(status);
  if (status == http_status::kUnauthorized) {
    head.Set("WWW-Authenticate", "Bearer");
  }
  AnswerAndEnd(std::move(head), status == http_status::kNotFound ? "no_row" : "failed", why);
}

void outbound_call::state::AnswerAndEnd(http_head head, std::string_view result,
                                        std::string_view why) {
  if (failure.ready() && !detached) {
    failure.SendTo(*client);
    client->Finish();
    record.reason = why;
    End("answered");
    return;
  }
  if (!record.request_id.empty()) {
    head.Set(board.settings.headers.request_id, record.request_id);
  }
  record.reason = why;
  if (!detached) {
    client->Answer(std::move(head), "");
  }
  End(result);
}

void outbound_call::state::End(std::string_view result) {
  if (ended) {
    return;
  }
  ended = true;
  timer.Stop();
  silence_timer.Stop();
  client->SetHooks({});
  if (upstream) {
    upstream->Cancel();
  }
  const duration took = board.loop.Now() - started;
  board.metrics.OnRequestEnd(route == nullptr ? "" : route->name, result, took);
  LogEnd(result, took);
  // The owner lets go of this call; the caller of this function still holds it.
  on_end(self);
}

void outbound_call::state::LogEnd(std::string_view result, duration took) {
  const bool late = route != nullptr && took > route->objective;
  if (!board.log.Wants(result != "answered" || late || record.placements > 1)) {
    return;
  }
  if (result == "refused" && route != nullptr) {
    const instant now = board.loop.Now();
    record.level = board.admission.AdmittedShare(route->name, rank, now);
    if (*record.level < 1.0) {
      record.limited_by = board.admission.Limit(route->name, now).service;
    }
  }
  record.WriteEnd(board.log, result, took);
}

outbound_call::outbound_call() = default;
outbound_call::~outbound_call() = default;

void outbound_call::Run() { state_->Begin(); }

std::shared_ptr<outbound_call> outbound_call::Make(relay_board& board,
                                                   std::shared_ptr<server_exchange> client,
                                                   std::function<void(outbound_call*)> on_end) {
  std::shared_ptr<outbound_call> call(new outbound_call);
  call->state_ = std::make_unique<state>(board, std::move(client), std::move(on_end));
  call->state_->self = call.get();
  return call;
}

}  // namespace cuminferry
