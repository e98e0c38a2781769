#include "cuminferry_relay/path/outbound_call.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_state.h"

namespace cuminferry {
namespace {

std::string FormatSeconds(duration span) { return fmt::format("{:.2f}", ToSeconds(span)); }

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
      started_at(board.loop.Now()),
      admitted_at(started_at),
      deadline_timer(board.loop),
      answer_timer(board.loop) {}

void outbound_call::state::Begin() {
  SetClientHooks();
  const http_head& request = client->request();
  const std::string* id = request.Find(board.settings.headers.request_id);
  const std::string* host = request.Find("host");
  if (board.refuses_clients) {
    Refuse("stopping", kDefaultRetryAfter);
    return;
  }
  table = board.table();
  if (!table) {
    Refuse("no_table", kDefaultRetryAfter);
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
  if (AuthenticateCustomer()) {
    CheckLimit();
  }
}

// Admits and places the request. Its customer is known and is within its limit.
void outbound_call::state::AdmitAndPlace() {
  rank = RankOf(*route, key_holder);
  record.nested = key_holder == nullptr && !board.admission.ComesFromClients(route->name);
  if (!record.nested) {
    board.admission.OnRequest(route->name, rank, started_at);
    const double share = AdmittedShare();
    if (board.random.Fraction() >= share) {
      if (SharesByCustomer()) {
        record.customer_share = share;
      }
      Refuse("level", RetryDelay(started_at));
      return;
    }
  }
  record.service = ChooseService();
  if (record.nested && board.running.has_runs()) {
    board.attribution.OnCall(route->name, started_at);
    represented_requests = board.demand.OnCall(route->name);
    repeat_probability = board.running.repeated_share();
    has_turn = board.turns.HasTurn(route->name, started_at, board.random);
    admitted_at = started_at - board.running.MeanAge(started_at);
  }
  PlaceUnlessSuspect();
}

bool outbound_call::state::SharesByCustomer() const {
  return key_holder != nullptr && board.settings.customer_shares;
}

// The share of requests like this one that is admitted.
double outbound_call::state::AdmittedShare() {
  const double of_rank = board.admission.AdmittedShare(route->name, rank, started_at);
  const std::string service = board.admission.Limit(route->name, started_at).service;
  if (!SharesByCustomer() || service.empty()) {
    return of_rank;
  }
  // Begin() may have been some milliseconds ago, if the customer's coordinator was queried.
  const instant now = board.loop.Now();
  return board.shares.OnRequest({.service = service, .rank = rank}, key_holder->name,
                                board.weights.WeightOf(*key_holder), of_rank, now);
}

void outbound_call::state::SetDeadline(const http_head& request) {
  duration left = route->timeout;
  if (const std::string* field = request.Find(board.settings.headers.deadline)) {
    left = std::min(left, ParseTime(*field, std::chrono::milliseconds(1)).value_or(left));
  }
  deadline = started_at + left;
  deadline_timer.StartOnce(left, [this] { OnDeadline(); });
}

// Draws a service by weight, regardless of the services' load: the operator's split is
// preserved, and requests that a service has no capacity for are refused.
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

void outbound_call::state::SetClientHooks() {
  client->SetHooks({.on_body = [this](std::string_view bytes) { OnRequestBody(bytes); },
                    .on_body_end = [this] { OnRequestBodyEnd(); },
                    .on_client_gone = [this] { OnClientGone(); },
                    .on_writable =
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
  request_body.Append(bytes);
  body_bytes += static_cast<double>(bytes.size());
  if (awaits_body && request_body.is_digestible()) {
    OnDigestAvailable();
    return;
  }
  if (upstream && body_released) {
    upstream->SendBody(bytes);
    if (upstream->unsent_bytes() > tcp_connection::kHighWater) {
      client->PauseBody();
    }
  } else if (request_body.is_complete() &&
             request_body.bytes().size() > tcp_connection::kHighWater) {
    PauseClientBody();
  }
}

void outbound_call::state::OnRequestBodyEnd() {
  body_ended = true;
  if (awaits_body) {
    OnDigestAvailable();
    return;
  }
  if (upstream && body_released) {
    upstream->FinishBody();
  }
}

void outbound_call::state::OnDeadline() {
  if (ended) {
    return;
  }
  if (committed) {
    if (!detached) {
      client->Abort();
    }
    End("cut_at_deadline");
    return;
  }
  if (upstream) {
    record.trail.OnWord("deadline", send_trail::source::kNode, 0, board.loop.Now() - sent_at);
    board.PickerOf(record.service).OnDone(record.target_id);
  }
  if (!body_released && !may_have_run) {
    // The row's timeout may expire long before the client stops waiting.
    Refuse("deadline", RetryDelay(board.loop.Now()));
    return;
  }
  AnswerError(http_status::kGatewayTimeout, "deadline");
}

void outbound_call::state::OnClientGone() {
  if (ended) {
    return;
  }
  // A request that can't be repeated and may be running is left to finish, because the client
  // may query its outcome later. Without the rest of its body the request can't finish.
  const bool finish_detached = route != nullptr && upstream && body_released && body_ended &&
                               route->repeat != repeat_rule::kIdempotent;
  if (finish_detached) {
    detached = true;
    upstream->ResumeAnswer();
    return;
  }
  if (upstream) {
    board.PickerOf(record.service).OnDone(record.target_id);
  }
  End("client_gone");
}

// Answers 503: no backend server has run the request or will.
void outbound_call::state::Refuse(std::string_view why, std::optional<duration> retry_after) {
  if (std::exchange(counts_against_limit, false)) {
    board.limits.OnRefused(*key_holder);
  }
  http_head head = MakeAnswer(http_status::kUnavailable);
  if (retry_after) {
    head.Set("Retry-After", FormatSeconds(*retry_after));
  }
  AnswerAndEnd(std::move(head), "refused", why);
}

// Answers 429: the customer exceeds its limit. The request is not counted in the row's demand,
// because that would get other customers' requests refused.
void outbound_call::state::RefuseOverLimit() {
  board.metrics.OnCustomerRequest(key_holder->name, "over_limit");
  record.limit_share = board.limits.ShareOf(key_holder->name);
  record.used_equal_share = board.limits.IsWithoutCoordinator(key_holder->name);
  http_head head = MakeAnswer(http_status::kTooManyRequests);
  const double draw = board.random.Fraction();
  head.Set("Retry-After",
           FormatSeconds(board.limits.RetryAfter(*key_holder, route->objective, draw)));
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
  if (failure.is_ready() && !detached) {
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
  deadline_timer.Stop();
  answer_timer.Stop();
  client->SetHooks({});
  if (upstream) {
    upstream->Cancel();
  }
  if (end_query) {
    end_query->Cancel();
  }
  if (record.nested && result != "client_gone") {
    board.attribution.OnCallEnd(route->name, result != "answered" || answer_failed);
  }
  const duration took = board.loop.Now() - started_at;
  board.metrics.OnRequestEnd(route == nullptr ? "" : route->name, result, took);
  LogEnd(result, took);
  // The owner releases its reference; the caller of this function still holds one.
  on_end(self);
}

void outbound_call::state::LogEnd(std::string_view result, duration took) {
  using kind = decision_log::line_kind;
  const bool late = route != nullptr && took > route->objective;
  const bool is_refused = result == "refused";
  const bool is_evidence =
      !record.trail.empty() && (is_refused || record.placements > 1 || may_have_run);
  const bool is_notable = result != "answered" || late || record.placements > 1;
  if (!board.log.TryReserveLine(is_evidence  ? kind::kEvidence
                                : is_notable ? kind::kNotable
                                             : kind::kOrdinary)) {
    return;
  }
  if (is_refused && route != nullptr) {
    const instant now = board.loop.Now();
    record.level = board.admission.AdmittedShare(route->name, rank, now);
    if (*record.level < 1.0) {
      record.limited_by = board.admission.Limit(route->name, now).service;
    }
  }
  record.LogResult(board.log, result, took);
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
