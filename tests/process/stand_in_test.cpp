#include <future>
#include <latch>
#include <nlohmann/json.hpp>

#include "cuminferry_caller/cuminferry_caller.h"
#include "process/process_support.h"
#include "stand_ins/backend/answer_text.h"
#include "stand_ins/backend/backend_stand_in.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using nlohmann::json;
using stand_ins::backend_settings;
using stand_ins::backend_stand_in;
using stand_ins::platform_stand_in;
using std::chrono::milliseconds;

constexpr endpoint kAnyLocal{0x7F000001, 0};
constexpr milliseconds kLongTimeout{10'000};

backend_settings MakeSettings(milliseconds service_time, std::uint32_t slots, std::uint32_t queue) {
  backend_settings settings;
  settings.service = "soil-moisture";
  settings.listen = kAnyLocal;
  settings.slots = slots;
  settings.max_queued_requests = queue;
  stand_ins::request_kind kind{.method = "GET", .path = "/soil/{parcel}"};
  kind.service_time = service_time;
  kind.distribution = stand_ins::service_time_distribution::kFixed;
  settings.kinds = {kind};
  return settings;
}

transport_answer Get(endpoint at, const std::string& path, milliseconds longest = kLongTimeout,
                     std::vector<http_header> headers = {}) {
  return MakeHttpTransport()({.to = at,
                              .method = "GET",
                              .path = path,
                              .headers = std::move(headers),
                              .body = {},
                              .timeout = longest});
}

int ReadCounter(endpoint at, const char* name) {
  return json::parse(Get(at, "/stand-in/counters").body).at(name).get<int>();
}

std::vector<json> ReadJournalEntries(endpoint at) {
  std::istringstream lines(Get(at, "/stand-in/journal").body);
  std::vector<json> entries;
  for (std::string line; std::getline(lines, line);) {
    entries.push_back(json::parse(line));
  }
  return entries;
}

}  // namespace

