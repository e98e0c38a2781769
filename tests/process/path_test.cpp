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
  json kept = json::array();
  for (const json& one : table["rows"]) {
    if (one["name"] != row) {
      kept.push_back(one);
    }
  }
  table["rows"] = kept;
  return table.dump();
}

// Whether a map node refuses old maps for want of a row.
bool IsClosedAt(endpoint front) {
  auto asking = caller::builder().WithNodes({front}).WithManners({.attempts = 1}).Build();
  const call_result result = asking->Call(MakeRequest("map", "GET", "/map/history/2019", "old"));
  const auto* refused = std::get_if<call_not_run>(&result);
  return refused != nullptr && refused->code == result_code::kNoSuchRow;
}

json StatusOf(const trial::running_target& target) {
  const json status =
      json::parse(trial::deployment::Ask(target.admin, "GET", "/status"), nullptr, false);
  return status.is_object() ? status : json::object();
}

// An upload of which the first half is sent and the rest waits.
class halved_upload {
 public:
  explicit halved_upload(endpoint front)
      : answer_(std::async(std::launch::async, [this, front] { return Send(front); })) {
    half_sent_.get_future().wait();
  }

  /** Sends the rest and returns the answer's status and body. */
  std::pair<int, std::string> Finish() {
    go_on_.set_value();
    return answer_.get();
  }

 private:
  static constexpr std::size_t kPart = 256 * 1024;
  static constexpr std::size_t kParts = 16;

  std::pair<int, std::string> Send(endpoint front) {
    const auto client = client_pool(front).Make(std::chrono::seconds(30));
    const auto provide = [this](std::size_t offset, std::size_t, httplib::DataSink& sink) {
      if (offset == kPart * kParts / 2) {
        half_sent_.set_value();
        go_on_.get_future().wait();
      }
      const std::string part(kPart, 'u');
      return sink.write(part.data(), part.size());
    };
    const auto result = client->Put("/seasons/2026?request=season", kPart * kParts, provide,
                                    "application/octet-stream");
    return result ? std::pair(result->status, result->body) : std::pair(0, std::string());
  }

  std::promise<void> half_sent_;
  std::promise<void> go_on_;
  std::future<std::pair<int, std::string>> answer_;
};

}  // namespace

class path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(path_test);
  CPPUNIT_TEST(Permit_ThroughThreeServices_TakesEffectOnceInEach);
  CPPUNIT_TEST(Map_FirstCallOfFreshNodes_IsAnsweredWhole);
  CPPUNIT_TEST(Edit_Accepted_InForceOnEveryNodeAndNeverReverts);
  CPPUNIT_TEST(Drain_WithUploadAndPermitsUnderWay_CutsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Permit_ThroughThreeServices_TakesEffectOnceInEach() {
    const auto running = testing::StartDonauried(kDomains);
    const call_result result =
        testing::MakeCaller(*running).Call(MakeRequest("permit", "POST", "/permits", "permit-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), testing::DescribeEnd(result));
    const std::string& body = std::get<completed_call>(result).body;
    CPPUNIT_ASSERT(stand_ins::NameOfWholeAnswer(body) == "permit-1");
    for (const char* service : {"permit", "map", "soil-moisture"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(service, 1, EffectsIn(*running, service)["permit-1"]);
    }
  }

  // The fleet has just started and no node has called another service yet. The
  // first farmer of the morning must not be told that there is no target.
  void Map_FirstCallOfFreshNodes_IsAnsweredWhole() {
    const auto running = testing::StartDonauried(kDomains);
    for (const endpoint front : running->FrontsOf("map")) {
      auto asking = caller::builder().WithNodes({front}).Build();
      const call_result result = asking->Call(MakeRequest("map", "GET", "/map/week/7", "map-1"));
      CPPUNIT_ASSERT_EQUAL(std::string("answered"), testing::DescribeEnd(result));
    }
  }

  // Operators close a row, and afterwards the platform serves the older table
  // again, as a lagging replica of it does. A node that took the older one would
  // open what was closed.
  void Edit_Accepted_InForceOnEveryNodeAndNeverReverts() {
    const auto running = testing::StartDonauried(kDomains);
    CPPUNIT_ASSERT(running->PublishTable(TableWithout(kClosedRow, 2)).ok());
    for (const endpoint front : running->FrontsOf("map")) {
      AwaitEvent("version 2 at " + front.ToString(), [&] { return IsClosedAt(front); });
    }
    CPPUNIT_ASSERT(running->WaitForTable(2, std::chrono::seconds(20)));
    CPPUNIT_ASSERT(running->PublishTable(testing::Donauried().table_text).ok());
    // The nodes' next reads meet the older table; several are let pass.
    const auto reads = [&] {
      return json::parse(trial::deployment::Ask(running->platform(), "GET", "/stand-in/counters"))
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

  // An instance is replaced while a cooperative uploads its season and farmers
  // file permits. Whoever is being served must not notice.
  void Drain_WithUploadAndPermitsUnderWay_CutsNothing() {
    const auto running = testing::StartDonauried(kDomains);
    trial::running_target& archive = *running->TargetsOf("probe-archive").front();
    trial::running_target& permit = *running->TargetsOf("permit").front();
    testing::permit_filers filers(*running, 8);
    filers.AwaitCompleted(8);
    halved_upload upload(archive.front);
    AwaitEvent("upload admitted", [&] { return StatusOf(archive).value("running", 0) > 0; });
    archive.node_process->Signal(SIGTERM);
    permit.node_process->Signal(SIGTERM);
    AwaitEvent("drain", [&] { return StatusOf(archive).value("draining", false); });
    const auto [status, body] = upload.Finish();
    CPPUNIT_ASSERT_EQUAL(200, status);
    CPPUNIT_ASSERT(stand_ins::NameOfWholeAnswer(body) == "season");
    int exit_code = -1;
    for (trial::running_target* target : {&archive, &permit}) {
      CPPUNIT_ASSERT_MESSAGE(target->instance,
                             target->node_process->WaitForEnd(std::chrono::seconds(20), exit_code));
      CPPUNIT_ASSERT_EQUAL(0, exit_code);
    }
    filers.AwaitCompleted(8);
    filers.Stop();
    filers.CheckPromises();
    CPPUNIT_ASSERT_MESSAGE(filers.Summary(), filers.Summary().find("unknown") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_test);

}  // namespace cuminferry
