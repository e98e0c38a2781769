#include "load/load_runner.h"

#include <time.h>

#include <algorithm>
#include <cmath>
#include <mutex>
#include <utility>

#include "stand_ins/backend/answer_text.h"

namespace cuminferry::load {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPathNumbers = 1000;
constexpr std::size_t kMaxAnswerBytes = 16 << 20;
constexpr std::size_t kCallerStackBytes = 192 * 1024;
constexpr char kNumberPlaceholder[] = "{n}";
constexpr char kTicketPath[] = "/ticket/";

// The request that this thread sends, and the start of the load.
thread_local request_record* current_request = nullptr;
thread_local instant load_started;

void SleepUntil(instant when) {
  const duration left = when - boot_clock::Now();
  if (left > duration(0)) {
    const timespec time{left.count() / 1'000'000, (left.count() % 1'000'000) * 1000};
    ::nanosleep(&time, nullptr);
  }
}

std::string PathOf(const load_kind& kind, const request_record& record, std::uint64_t number) {
  std::string path = kind.path;
  const std::size_t mark = path.find(kNumberPlaceholder);
  if (mark != std::string::npos) {
    path.replace(mark, sizeof(kNumberPlaceholder) - 1, std::to_string(number));
  }
  return path + "?" + stand_ins::kRequestParameter + "=" + record.name();
}

load_outcome OutcomeOf(const call_result& result, const request_record& record) {
  if (std::holds_alternative<call_not_run>(result)) {
    return load_outcome::kNotRun;
  }
  const auto* completed = std::get_if<completed_call>(&result);
  if (completed == nullptr) {
    return load_outcome::kUnknown;
  }
  if (completed->http_status != 200) {
    return load_outcome::kFailed;
  }
  const std::string_view name = stand_ins::RequestNameOfAnswer(completed->body);
  const std::string own = record.name() + ".";
  return name.substr(0, own.size()) == own ? load_outcome::kSucceeded
                                           : load_outcome::kInvalidAnswer;
}

result_code CodeOf(const call_result& result) {
  if (const auto* refused = std::get_if<call_not_run>(&result)) {
    return refused->code;
  }
  const auto* unknown = std::get_if<call_unknown>(&result);
  return unknown == nullptr ? result_code::kOk : unknown->code;
}

// Appends the number of the attempt to the request's name, so that the journals of backend
// servers distinguish attempts, and records when each was sent.
transport NumberAttempts(transport inner) {
  return [inner = std::move(inner)](const transport_request& wanted) {
    if (wanted.path.rfind(kTicketPath, 0) == 0) {
      return inner(wanted);
    }
    transport_request numbered = wanted;
    numbered.path += "." + std::to_string(wanted.attempt);
    current_request->attempts.push_back({.sent = boot_clock::Now() - load_started});
    return inner(numbered);
  };
}

void RecordAttempt(const call_result& result) {
  if (current_request->attempts.empty()) {
    return;
  }
  attempt_record& attempt = current_request->attempts.back();
  attempt.ended = boot_clock::Now() - load_started;
  attempt.outcome = OutcomeOf(result, *current_request);
  attempt.code = CodeOf(result);
}

// One execution of a load plan.
class load_run {
 public:
  load_run(const load_plan& plan, caller::resolver resolve)
      : plan_(plan),
        random_(plan.seed),
        caller_(*caller::builder()
                     .WithResolver(std::move(resolve))
                     .WithTransport(NumberAttempts(MakeHttpTransport(kMaxAnswerBytes)))
                     .WithRetryPolicy(plan.retries)
                     .WithSeed(plan.seed)
                     .WithAttemptHook(
                         [](std::uint32_t, const call_result& result) { RecordAttempt(result); })
                     .Build()),
        callers_({.name = "caller",
                  .threads = plan.max_concurrent_requests,
                  .stack_bytes = kCallerStackBytes,
                  .max_queued_tasks = plan.max_concurrent_requests}) {}

