#include <signal.h>

#include <future>
#include <nlohmann/json.hpp>

#include "process/process_support.h"
#include "stand_ins/backend/answer_text.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using nlohmann::json;
using testing::AwaitEvent;
using testing::EffectsIn;
using testing::MakeRequest;

constexpr std::size_t kDomains = 2;
constexpr char kClosedRow[] = "map-history";

std::string TableWithout(const std::string& row, std::uint64_t version) {
  json table = json::parse(testing::Donauried().table_text);
  table["version"] = version;
  json remaining_rows = json::array();
  for (const json& one : table["rows"]) {
    if (one["name"] != row) {
      remaining_rows.push_back(one);
    }
  }
  table["rows"] = remaining_rows;
  return table.dump();
}

// Whether a map node refuses requests for old maps because their row is missing.
bool IsClosedAt(endpoint front) {
  auto single_node_caller =
      caller::builder().WithNodes({front}).WithRetryPolicy({.attempts = 1}).Build();
  const call_result result =
      single_node_caller->Call(MakeRequest("map", "GET", "/map/history/2019", "old"));
  const auto* refused = std::get_if<call_not_run>(&result);
  return refused != nullptr && refused->code == result_code::kNoSuchRow;
}

json StatusOf(const trial::running_target& target) {
  const json status =
      json::parse(trial::deployment::SendRequest(target.admin, "GET", "/status"), nullptr, false);
  return status.is_object() ? status : json::object();
}

// An upload that sends its first half and waits for Finish() to send the rest.
class paused_upload {
 public:
  explicit paused_upload(endpoint front)
      : answer_(std::async(std::launch::async, [this, front] { return Send(front); })) {
    half_sent_.get_future().wait();
  }

  /** Sends the rest and returns the answer's status and body. */
  std::pair<int, std::string> Finish() {
    resume_.set_value();
    return answer_.get();
  }

 private:
  static constexpr std::size_t kPartBytes = 256 * 1024;
  static constexpr std::size_t kPartCount = 16;

  std::pair<int, std::string> Send(endpoint front) {
    const auto client = client_pool(front).Make(std::chrono::seconds(30));
    const auto provide = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
      if (offset == kPartBytes * kPartCount / 2) {
        half_sent_.set_value();
        resume_.get_future().wait();
      }
      const std::string part(kPartBytes, 'u');
      return sink.write(part.data(), part.size());
    };
    const auto result = client->Put("/seasons/2026?request=season", kPartBytes * kPartCount,
                                    provide, "application/octet-stream");
    return result ? std::pair(result->status, result->body) : std::pair(0, std::string());
  }

  std::promise<void> half_sent_;
  std::promise<void> resume_;
  std::future<std::pair<int, std::string>> answer_;
};

}  // namespace

class path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(path_test);
  CPPUNIT_TEST(Permit_ThroughThreeServices_TakesEffectOnceInEach);
  CPPUNIT_TEST(Map_FirstCallOfNewNodes_IsAnsweredCompletely);
  CPPUNIT_TEST(Edit_Accepted_InForceOnEveryNodeAndNeverReverts);
  CPPUNIT_TEST(Drain_WithRunningUploadAndPermits_CompletesAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Permit_ThroughThreeServices_TakesEffectOnceInEach() {
    const auto running = testing::StartDonauried(kDomains);
    const call_result result =
        testing::MakeCaller(*running).Call(MakeRequest("permit", "POST", "/permits", "permit-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), testing::DescribeOutcome(result));
    const std::string& body = std::get<completed_call>(result).body;
    CPPUNIT_ASSERT(stand_ins::RequestNameOfAnswer(body) == "permit-1");
    for (const char* service : {"permit", "map", "soil-moisture"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(service, 1, EffectsIn(*running, service)["permit-1"]);
    }
  }

  // In a fleet that has just started, no node has called another service yet. The first call must
  // not be refused for lack of a known target.
  void Map_FirstCallOfNewNodes_IsAnsweredCompletely() {
    const auto running = testing::StartDonauried(kDomains);
    for (const endpoint front : running->FrontsOf("map")) {
      auto single_node_caller = caller::builder().WithNodes({front}).Build();
      const call_result result =
          single_node_caller->Call(MakeRequest("map", "GET", "/map/week/7", "map-1"));
      CPPUNIT_ASSERT_EQUAL(std::string("answered"), testing::DescribeOutcome(result));
    }
  }

  // Operators close a row, and afterwards the platform serves the older table again, as one of its
  // lagging replicas does. A node that applied the older table would reopen the row.
  void Edit_Accepted_InForceOnEveryNodeAndNeverReverts() {
    const auto running = testing::StartDonauried(kDomains);
    CPPUNIT_ASSERT(running->PublishTable(TableWithout(kClosedRow, 2)).ok());
    for (const endpoint front : running->FrontsOf("map")) {
      AwaitEvent("version 2 at " + front.ToString(), [&] { return IsClosedAt(front); });
    }
    CPPUNIT_ASSERT(running->WaitForTable(2, std::chrono::seconds(20)));
    CPPUNIT_ASSERT(running->PublishTable(testing::Donauried().table_text).ok());
    // The nodes read the older table next. The test waits for several reads.
    const auto reads = [&] {
      return json::parse(
                 trial::deployment::SendRequest(running->platform(), "GET", "/stand-in/counters"))
          .at("reads")
          .get<std::uint64_t>();
    };
    const std::uint64_t before = reads();
    AwaitEvent("reads of the older table", [&] { return reads() > before + 8; });
    CPPUNIT_ASSERT(running->PublishTable(TableWithout(kClosedRow, 3)).ok());
    CPPUNIT_ASSERT(running->WaitForTable(3, std::chrono::seconds(20)));
    for (const trial::running_target& target : running->targets()) {
      CPPUNIT_ASSERT(StatusOf(target).value("table_version", 0) >= 3);
    }
    for (const endpoint front : running->FrontsOf("map")) {
      CPPUNIT_ASSERT(IsClosedAt(front));
    }
  }

  // Two instances drain while a long upload and permits are running. The running requests must
  // complete.
  void Drain_WithRunningUploadAndPermits_CompletesAll() {
    const auto running = testing::StartDonauried(kDomains);
    trial::running_target& archive = *running->TargetsOf("probe-archive").front();
    trial::running_target& permit = *running->TargetsOf("permit").front();
    testing::permit_callers callers(*running, 8);
    callers.AwaitCompleted(8);
    paused_upload upload(archive.front);
    AwaitEvent("upload admitted", [&] { return StatusOf(archive).value("running", 0) > 0; });
    archive.node_process->Signal(SIGTERM);
    permit.node_process->Signal(SIGTERM);
    AwaitEvent("drain", [&] { return StatusOf(archive).value("draining", false); });
    const auto [status, body] = upload.Finish();
    CPPUNIT_ASSERT_EQUAL(200, status);
    CPPUNIT_ASSERT(stand_ins::RequestNameOfAnswer(body) == "season");
    int exit_code = -1;
    for (trial::running_target* target : {&archive, &permit}) {
      CPPUNIT_ASSERT_MESSAGE(
          target->instance, target->node_process->WaitForExit(std::chrono::seconds(20), exit_code));
      CPPUNIT_ASSERT_EQUAL(0, exit_code);
    }
    callers.AwaitCompleted(8);
    callers.Stop();
    callers.CheckAgainstJournals();
    CPPUNIT_ASSERT_MESSAGE(callers.Summary(),
                           callers.Summary().find("unknown") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_test);

}  // namespace cuminferry