class stand_in_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stand_in_test);
  CPPUNIT_TEST(Backend_MoreThanSlotsAndQueue_ShedsTheRestUnrun);
  CPPUNIT_TEST(Backend_CallerGone_GivesUpWithoutEffect);
  CPPUNIT_TEST(Backend_DeadlinePassed_GivesUpWithoutEffect);
  CPPUNIT_TEST(Backend_Answer_IsCompleteAndNamesItsRequest);
  CPPUNIT_TEST(Platform_Watch_AnswersWhenTheValueChanges);
  CPPUNIT_TEST(Platform_OverItsRate_Refuses);
  CPPUNIT_TEST(Platform_StaleThenDown_ServesOldValueThenNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Backend_MoreThanSlotsAndQueue_ShedsTheRestUnrun() {
    backend_stand_in backend(MakeSettings(milliseconds(300), 2, 1));
    CPPUNIT_ASSERT(backend.Start().ok());
    std::vector<std::future<transport_answer>> answers;
    for (int number = 0; number < 3; ++number) {
      answers.push_back(std::async(std::launch::async, [&, number] {
        return Get(backend.address(), "/soil/7?request=r" + std::to_string(number));
      }));
    }
    testing::AwaitEvent("full", [&] {
      return ReadCounter(backend.address(), "running") == 2 &&
             ReadCounter(backend.address(), "waiting") == 1;
    });
    const transport_answer shed = Get(backend.address(), "/soil/7?request=late");
    CPPUNIT_ASSERT_EQUAL(503, shed.http_status);
    CPPUNIT_ASSERT(shed.Header(header_names::kNotRun) == "1");
    for (std::future<transport_answer>& answer : answers) {
      CPPUNIT_ASSERT_EQUAL(200, answer.get().http_status);
    }
    for (const json& entry : ReadJournalEntries(backend.address())) {
      CPPUNIT_ASSERT(entry["request"] != "late");
    }
  }

  void Backend_CallerGone_GivesUpWithoutEffect() {
    backend_stand_in backend(MakeSettings(kLongTimeout, 1, 0));
    CPPUNIT_ASSERT(backend.Start().ok());
    CPPUNIT_ASSERT(Get(backend.address(), "/soil/7?request=gone", milliseconds(50)).outcome ==
                   transport_outcome::kNoAnswer);
    testing::AwaitEvent("end of the run",
                        [&] { return !ReadJournalEntries(backend.address()).empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"),
                         ReadJournalEntries(backend.address())[0]["end"].get<std::string>());
  }

  void Backend_DeadlinePassed_GivesUpWithoutEffect() {
    backend_stand_in backend(MakeSettings(kLongTimeout, 1, 0));
    CPPUNIT_ASSERT(backend.Start().ok());
    const transport_answer answer = Get(backend.address(), "/soil/7?request=late", kLongTimeout,
                                        {{header_names::kTimeLeft, "50"}});
    CPPUNIT_ASSERT_EQUAL(504, answer.http_status);
    CPPUNIT_ASSERT_EQUAL(std::string("expired"),
                         ReadJournalEntries(backend.address())[0]["end"].get<std::string>());
  }

  void Backend_Answer_IsCompleteAndNamesItsRequest() {
    backend_stand_in backend(MakeSettings(milliseconds(1), 1, 0));
    CPPUNIT_ASSERT(backend.Start().ok());
    const std::string body = Get(backend.address(), "/soil/7?request=r1").body;
    CPPUNIT_ASSERT(stand_ins::RequestNameOfAnswer(body) == "r1");
    for (const std::size_t cut : {std::size_t(0), body.size() / 2, body.size() - 1}) {
      CPPUNIT_ASSERT(stand_ins::RequestNameOfAnswer(body.substr(0, cut)).empty());
    }
  }

  void Platform_Watch_AnswersWhenTheValueChanges() {
    platform_stand_in platform({.listen = kAnyLocal});
    CPPUNIT_ASSERT(platform.Start().ok());
    platform.Publish("key", "first");
    const transport_answer first = Get(platform.address(), "/v1/kv/key?raw");
    CPPUNIT_ASSERT_EQUAL(std::string("first"), first.body);
    const std::string index(first.Header("X-Consul-Index"));
    auto watch = std::async(std::launch::async, [&] {
      return Get(platform.address(), "/v1/kv/key?raw&wait=10s&index=" + index);
    });
    testing::AwaitEvent("watch", [&] { return platform.counts().watches_waiting == 1; });
    platform.Publish("key", "second");
    CPPUNIT_ASSERT_EQUAL(std::string("second"), watch.get().body);
    CPPUNIT_ASSERT_EQUAL(404, Get(platform.address(), "/v1/kv/none?raw").http_status);
  }

  void Platform_OverItsRate_Refuses() {
    platform_stand_in platform({.listen = kAnyLocal, .max_reads_per_second = 0});
    CPPUNIT_ASSERT(platform.Start().ok());
    CPPUNIT_ASSERT_EQUAL(429, Get(platform.address(), "/v1/kv/key?raw").http_status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), platform.counts().refused);
  }

  void Platform_StaleThenDown_ServesOldValueThenNothing() {
    platform_stand_in platform({.listen = kAnyLocal});
    CPPUNIT_ASSERT(platform.Start().ok());
    platform.Publish("key", "old");
    platform.SetMode(platform_stand_in::mode::kStale);
    platform.Publish("key", "new");
    CPPUNIT_ASSERT_EQUAL(std::string("old"), Get(platform.address(), "/v1/kv/key?raw").body);
    platform.SetMode(platform_stand_in::mode::kDown);
    CPPUNIT_ASSERT(Get(platform.address(), "/v1/kv/key?raw").outcome ==
                   transport_outcome::kNoAnswer);
    platform.SetMode(platform_stand_in::mode::kUp);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Get(platform.address(), "/v1/kv/key?raw").body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stand_in_test);

}  // namespace cuminferry
