#include "stand_ins/backend/backend_stand_in.h"

#include <atomic>
#include <cmath>
#include <latch>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminferry_caller/cuminferry_caller.h"
#include "cuminferry_table/cuminferry_table.h"
#include "stand_ins/backend/answer_text.h"
#include "stand_ins/backend/run_journal.h"
#include "stand_ins/backend/slot_queue.h"
#include "stand_ins/http/http_host.h"

namespace cuminferry::stand_ins {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kNoDeadline{30'000};
constexpr std::size_t kCallThreads = 256;
constexpr std::size_t kIdleClients = 64;
constexpr char kTextType[] = "text/plain";
constexpr char kJsonType[] = "application/json";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool StartsWith(std::string_view text, std::string_view start) {
  return text.substr(0, start.size()) == start;
}

// State of one request while it runs.
struct running_request {
  const request_kind& kind;
  std::string name;
  std::string context;
  instant deadline;
};

// Result of an outgoing call, from best to worst for the request that made it.
enum class outgoing_call_status : std::uint8_t { kSucceeded, kNotRun, kFailed };

struct outgoing_call_outcome {
  outgoing_call_status status = outgoing_call_status::kFailed;
  /** Description of the call and its answer for error messages. */
  std::string text;
};

}  // namespace

class backend_stand_in::state {
 public:
  explicit state(backend_settings settings)
      : settings_(std::move(settings)),
        slots_(settings_.slots, settings_.max_queued_requests),
        journal_(settings_.max_journal_lines, settings_.journal_file),
        random_(settings_.seed),
        report_(settings_.health),
        egress_(settings_.egress, kIdleClients),
        call_threads_({.name = "calls", .threads = kCallThreads}),
        host_({.name = "backend", .max_connections = settings_.max_connections}) {
    host_.SetHandler([this](const incoming_request& request, httplib::Response& response) {
      Handle(request, response);
    });
  }

  absl::Status Start() {
    started_ = boot_clock::Now();
    return host_.Start(settings_.listen);
  }

  void Stop() { host_.Stop(); }

  endpoint address() const { return host_.address(); }

 private:
  void Handle(const incoming_request& request, httplib::Response& response) {
    if (request.head.path == "/health") {
      response.set_content(HealthJson(), kJsonType);
    } else if (StartsWith(request.head.path, "/stand-in/")) {
      Control(request.head, response);
    } else {
      Work(request, response);
    }
  }

  //============================================================================
  void Work(const incoming_request& request, httplib::Response& response) {
    const request_kind* kind = FindKind(request.head);
    if (kind == nullptr) {
      response.status = kNotFound;
      return;
    }
    if (!request.is_complete) {
      ++incomplete_requests_;
      response.status = kBadRequest;
      return;
    }
    running_request running{*kind, request.head.get_param_value(kRequestParameter),
                            request.head.get_header_value(header_names::kContext),
                            DeadlineOf(request.head)};
    const slot_queue::outcome entered =
        draining_ ? slot_queue::outcome::kQueueFull
                  : slots_.Enter([&] { return settings_.honors_deadlines && IsOver(running); });
    if (entered == slot_queue::outcome::kEntered) {
      Run(running, request.head, response);
      slots_.Leave();
      return;
    }
    ++shed_;
    response.status = kUnavailable;
    response.set_header(header_names::kNotRun, "1");
  }

  void Run(const running_request& running, const httplib::Request& head,
           httplib::Response& response) {
    run_record record{running.name, head.method, head.path, run_outcome::kDone, duration(0)};
    const duration service = DrawServiceTime(running.kind);
    const bool done = WorkFor(running, service / 2, record) &&
                      MakeCalls(running, record, response) &&
                      WorkFor(running, service - service / 2, record);
    if (done) {
      journal_.AddEffect(record);
      if (http_host::WaitForClose(duration(0))) {
        record.outcome = run_outcome::kUnanswered;
      }
      response.status = kOk;
      response.set_content(MakeAnswerText(running.name, running.kind.answer_bytes), kTextType);
    } else if (response.status < 0) {
      response.status = kGatewayTimeout;
    }
    journal_.AddOutcome(record);
  }

