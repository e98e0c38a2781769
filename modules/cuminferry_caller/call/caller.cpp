#include "cuminferry_caller/call/caller.h"

#include <time.h>

#include <algorithm>
#include <mutex>
#include <utility>

#include "cuminferry_caller/call/answer_reader.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTicketQueryInterval{50};
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1'000;

void SleepFor(duration time) {
  if (time > duration(0)) {
    const timespec wait{time.count() / kMicrosPerSecond,
                        (time.count() % kMicrosPerSecond) * kNanosPerMicro};
    ::nanosleep(&wait, nullptr);
  }
}

bool IsServerFailure(int http_status) { return http_status >= 502 && http_status <= 504; }

}  // namespace

class caller::state {
 public:
  resolver resolve;
  transport send;
  std::function<instant()> now = &boot_clock::Now;
  std::function<void(duration)> sleep = &SleepFor;
  std::function<void(std::uint32_t, const call_result&)> on_attempt;
  retry_policy policy;
  random_source random = random_source::FromMachine();

  call_result Call(const call_request& request) {
    const instant deadline = now() + request.timeout;
    std::uint64_t node = DrawNumber();
    call_result result = call_not_run{result_code::kNoTarget, milliseconds(0)};
    for (std::uint32_t attempt = 0; attempt < policy.attempts; ++attempt) {
      result = Attempt(request, attempt, node++, deadline);
      if (on_attempt) {
        on_attempt(attempt, result);
      }
      if (!MayRetry(request, result) || attempt + 1 == policy.attempts ||
          !WaitBeforeRetry(attempt, result, deadline)) {
        break;
      }
    }
    return result;
  }

  call_result QueryTicket(std::string_view service, std::string_view ticket,
                          std::string_view method, std::string_view suffix, instant deadline) {
    transport_request query;
    query.method = method;
    query.path = "/ticket/" + std::string(ticket) + std::string(suffix);
    query.timeout = RemainingTime(deadline);
    if (!ChooseNode(service, DrawNumber(), query.to)) {
      return call_unknown{result_code::kNoTarget, std::string(ticket)};
    }
    const transport_answer answer = send(query);
    if (answer.outcome != transport_outcome::kAnswered ||
        answer.Header(header_names::kOutcome).empty()) {
      // No node answered the query, so the outcome remains unknown.
      return call_unknown{result_code::kTicketHomeUnreachable, std::string(ticket)};
    }
    call_result result = ReadOutcome(answer).result;
    if (auto* unknown = std::get_if<call_unknown>(&result)) {
      unknown->ticket = ticket;
    }
    return result;
  }

 private:
  call_result Attempt(const call_request& request, std::uint32_t attempt, std::uint64_t node,
                      instant deadline) {
    transport_request sent;
    if (!ChooseNode(request.service, node, sent.to)) {
      return call_not_run{result_code::kNoTarget, milliseconds(0)};
    }
    sent.method = request.method;
    sent.path = request.path;
    sent.headers = request.headers;
    sent.body = request.body;
    sent.timeout = std::min(RemainingTime(deadline), request.attempt_timeout);
    sent.headers.push_back({header_names::kTimeLeft, std::to_string(sent.timeout.count())});
    sent.on_new_connection = !request.idempotent;
    sent.attempt = attempt;
    attempt_outcome outcome = ReadOutcome(send(sent));
    const bool is_unknown = std::holds_alternative<call_unknown>(outcome.result);
    if (is_unknown && !request.idempotent && !outcome.ticket.empty()) {
      return ResolveByTicket(request.service, outcome.ticket, deadline);
    }
    return std::move(outcome.result);
  }

  // Queries a ticket until its outcome is known or the deadline is reached.
  call_result ResolveByTicket(const std::string& service, const std::string& ticket,
                              instant deadline) {
    call_result result = call_unknown{result_code::kConnectionLost, ticket};
    while (std::holds_alternative<call_unknown>(result) &&
           now() + kTicketQueryInterval < deadline) {
      sleep(kTicketQueryInterval);
      result = QueryTicket(service, ticket, "GET", "", deadline);
    }
    return result;
  }