  load_result Run(const std::function<void(std::size_t)>& on_phase) {
    started_ = boot_clock::Now();
    instant next = started_;
    for (std::size_t phase = 0; phase < plan_.phases.size(); ++phase) {
      result_.phase_starts.push_back(next - started_);
      if (on_phase) {
        on_phase(phase);
      }
      next = RunPhase(phase, next);
    }
    result_.phase_starts.push_back(next - started_);
    callers_.Stop();
    std::sort(result_.requests.begin(), result_.requests.end(),
              [](const request_record& left, const request_record& right) {
                return left.number < right.number;
              });
    return std::move(result_);
  }

 private:
  // Submits the arrivals of one phase; returns the end of the phase.
  instant RunPhase(std::size_t phase, instant begun) {
    const instant end = begun + plan_.phases[phase].length;
    instant next = begun + DrawInterarrivalTime(plan_.phases[phase].rate);
    while (next < end) {
      SleepUntil(next);
      Arrive(phase, next);
      next += DrawInterarrivalTime(plan_.phases[phase].rate);
    }
    SleepUntil(end);
    return end;
  }

  duration DrawInterarrivalTime(double rate) {
    const double seconds = rate > 0 ? -std::log(1.0 - random_.Fraction()) / rate : 1e6;
    return duration(static_cast<std::int64_t>(seconds * 1e6));
  }

  void Arrive(std::size_t phase, instant when) {
    request_record record;
    record.number = next_number_++;
    record.kind = DrawKind();
    record.phase = phase;
    record.arrived = when - started_;
    const std::uint64_t number = random_.Below(kPathNumbers);
    const bool sent = callers_.Submit(
        [this, record, number]() mutable { SendRequest(std::move(record), number); });
    if (!sent) {
      ++result_.not_sent;
    }
  }

  std::size_t DrawKind() {
    double all = 0.0;
    for (const load_kind& kind : plan_.kinds) {
      all += kind.arrival_share;
    }
    double drawn = random_.Fraction() * all;
    std::size_t at = 0;
    while (at + 1 < plan_.kinds.size() && drawn >= plan_.kinds[at].arrival_share) {
      drawn -= plan_.kinds[at].arrival_share;
      ++at;
    }
    return at;
  }

  void SendRequest(request_record record, std::uint64_t number) {
    const load_kind& kind = plan_.kinds[record.kind];
    current_request = &record;
    load_started = started_;
    const duration lag = boot_clock::Now() - started_ - record.arrived;
    call_request request{.service = kind.service,
                         .method = kind.method,
                         .path = PathOf(kind, record, number),
                         .headers = {},
                         .body = {},
                         .idempotent = kind.idempotent};
    if (kind.method != "GET") {
      request.headers.push_back({"Content-Type", "text/plain"});
      request.body.assign(kind.body_bytes, 'b');
    }
    request.attempt_timeout = kind.attempt_timeout;
    request.timeout = (kind.attempt_timeout + plan_.retries.max_backoff) * plan_.retries.attempts;
    record.outcome = OutcomeOf(caller_.Call(request), record);
    record.ended = boot_clock::Now() - started_;
    current_request = nullptr;
    Store(std::move(record), lag);
  }

  void Store(request_record record, duration lag) {
    const std::lock_guard lock(mutex_);
    result_.max_start_delay = std::max(result_.max_start_delay, lag);
    result_.requests.push_back(std::move(record));
  }

  const load_plan& plan_;
  random_source random_;
  caller caller_;
  instant started_;
  std::uint64_t next_number_ = 0;
  std::mutex mutex_;
  load_result result_;
  worker_pool callers_;
};

}  // namespace

retry_policy AggressiveRetryPolicy() {
  return {.attempts = 4,
          .initial_backoff = milliseconds(100),
          .max_backoff = milliseconds(200),
          .honors_retry_after = false,
          .retries_server_errors = true};
}

retry_policy CooperativeRetryPolicy() { return {.attempts = 3, .retries_server_errors = true}; }

load_runner::load_runner(caller::resolver resolve) : resolve_(std::move(resolve)) {}

load_runner& load_runner::OnPhase(std::function<void(std::size_t)> hook) {
  on_phase_ = std::move(hook);
  return *this;
}

load_result load_runner::Run(const load_plan& plan) {
  load_run running(plan, resolve_);
  return running.Run(on_phase_);
}

}  // namespace cuminferry::load