  // Sleeps for the service time; false if the caller closes the connection or the
  // deadline passes first.
  bool WorkFor(const running_request& running, duration service, run_record& record) {
    const instant begun = boot_clock::Now();
    const instant end = begun + service;
    const instant limit = settings_.honors_deadlines ? std::min(end, running.deadline) : end;
    const bool closed =
        settings_.honors_deadlines ? http_host::WaitForClose(limit - begun) : SleepUntil(limit);
    record.busy += boot_clock::Now() - begun;
    if (closed) {
      record.outcome = run_outcome::kCancelled;
    } else if (limit < end) {
      record.outcome = run_outcome::kExpired;
    }
    return !closed && limit == end;
  }

  static bool SleepUntil(instant end) {
    const duration left = end - boot_clock::Now();
    if (left > duration(0)) {
      const std::timespec time{left.count() / 1'000'000, (left.count() % 1'000'000) * 1000};
      ::nanosleep(&time, nullptr);
    }
    return false;
  }

  bool IsOver(const running_request& running) const {
    return boot_clock::Now() >= running.deadline || http_host::WaitForClose(duration(0));
  }

  //============================================================================
  bool MakeCalls(const running_request& running, run_record& record, httplib::Response& response) {
    const instant begun = boot_clock::Now();
    const outgoing_call_outcome worst =
        running.kind.calls_in_parallel ? CallConcurrently(running) : CallSequentially(running);
    record.waited = boot_clock::Now() - begun;
    if (worst.status == outgoing_call_status::kSucceeded) {
      return true;
    }
    record.outcome = run_outcome::kCallFailed;
    response.status = worst.status == outgoing_call_status::kNotRun ? kUnavailable : kBadGateway;
    response.set_content("an outgoing call failed: " + worst.text + "\n", kTextType);
    return false;
  }

  outgoing_call_outcome CallSequentially(const running_request& running) {
    for (const outgoing_call& call : running.kind.calls) {
      outgoing_call_outcome outcome = Call(running, call);
      if (outcome.status != outgoing_call_status::kSucceeded) {
        return outcome;
      }
    }
    return {outgoing_call_status::kSucceeded, {}};
  }

  outgoing_call_outcome CallConcurrently(const running_request& running) {
    std::vector<outgoing_call_outcome> outcomes(running.kind.calls.size());
    std::latch finished(static_cast<std::ptrdiff_t>(outcomes.size()));
    for (std::size_t at = 0; at < outcomes.size(); ++at) {
      const bool queued = call_threads_.Submit([&, at] {
        outcomes[at] = Call(running, running.kind.calls[at]);
        finished.count_down();
      });
      if (!queued) {
        finished.count_down();
      }
    }
    finished.wait();
    const auto worst =
        std::max_element(outcomes.begin(), outcomes.end(),
                         [](const outgoing_call_outcome& left, const outgoing_call_outcome& right) {
                           return left.status < right.status;
                         });
    return worst == outcomes.end() ? outgoing_call_outcome{outgoing_call_status::kSucceeded, {}}
                                   : *worst;
  }

  outgoing_call_outcome Call(const running_request& running, const outgoing_call& call) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(running.deadline - boot_clock::Now());
    ++calls_;
    std::unique_ptr<checked_http_client> client = egress_.Take(left);
    httplib::Request request;
    request.method = call.method;
    request.path = "/" + call.service + call.path + "?" + kRequestParameter + "=" + running.name;
    request.set_header(header_names::kContext, running.context);
    if (call.method != "GET") {
      request.body = running.name;
      request.set_header("Content-Type", kTextType);
    }
    const std::string what = call.method + " " + call.service + call.path;
    const httplib::Result result = client->send(request);
    if (!result) {
      return {outgoing_call_status::kFailed, what + ": " + httplib::to_string(result.error())};
    }
    const outgoing_call_status end = ClassifyAnswer(*result, running.name);
    egress_.Return(std::move(client));
    return {end, what + ": HTTP " + std::to_string(result->status) + " CF" +
                     result->get_header_value(header_names::kCode)};
  }

  outgoing_call_status ClassifyAnswer(const httplib::Response& answer, const std::string& name) {
    if (answer.status == kOk) {
      if (RequestNameOfAnswer(answer.body) == name) {
        return outgoing_call_status::kSucceeded;
      }
      ++invalid_answers_;
      return outgoing_call_status::kFailed;
    }
    return answer.get_header_value(header_names::kOutcome) == "not_run"
               ? outgoing_call_status::kNotRun
               : outgoing_call_status::kFailed;
  }

