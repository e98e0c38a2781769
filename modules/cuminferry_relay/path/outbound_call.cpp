#include "cuminferry_relay/path/outbound_call.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>
#include <utility>

#include "cuminferry_relay/http/http_status.h"

namespace cuminferry {
namespace {

// Bytes of a request's body that are held until a target has answered or
// refused: within this a request can be sent to another target.
constexpr std::size_t kLargestReplay = 256 * 1024;
// Targets tried at most where each turned the request away unrun.
constexpr std::size_t kMostPlacements = 4;
// A try with less time left than this ends in a timeout whatever the target does.
constexpr duration kLeastTry = std::chrono::milliseconds(5);
// For refusals whose cause says nothing of when there will be room.
constexpr duration kPlainReturn = std::chrono::milliseconds(400);
// A target's node answers or announces its answer within 50 ms and the way. One
// that has not after this is cut off, frozen or its connection silent.
constexpr duration kSilentAfter = std::chrono::milliseconds(180);
// Within such an objective the difference between a slow and a fast target is felt.
constexpr duration kUrgentObjective = std::chrono::milliseconds(400);
constexpr duration kPeerIdle = std::chrono::seconds(30);

std::string SecondsText(duration span) {
  return fmt::format("{:.2f}", static_cast<double>(span.count()) / 1e6);
}

}  // namespace

http_head MakeAnswer(int status) {
  http_head head;
  head.status = status;
  head.reason = http_status::ReasonOf(status);
  return head;
}

struct outbound_call::state {
  relay_board& board;
  std::shared_ptr<server_exchange> client;
  std::function<void(outbound_call*)> on_end;
  outbound_call* self = nullptr;

  // Kept for as long as the call lasts: a newer table may replace it.
  std::shared_ptr<const route_table> table;
  const http_route* route = nullptr;
  std::string service;
  std::string request_id;
  instant started;
  instant deadline;
  loop_timer timer;
  loop_timer silence_timer;
  bool nested = false;

  // The request's body as far as it came, while it may have to be sent again.
  std::string replay;
  bool replay_lost = false;
  bool body_ended = false;

  std::set<std::string> tried;
  std::size_t placements = 0;
  std::uint32_t reached = 0;
  std::string target_id;
  endpoint target_peer;
  std::unique_ptr<client_exchange> upstream;
  // Ended exchanges are let go outside of their own hooks.
  std::unique_ptr<client_exchange> finished_upstream;
  std::optional<relay_outcome> outcome;
  // The target's answer is being passed on.
  bool committed = false;
  // Some try's fate is unknown.
  bool may_have_run = false;
  std::string reason;
  bool detached = false;
  bool ended = false;

  state(relay_board& board, std::shared_ptr<server_exchange> client,
        std::function<void(outbound_call*)> on_end)
      : board(board),
        client(std::move(client)),
        on_end(std::move(on_end)),
        started(board.loop.Now()),
        timer(board.loop),
        silence_timer(board.loop) {}

  //============================================================================
  void Begin() {
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
    request_id = *id;
    route = table->Find(*host, request.target);
    if (route == nullptr) {
      AnswerError(http_status::kNotFound, "no_row");
      return;
    }
    SetDeadline(request);
    nested = !board.admission.ComesFromClients(route->name);
    if (!nested &&
        !board.admission.Admits(route->name, route->priority, board.random.Fraction(), started)) {
      Refuse("level", board.admission.ReturnAfter(route->name, route->priority,
                                                  board.random.Fraction(), started));
      return;
    }
    service = ChooseService();
    if (nested && board.causes.AnyRunning()) {
      board.causes.OnCall(route->name, started);
    }
    board.BudgetOf(service).OnFirstSend(started);
    Place();
  }

