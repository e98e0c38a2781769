#include "cuminferry_caller/call/caller.h"

#include <time.h>

#include <algorithm>
#include <mutex>
#include <utility>

#include "cuminferry_caller/call/answer_reader.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTicketPause{50};
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
  retry_manners manners;
  random_source random = random_source::FromMachine();

  call_result Call(const call_request& request) {
    const instant end = now() + request.longest;
    std::uint64_t node = Draw();
    call_result result = call_not_run{result_code::kNoTarget, milliseconds(0)};
    for (std::uint32_t attempt = 0; attempt < manners.attempts; ++attempt) {
      result = Attempt(request, attempt, node++, end);
      if (on_attempt) {
        on_attempt(attempt, result);
      }
      if (!MayRepeat(request, result) || attempt + 1 == manners.attempts ||
          !Pause(attempt, result, end)) {
        break;
      }
    }
    return result;
  }

  call_result AboutTicket(std::string_view service, std::string_view ticket,
                          std::string_view method, std::string_view suffix, instant end) {
    transport_request question;
    question.method = method;
    question.path = "/ticket/" + std::string(ticket) + std::string(suffix);
    question.longest = Left(end);
    if (!ChooseNode(service, Draw(), question.to)) {
      return call_unknown{result_code::kNoTarget, std::string(ticket)};
    }
    const transport_answer answer = send(question);
    if (answer.end != transport_end::kAnswered || answer.Header(header_names::kEnd).empty()) {
      // No word from the fleet about the ticket: as unknown as before.
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
                      instant end) {
    transport_request sent;
    if (!ChooseNode(request.service, node, sent.to)) {
      return call_not_run{result_code::kNoTarget, milliseconds(0)};
    }
    sent.method = request.method;
    sent.path = request.path;
    sent.headers = request.headers;
    sent.body = request.body;
    sent.longest = std::min(Left(end), request.longest_attempt);
    sent.headers.push_back({header_names::kTimeLeft, std::to_string(sent.longest.count())});
    sent.on_new_connection = !request.idempotent;
    sent.attempt = attempt;
    attempt_outcome outcome = ReadOutcome(send(sent));
    const bool doubtful = std::holds_alternative<call_unknown>(outcome.result);
    if (doubtful && !request.idempotent && !outcome.ticket.empty()) {
      return ClearUp(request.service, outcome.ticket, end);
    }
    return std::move(outcome.result);
  }

  // Asks about a ticket until its end is certain or the time is over.
  call_result ClearUp(const std::string& service, const std::string& ticket, instant end) {
    call_result result = call_unknown{result_code::kConnectionLost, ticket};
    while (std::holds_alternative<call_unknown>(result) && now() + kTicketPause < end) {
      sleep(kTicketPause);
      result = AboutTicket(service, ticket, "GET", "", end);
    }
    return result;
  }

  bool MayRepeat(const call_request& request, const call_result& result) const {
    if (const auto* completed = std::get_if<completed_call>(&result)) {
      return manners.repeats_failures && IsServerFailure(completed->http_status);
    }
    return std::holds_alternative<call_not_run>(result) || request.idempotent ||
           manners.repeats_unknown;
  }

  // Waits before the next attempt; false where no time would be left for it.
  bool Pause(std::uint32_t attempt, const call_result& result, instant end) {
    const milliseconds whole =
        std::min(manners.longest_pause, manners.first_pause * (1U << std::min(attempt, 10U)));
    const std::int64_t half = duration(whole).count() / 2;
    duration pause(half + static_cast<std::int64_t>(Draw() % (half + 1)));
    const auto* refused = std::get_if<call_not_run>(&result);
    if (refused != nullptr && manners.heeds_retry_after) {
      pause = std::max(pause, duration(refused->retry_after));
    }
    if (now() + pause >= end) {
      return false;
    }
    sleep(pause);
    return true;
  }

  bool ChooseNode(std::string_view service, std::uint64_t number, endpoint& into) const {
    const std::vector<endpoint> nodes = resolve(service);
    if (nodes.empty()) {
      return false;
    }
    into = nodes[number % nodes.size()];
    return true;
  }

  milliseconds Left(instant end) const {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(end - now()));
  }

  std::uint64_t Draw() {
    const std::lock_guard lock(mutex_);
    return random.Next();
  }

  std::mutex mutex_;
};

caller::caller(std::unique_ptr<state> made) : state_(std::move(made)) {}
caller::caller(caller&& other) noexcept = default;
caller& caller::operator=(caller&& other) noexcept = default;
caller::~caller() = default;

call_result caller::Call(const call_request& request) { return state_->Call(request); }

call_result caller::Ask(std::string_view service, std::string_view ticket, milliseconds longest) {
  return state_->AboutTicket(service, ticket, "GET", "", state_->now() + longest);
}

call_result caller::Revoke(std::string_view service, std::string_view ticket,
                           milliseconds longest) {
  return state_->AboutTicket(service, ticket, "POST", "/revoke", state_->now() + longest);
}

//==============================================================================
caller::builder::builder() : making_(std::make_unique<state>()) {}
caller::builder::~builder() = default;

caller::builder& caller::builder::WithNodes(std::vector<endpoint> nodes) {
  return WithResolver([nodes = std::move(nodes)](std::string_view) { return nodes; });
}

caller::builder& caller::builder::WithResolver(resolver hook) {
  making_->resolve = std::move(hook);
  return *this;
}

caller::builder& caller::builder::WithTransport(transport hook) {
  making_->send = std::move(hook);
  return *this;
}

caller::builder& caller::builder::WithClock(std::function<instant()> now,
                                            std::function<void(duration)> sleep) {
  making_->now = std::move(now);
  making_->sleep = std::move(sleep);
  return *this;
}

caller::builder& caller::builder::WithSeed(std::uint64_t seed) {
  making_->random = random_source(seed);
  return *this;
}

caller::builder& caller::builder::WithManners(retry_manners manners) {
  making_->manners = manners;
  return *this;
}

caller::builder& caller::builder::WithAttemptHook(
    std::function<void(std::uint32_t, const call_result&)> hook) {
  making_->on_attempt = std::move(hook);
  return *this;
}

absl::StatusOr<caller> caller::builder::Build() {
  if (!making_->resolve) {
    return MakeStatus(result_code::kSettingsMissingKey, "a caller needs nodes or a resolver");
  }
  if (!making_->send) {
    making_->send = MakeHttpTransport();
  }
  return caller(std::move(making_));
}

}  // namespace cuminferry
