#include "process/process_support.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "stand_ins/backend/answer_text.h"
#include "support/property.h"
#include "trial/journal_reader.h"

namespace cuminferry::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr duration kEventTimeout = std::chrono::seconds(20);
constexpr milliseconds kEventPoll{10};

bool IsIdle(const trial::running_target& target) {
  const json counters = json::parse(
      trial::deployment::SendRequest(target.backend, "GET", "/stand-in/counters"), nullptr, false);
  return counters.is_object() && counters["running"] == 0 && counters["waiting"] == 0;
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\n')); }

}  // namespace

const trial::deployment_plan& Donauried() {
  static const trial::deployment_plan plan = [] {
    auto read =
        trial::deployment_plan::Read(CUMINFERRY_SOURCE_DIR "/examples/donauried.trial.jsonc");
    CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    return *std::move(read);
  }();
  return plan;
}

std::unique_ptr<trial::deployment> StartDonauried(std::size_t domain_count) {
  auto started = trial::deployment::Start(
      Donauried(),
      {.program_folder = CUMINFERRY_BINARY_DIR, .link_faults = true, .domain_count = domain_count});
  CPPUNIT_ASSERT_MESSAGE(std::string(started.status().message()), started.ok());
  return *std::move(started);
}

void AwaitEvent(const std::string& event, const std::function<bool()>& has_happened) {
  const instant deadline = boot_clock::Now() + kEventTimeout;
  while (!has_happened()) {
    CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + event, boot_clock::Now() < deadline);
    std::this_thread::sleep_for(kEventPoll);
  }
}

caller MakeCaller(trial::deployment& running) {
  return *caller::builder()
              .WithResolver(
                  [&running](std::string_view service) { return running.FrontsOf(service); })
              .WithSeed(20261202)
              .Build();
}

std::string DescribeOutcome(const call_result& result) {
  if (const auto* completed = std::get_if<completed_call>(&result)) {
    return completed->http_status == 200 ? "answered" : "failed: " + FirstLine(completed->body);
  }
  if (const auto* refused = std::get_if<call_not_run>(&result)) {
    return "not_run CF" + std::to_string(static_cast<int>(refused->code));
  }
  return "unknown CF" + std::to_string(static_cast<int>(std::get<call_unknown>(result).code));
}

call_request MakeRequest(const std::string& service, const std::string& method,
                         const std::string& path, const std::string& name) {
  call_request request{.service = service,
                       .method = method,
                       .path = path + "?" + stand_ins::kRequestParameter + "=" + name,
                       .headers = {},
                       .body = {},
                       .idempotent = method != "POST"};
  if (method != "GET") {
    request.headers.push_back({"Content-Type", "text/plain"});
    request.body = name;
  }
  return request;
}

std::map<std::string, int> EffectsIn(trial::deployment& running, const std::string& service) {
  std::map<std::string, int> effects;
  for (const trial::running_target* target : running.TargetsOf(service)) {
    trial::journal_contents journal;
    trial::ReadJournal(running.JournalFileOf(*target), service, journal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), journal.unreadable_line_count);
    for (const trial::journal_entry& entry : journal.entries) {
      effects[entry.request] += entry.is_effect ? 1 : 0;
    }
  }
  return effects;
}

//==============================================================================
permit_callers::permit_callers(trial::deployment& running, std::size_t callers)
    : running_(running), caller_(MakeCaller(running)) {
  for (std::size_t number = 0; number < callers; ++number) {
    threads_.emplace_back([this, number] { FilePermits(number); });
  }
}

permit_callers::~permit_callers() {
  stopping_ = true;
  for (std::thread& one : threads_) {
    one.join();
  }
}

void permit_callers::FilePermits(std::size_t caller_number) {
  for (int number = 0; !stopping_; ++number) {
    const std::string name = "p" + std::to_string(caller_number) + "-" + std::to_string(number);
    call_result result = caller_.Call(MakeRequest("permit", "POST", "/permits", name));
    const auto* completed = std::get_if<completed_call>(&result);
    completed_ += completed != nullptr && completed->http_status == 200 ? 1 : 0;
    const std::lock_guard lock(mutex_);
    results_.emplace(name, std::move(result));
  }
}

void permit_callers::AwaitCompleted(int more) {
  const int wanted = completed_ + more;
  AwaitEvent(std::to_string(more) + " more permits", [&] { return completed_ >= wanted; });
}

void permit_callers::Stop() {
  stopping_ = true;
  for (std::thread& one : threads_) {
    one.join();
  }
  threads_.clear();
  for (const trial::running_target& target : running_.targets()) {
    AwaitEvent(target.instance + " idle", [&] { return IsIdle(target); });
  }
}

void permit_callers::CheckAgainstJournals() {
  const std::map<std::string, int> effects = EffectsIn(running_, "permit");
  for (const auto& [name, count] : effects) {
    CPPUNIT_ASSERT_MESSAGE(name + " took effect twice", count <= 1);
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [name, result] : results_) {
    const auto found = effects.find(name);
    const int count = found == effects.end() ? 0 : found->second;
    if (const auto* completed = std::get_if<completed_call>(&result)) {
      const bool succeeded = completed->http_status == 200;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, succeeded ? 1 : 0, count);
      CPPUNIT_ASSERT_MESSAGE("incomplete or foreign answer: " + name,
                             !succeeded || stand_ins::RequestNameOfAnswer(completed->body) == name);
    } else if (std::holds_alternative<call_not_run>(result)) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("reported as not run: " + name, 0, count);
    }
  }
}

std::string permit_callers::Summary() const {
  std::map<std::string, int> outcome_counts;
  for (const auto& [name, result] : results_) {
    ++outcome_counts[DescribeOutcome(result)];
  }
  std::string text = std::to_string(results_.size()) + " permits:";
  for (const auto& [outcome, count] : outcome_counts) {
    text += " " + std::to_string(count) + " " + outcome + ",";
  }
  return text;
}

}  // namespace cuminferry::testing