  bool MayRetry(const call_request& request, const call_result& result) const {
    if (const auto* completed = std::get_if<completed_call>(&result)) {
      return policy.retries_server_errors && IsServerFailure(completed->http_status);
    }
    return std::holds_alternative<call_not_run>(result) || request.idempotent ||
           policy.retries_unknown;
  }

  // Waits before the next attempt. Returns false, without waiting, if no time would be left for it.
  bool WaitBeforeRetry(std::uint32_t attempt, const call_result& result, instant deadline) {
    const milliseconds backoff =
        std::min(policy.max_backoff, policy.initial_backoff * (1U << std::min(attempt, 10U)));
    const std::int64_t half_backoff = duration(backoff).count() / 2;
    duration pause(half_backoff + static_cast<std::int64_t>(DrawNumber() % (half_backoff + 1)));
    const auto* refused = std::get_if<call_not_run>(&result);
    if (refused != nullptr && policy.honors_retry_after) {
      pause = std::max(pause, duration(refused->retry_after));
    }
    if (now() + pause >= deadline) {
      return false;
    }
    sleep(pause);
    return true;
  }

  bool ChooseNode(std::string_view service, std::uint64_t number, endpoint& chosen_node) const {
    const std::vector<endpoint> nodes = resolve(service);
    if (nodes.empty()) {
      return false;
    }
    chosen_node = nodes[number % nodes.size()];
    return true;
  }

  milliseconds RemainingTime(instant deadline) const {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(deadline - now()));
  }

  std::uint64_t DrawNumber() {
    const std::lock_guard lock(mutex_);
    return random.Next();
  }

  std::mutex mutex_;
};

caller::caller(std::unique_ptr<state> built_state) : state_(std::move(built_state)) {}
caller::caller(caller&& other) noexcept = default;
caller& caller::operator=(caller&& other) noexcept = default;
caller::~caller() = default;

call_result caller::Call(const call_request& request) { return state_->Call(request); }

call_result caller::QueryTicket(std::string_view service, std::string_view ticket,
                                milliseconds timeout) {
  return state_->QueryTicket(service, ticket, "GET", "", state_->now() + timeout);
}

call_result caller::Revoke(std::string_view service, std::string_view ticket,
                           milliseconds timeout) {
  return state_->QueryTicket(service, ticket, "POST", "/revoke", state_->now() + timeout);
}

//==============================================================================
caller::builder::builder() : unbuilt_(std::make_unique<state>()) {}
caller::builder::~builder() = default;

caller::builder& caller::builder::WithNodes(std::vector<endpoint> nodes) {
  return WithResolver([nodes = std::move(nodes)](std::string_view) { return nodes; });
}

caller::builder& caller::builder::WithResolver(resolver hook) {
  unbuilt_->resolve = std::move(hook);
  return *this;
}

caller::builder& caller::builder::WithTransport(transport hook) {
  unbuilt_->send = std::move(hook);
  return *this;
}

caller::builder& caller::builder::WithClock(std::function<instant()> now,
                                            std::function<void(duration)> sleep) {
  unbuilt_->now = std::move(now);
  unbuilt_->sleep = std::move(sleep);
  return *this;
}

caller::builder& caller::builder::WithSeed(std::uint64_t seed) {
  unbuilt_->random = random_source(seed);
  return *this;
}

caller::builder& caller::builder::WithRetryPolicy(retry_policy policy) {
  unbuilt_->policy = policy;
  return *this;
}

caller::builder& caller::builder::WithAttemptHook(
    std::function<void(std::uint32_t, const call_result&)> hook) {
  unbuilt_->on_attempt = std::move(hook);
  return *this;
}

absl::StatusOr<caller> caller::builder::Build() {
  if (!unbuilt_->resolve) {
    return MakeStatus(result_code::kSettingsMissingKey, "a caller needs nodes or a resolver");
  }
  if (!unbuilt_->send) {
    unbuilt_->send = MakeHttpTransport();
  }
  return caller(std::move(unbuilt_));
}

}  // namespace cuminferry