  //============================================================================
  const request_kind* FindKind(const httplib::Request& head) const {
    request_row row;
    for (const request_kind& kind : settings_.kinds) {
      row.method = kind.method;
      row.path_pattern = kind.path;
      if (row.Matches(head.method, head.path)) {
        return &kind;
      }
    }
    return nullptr;
  }

  instant DeadlineOf(const httplib::Request& head) const {
    const std::string text = head.get_header_value(header_names::kTimeLeft);
    const milliseconds left =
        text.empty() ? kNoDeadline : milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    return boot_clock::Now() + left;
  }

  duration DrawServiceTime(const request_kind& kind) {
    const double mean = static_cast<double>(kind.service_time.count()) * slowness();
    return duration(static_cast<duration::rep>(mean * DrawFactor(kind.distribution)));
  }

  double slowness() const {
    const bool warming_up = boot_clock::Now() - started_ < settings_.warm_up_time;
    return slow_factor_ * (warming_up ? settings_.warm_up_factor : 1.0);
  }

  double DrawFactor(service_time_distribution distribution) {
    const std::lock_guard lock(random_mutex_);
    switch (distribution) {
      case service_time_distribution::kFixed:
        return 1.0;
      case service_time_distribution::kUniform:
        return 0.5 + random_.Fraction();
      case service_time_distribution::kExponential:
        return -std::log(1.0 - random_.Fraction());
    }
    return 1.0;
  }

  //============================================================================
  std::string HealthJson() {
    const std::lock_guard lock(health_mutex_);
    const double honest = static_cast<double>(slots_.running()) / settings_.slots;
    if (report_ == health_report::kHonest) {
      reported_load_ = honest;
    } else if (report_ != health_report::kFrozen) {
      reported_load_ = report_ == health_report::kFull ? 1.0 : 0.0;
    }
    return json{{"state", draining_ ? "draining" : "ready"},
                {"load", reported_load_},
                {"slots", settings_.slots}}
        .dump();
  }

  void Control(const httplib::Request& head, httplib::Response& response) {
    response.status = kOk;
    if (head.path == "/stand-in/journal") {
      response.set_content(journal_.Text(), kTextType);
    } else if (head.path == "/stand-in/clear") {
      journal_.Clear();
    } else if (head.path == "/stand-in/counters") {
      response.set_content(CountersJson(), kJsonType);
    } else if (head.path == "/stand-in/slow") {
      slow_factor_ = std::strtod(head.get_param_value("factor").c_str(), nullptr);
    } else if (head.path == "/stand-in/drain") {
      draining_ = true;
    } else if (head.path == "/stand-in/health") {
      SetReport(head.get_param_value("report"), response);
    } else {
      response.status = kNotFound;
    }
  }

  void SetReport(const std::string& name, httplib::Response& response) {
    const std::lock_guard lock(health_mutex_);
    if (!ParseHealthReport(name, report_)) {
      response.status = kBadRequest;
    }
  }

  std::string CountersJson() const {
    return json{{"running", slots_.running()},
                {"waiting", slots_.waiting()},
                {"shed", shed_.load()},
                {"cut", incomplete_requests_.load()},
                {"calls", calls_.load()},
                {"foreign", invalid_answers_.load()},
                {"connections", host_.open_connections()}}
        .dump();
  }

  const backend_settings settings_;
  instant started_;
  slot_queue slots_;
  run_journal journal_;
  std::mutex random_mutex_;
  random_source random_;
  std::mutex health_mutex_;
  health_report report_;
  double reported_load_ = 0.0;
  std::atomic<double> slow_factor_ = 1.0;
  std::atomic<bool> draining_ = false;
  std::atomic<std::uint64_t> shed_ = 0;
  std::atomic<std::uint64_t> incomplete_requests_ = 0;
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<std::uint64_t> invalid_answers_ = 0;
  client_pool egress_;
  worker_pool call_threads_;
  http_host host_;
};

backend_stand_in::backend_stand_in(backend_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}

backend_stand_in::~backend_stand_in() { Stop(); }

absl::Status backend_stand_in::Start() { return state_->Start(); }

void backend_stand_in::Stop() { state_->Stop(); }

endpoint backend_stand_in::address() const { return state_->address(); }

}  // namespace cuminferry::stand_ins