  void SetDeadline(const http_head& request) {
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
  std::string ChooseService() {
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

  void HookClient() {
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

  //============================================================================
  // The request's body.

  void OnRequestBody(std::string_view bytes) {
    if (ended) {
      return;
    }
    if (!committed && !replay_lost) {
      replay.append(bytes);
      if (replay.size() > kLargestReplay) {
        replay_lost = true;
        replay.clear();
        replay.shrink_to_fit();
      }
    }
    if (upstream) {
      upstream->SendBody(bytes);
      if (upstream->unsent() > tcp_connection::kHighWater) {
        client->PauseBody();
      }
    }
  }

  void OnRequestBodyEnd() {
    body_ended = true;
    if (upstream) {
      upstream->FinishBody();
    }
  }

  //============================================================================
  // Placement.

  void Place() {
    const instant now = board.loop.Now();
    if (deadline - now < kLeastTry) {
      OnDeadline();
      return;
    }
    target_picker& picker = board.PickerOf(service);
    const auto target = picker.Pick({.tried = tried,
                                     .own_domain = board.settings.failure_domain,
                                     .urgent = !nested && route->objective < kUrgentObjective},
                                    now, board.random);
    if (!target) {
      Refuse("no_target", kPlainReturn);
      return;
    }
    ++placements;
    tried.insert(target->id);
    target_id = target->id;
    target_peer = board.PeerBeside(target->backend);
    outcome.reset();
    picker.OnSent(target_id);
    std::weak_ptr<outbound_call> weak = self->weak_from_this();
    const auto with = [weak](auto action) {
      if (const auto call = weak.lock()) {
        action(*call->state_);
      }
    };
    upstream =
        board.ClientFor(target_peer)
            .Send(RequestFor(*target, now), kPeerIdle,
                  {.on_head =
                       [with](http_head head) {
                         with([&](state& at) { at.OnAnswerHead(std::move(head)); });
                       },
                   .on_interim = [with] { with([](state& at) { at.silence_timer.Stop(); }); },
                   .on_body =
                       [with](std::string_view bytes) {
                         with([&](state& at) { at.OnAnswerBody(bytes); });
                       },
                   .on_end = [with] { with([](state& at) { at.OnAnswerEnd(); }); },
                   .on_failed =
                       [with](exchange_failure failure) {
                         with([&](state& at) { at.OnUpstreamFailed(failure); });
                       },
                   .on_drained = [with] { with([](state& at) { at.client->ResumeBody(); }); },
                   .is_answer = {}});
    upstream->SendBody(replay);
    if (body_ended) {
      upstream->FinishBody();
    }
    silence_timer.StartOnce(kSilentAfter, [this] { OnSilence(); });
  }

  // Neither an answer nor its announcement: later requests go elsewhere at once,
  // and this one too where it may be repeated.
  void OnSilence() {
    if (ended || committed || !upstream) {
      return;
    }
    board.PickerOf(service).OnUnreachable(target_id, board.loop.Now());
    if (detached || route->repeat != repeat_rule::kIdempotent) {
      LogTry(relay_outcome::kTimedOut);
      return;
    }
    const instant now = board.loop.Now();
    ++reached;
    if (!MayPlaceAgain(relay_outcome::kLost, now)) {
      --reached;
      LogTry(relay_outcome::kTimedOut);
      return;
    }
    may_have_run = true;
    LogTry(relay_outcome::kLost);
    board.PickerOf(service).OnDone(target_id);
    upstream->Cancel();
    finished_upstream = std::move(upstream);
    Place();
  }

  http_head RequestFor(const published_target& target, instant now) const {
    const relay_header_names& names = board.settings.headers;
    http_head head = client->request();
    head.RemoveConnectionFields();
    head.Set(names.caller_service, board.settings.service);
    head.Set(names.expected_instance, target.id);
    head.Set(names.deadline,
             std::to_string(
                 std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count()));
    head.Set(kCallField, call_header{.row = route->name,
                                     .priority = route->priority,
                                     .repeat = route->repeat,
                                     .nested = nested,
                                     .objective = route->objective,
                                     .objective_left = started + route->objective - now}
                             .ToText());
    return head;
  }

  void OnAnswerHead(http_head head) {
    silence_timer.Stop();
    const instant now = board.loop.Now();
    TakeLoad(head, now);
    if (const std::string* field = head.Find(kOutcomeField)) {
      outcome = ParseOutcome(*field);
      if (outcome) {
        return;  // Decided at its end, which follows at once.
      }
    }
    head.Remove(kLoadField);
    head.Remove(kOutcomeField);
    head.RemoveConnectionFields();
    committed = true;
    replay.clear();
    if (!detached) {
      client->SendHead(std::move(head));
    }
  }

  void TakeLoad(const http_head& head, instant now) {
    const std::string* field = head.Find(kLoadField);
    const auto load = field == nullptr ? std::nullopt : load_header::Parse(*field);
    if (!load) {
      return;
    }
    board.PickerOf(service).OnReport(target_id, load->report, now);
    board.admission.OnLevel(route->name, target_id, load->level, load->from_clients, now);
    if (load->items_revision > board.heard_revision) {
      board.heard_revision = load->items_revision;
      board.heard_from = target_peer;
    }
  }

  void OnAnswerBody(std::string_view bytes) {
    if (!committed || detached) {
      return;
    }
    client->SendBody(bytes);
    if (client->unsent() > tcp_connection::kHighWater) {
      upstream->PauseAnswer();
    }
  }

  void OnAnswerEnd() {
    board.PickerOf(service).OnDone(target_id);
    finished_upstream = std::move(upstream);
    if (committed) {
      if (!detached) {
        client->Finish();
      }
      End("answered");
      return;
    }
    OnTurnedAway(*outcome);
  }

  void OnUpstreamFailed(exchange_failure failure) {
    silence_timer.Stop();
    target_picker& picker = board.PickerOf(service);
    picker.OnDone(target_id);
    picker.OnUnreachable(target_id, board.loop.Now());
    finished_upstream = std::move(upstream);
    if (committed) {
      if (!detached) {
        client->Break();
      }
      End("cut_short");
      return;
    }
    OnTurnedAway(failure == exchange_failure::kNotSent ? relay_outcome::kDown
                                                       : relay_outcome::kLost);
  }

  // The last try brought no answer of the backend server.
  void OnTurnedAway(relay_outcome why) {
    const instant now = board.loop.Now();
    outcome = why;
    may_have_run = may_have_run || !SurelyNotRun(why);
    if (ReachedBackend(why)) {
      ++reached;
    }
    if (why == relay_outcome::kFull) {
      board.PickerOf(service).OnFull(target_id, now);
    }
    LogTry(why);
    const bool may_repeat = SurelyNotRun(why) || route->repeat == repeat_rule::kIdempotent;
    if (detached || client->client_gone()) {
      End("client_gone");
      return;
    }
    if (may_repeat && MayPlaceAgain(why, now)) {
      Place();
      return;
    }
    if (SurelyNotRun(why) && !may_have_run) {
      Refuse(ToText(why), ReturnTime(now));
    } else if (why == relay_outcome::kTimedOut) {
      AnswerError(http_status::kGatewayTimeout, ToText(why));
    } else {
      AnswerError(http_status::kBadGateway, ToText(why));
    }
  }

  bool MayPlaceAgain(relay_outcome why, instant now) {
    if (replay_lost || placements >= kMostPlacements || why == relay_outcome::kTimedOut ||
        deadline - now < kLeastTry) {
      return false;
    }
    if (!ReachedBackend(why)) {
      return true;
    }
    if (reached >= route->attempts || !board.BudgetOf(service).TakeOne(nested, now)) {
      return false;
    }
    board.metrics.OnRepeat(service);
    return true;
  }

  duration ReturnTime(instant now) {
    return board.admission.ReturnAfter(route->name, route->priority, board.random.Fraction(), now);
  }

  //============================================================================
  // Ends.

  void OnDeadline() {
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
      board.PickerOf(service).OnDone(target_id);
    }
    AnswerError(http_status::kGatewayTimeout, "deadline");
  }

  void OnClientGone() {
    if (ended) {
      return;
    }
    // What can't be repeated is left to finish: the client may ask what became
    // of it. It can't finish without the rest of its body.
    const bool leave_running =
        route != nullptr && upstream && body_ended && route->repeat != repeat_rule::kIdempotent;
    if (leave_running) {
      detached = true;
      upstream->ResumeAnswer();
      return;
    }
    if (upstream) {
      board.PickerOf(service).OnDone(target_id);
    }
    End("client_gone");
  }

  // The request has not run and will not.
  void Refuse(std::string_view why, duration return_after) {
    http_head head = MakeAnswer(http_status::kUnavailable);
    head.Set("Retry-After", SecondsText(return_after));
    AnswerAndEnd(std::move(head), "refused", why);
  }

  void AnswerError(int status, std::string_view why) {
    AnswerAndEnd(MakeAnswer(status), status == http_status::kNotFound ? "no_row" : "failed", why);
  }

  void AnswerAndEnd(http_head head, std::string_view result, std::string_view why) {
    if (!request_id.empty()) {
      head.Set(board.settings.headers.request_id, request_id);
    }
    reason = why;
    if (!detached) {
      client->Answer(std::move(head), "");
    }
    End(result);
  }

  void End(std::string_view result) {
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

  void LogTry(relay_outcome why) {
    if (!board.log.Wants(true)) {
      return;
    }
    board.log.OnRequest("request.turned_away", {{"id", request_id},
                                                {"row", route->name},
                                                {"service", service},
                                                {"target", target_id},
                                                {"why", ToText(why)},
                                                {"placements", placements},
                                                {"reached", reached}});
  }

  void LogEnd(std::string_view result, duration took) {
    const bool late = route != nullptr && took > route->objective;
    if (!board.log.Wants(result != "answered" || late || placements > 1)) {
      return;
    }
    nlohmann::ordered_json detail{{"id", request_id}, {"result", result}, {"us", took.count()}};
    if (route != nullptr) {
      detail["row"] = route->name;
      detail["table"] = table->version();
      detail["service"] = service;
      detail["target"] = target_id;
      detail["placements"] = placements;
      detail["nested"] = nested;
    }
    if (!reason.empty()) {
      detail["why"] = reason;
    }
    if (result == "refused" && route != nullptr) {
      const double top = table->largest_priority() + 1.0;
      detail["level"] = ForLog(board.admission.Level(route->name, top, board.loop.Now()));
    }
    board.log.OnRequest("request.end", std::move(detail));
  }
};

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
