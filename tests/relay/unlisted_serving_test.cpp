#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_relay/path/unlisted_headers.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kInstance[] = "i-0";
constexpr duration kDrain = seconds(1);
constexpr duration kSpacing = milliseconds(50);
constexpr char kClose[] = "Connection: close\r\n";
// What a calling node says that doesn't list the instance, and doesn't know its run.
constexpr char kNotice[] = "0 0";

std::string HealthAnswer(int status, const std::string& body, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " Health\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

/** A real node beside a backend server that is no longer listed. Requests and queries are sent as
    calling nodes send them. */
class unlisted_serving_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(unlisted_serving_test);
  CPPUNIT_TEST(Unlisted_Answers_GoesOnServing);
  CPPUNIT_TEST(Unlisted_AnnouncesClose_GetsNothingMore);
  CPPUNIT_TEST(Unlisted_AnnouncedCloseWhileListed_GetsNothing);
  CPPUNIT_TEST(Unlisted_LeavesWhileRequestsWait_NoneOfThemIsSent);
  CPPUNIT_TEST(Unlisted_AnswersNothing_GetsNothingAfterItsTime);
  CPPUNIT_TEST(Unlisted_NoDrainTime_GetsNothing);
  CPPUNIT_TEST(Query_IdleInstance_IsAnsweredByAProbe);
  CPPUNIT_TEST(Query_HealthAnswerAnnouncesClose_IsToldThatItLeaves);
  CPPUNIT_TEST(Query_NoDrainTimeOrMalformed_IsRefused);
  CPPUNIT_TEST(Restarted_BesideUnlistedInstance_AcceptsTheIdThatHealthNames);
  CPPUNIT_TEST(Relisted_AfterItLeft_GetsRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { StartFleet(1); }

  void tearDown() override { fleet_.reset(); }

  // Guards against backend servers losing all requests because they can't renew their entries.
  void Unlisted_Answers_GoesOnServing() {
    Unlist();
    for (duration passed{}; passed < 3 * kDrain; passed += kSpacing) {
      const auto result = SendFromNode();
      CPPUNIT_ASSERT(fleet_->RunUntil([&] { return result->status() != 0; }));
      CPPUNIT_ASSERT_EQUAL(200, result->status());
      CPPUNIT_ASSERT(result->Contains("Relay-Serving: 0\r\n"));
      fleet_->RunFor(kSpacing);
    }
    CPPUNIT_ASSERT(std::ranges::none_of(fleet_->target(0).request_heads, [](const auto& head) {
      return head.Find("Relay-Unlisted") != nullptr;
    }));
  }

  // Guards against a backend server that leaves, and was never listed as draining, getting requests
  // until its process ends.
  void Unlisted_AnnouncesClose_GetsNothingMore() {
    Unlist();
    answer_fields_ = kClose;
    for (int sent = 0; sent < departure_check::kClosingAnswers; ++sent) {
      CPPUNIT_ASSERT_EQUAL(std::string(), OutcomeOf(SendFromNode()));
    }
    for (int sent = 0; sent < 10; ++sent) {
      CPPUNIT_ASSERT_EQUAL(std::string("leaving"), OutcomeOf(SendFromNode()));
      fleet_->RunFor(kSpacing);
    }
    CPPUNIT_ASSERT_EQUAL(departure_check::kClosingAnswers, requests_);
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), Query(kInstance));
  }

  void Unlisted_AnnouncedCloseWhileListed_GetsNothing() {
    answer_fields_ = kClose;
    for (int sent = 0; sent < departure_check::kClosingAnswers; ++sent) {
      CPPUNIT_ASSERT_EQUAL(std::string(), OutcomeOf(SendFromNode(std::nullopt)));
    }
    Unlist();
    // The caller's list is older and still contains the instance.
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), OutcomeOf(SendFromNode(std::nullopt)));
    CPPUNIT_ASSERT_EQUAL(departure_check::kClosingAnswers, requests_);
  }

  // Guards against requests that wait for a slot being sent to a backend server that leaves.
  void Unlisted_LeavesWhileRequestsWait_NoneOfThemIsSent() {
    // While the answers are held, what waits must not become unconfirmed.
    SetDrain(seconds(10));
    Unlist();
    answer_fields_ = kClose;
    answers_ = false;
    constexpr int kSent = 30;
    std::vector<std::shared_ptr<client_result>> results;
    for (int sent = 0; sent < kSent; ++sent) {
      results.push_back(SendFromNode());
    }
    // A few slots are kept free for calls of running requests.
    constexpr int kMinStarted = 15;
    fleet_->RunUntil([&] { return requests_ >= kMinStarted; });
    fleet_->RunFor(kSpacing);
    const int started = requests_;
    CPPUNIT_ASSERT(started >= kMinStarted && started < kSent);
    for (const auto& send_answer : held_answers_) {
      send_answer();
    }
    // What waited has had an interim answer by now, so the final answers are awaited.
    const auto count_refused = [&results] {
      return static_cast<int>(std::ranges::count_if(
          results, [](const auto& each) { return OutcomeIn(*each) == "leaving"; }));
    };
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return requests_ + count_refused() == kSent; }));
    // The first answer that announces a close frees a slot before the second tells.
    CPPUNIT_ASSERT(requests_ <= started + 1);
    CPPUNIT_ASSERT_EQUAL(kSent - requests_, count_refused());
  }

  // Guards against a silent backend server, of which nothing shows that it serves, getting requests
  // past the time in which one that leaves must get no more.
  void Unlisted_AnswersNothing_GetsNothingAfterItsTime() {
    Unlist();
    answers_ = false;
    health_status_ = 503;
    const auto first = SendFromNode();
    fleet_->RunFor(kDrain);
    CPPUNIT_ASSERT_EQUAL(1, requests_);
    CPPUNIT_ASSERT_EQUAL(std::string("unconfirmed"), OutcomeOf(SendFromNode()));
    CPPUNIT_ASSERT_EQUAL(1, requests_);
    CPPUNIT_ASSERT_EQUAL(std::string("undecided"), Query(kInstance));
  }

  void Unlisted_NoDrainTime_GetsNothing() {
    SetDrain(duration::zero());
    Unlist();
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), OutcomeOf(SendFromNode()));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
    fleet_->RunFor(kSpacing);
    CPPUNIT_ASSERT_EQUAL(0, probes_);
  }

  // Guards against callers dropping an idle instance because the first reply says nothing.
  void Query_IdleInstance_IsAnsweredByAProbe() {
    // A node asks about an unlisted instance by itself where its service has no listed one.
    StartFleet(2);
    fleet_->SetUnlisted({0});
    fleet_->PublishTo(0, 2);
    // The probes that the removal itself is a reason for are over then.
    fleet_->RunFor(departure_check::kInterestTime + departure_check::kEvidenceTime);
    const int before = probes_;
    CPPUNIT_ASSERT(before > 0);
    fleet_->RunFor(2 * unlisted_queries::kQueryPeriod);
    CPPUNIT_ASSERT_EQUAL(before, probes_);
    CPPUNIT_ASSERT_EQUAL(std::string("serving"), Query(kInstance));
    CPPUNIT_ASSERT_EQUAL(before + 1, probes_);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Query("i-00"));
    CPPUNIT_ASSERT_EQUAL(std::string(), OutcomeOf(SendFromNode()));
  }

  void Query_HealthAnswerAnnouncesClose_IsToldThatItLeaves() {
    Unlist();
    health_status_ = 503;
    health_fields_ = kClose;
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), Query(kInstance));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), OutcomeOf(SendFromNode()));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
  }

  // Guards against another answer to a caller than nodes without this part give.
  void Query_NoDrainTimeOrMalformed_IsRefused() {
    CPPUNIT_ASSERT_EQUAL(400, StatusOfGet("/relay/registration?id=i-0"));
    CPPUNIT_ASSERT_EQUAL(400, StatusOfGet("/relay/registration?id=i-0&run=1&unlisted_ms=-1"));
    CPPUNIT_ASSERT_EQUAL(200, StatusOfGet("/relay/registration?id=i-0&run=1&unlisted_ms=1"));
    SetDrain(duration::zero());
    CPPUNIT_ASSERT_EQUAL(400, StatusOfGet("/relay/registration?id=i-0&run=1&unlisted_ms=1"));
  }

  // Guards against a node that has just started sending requests to whatever is beside it by now.
  void Restarted_BesideUnlistedInstance_AcceptsTheIdThatHealthNames() {
    fleet_->StopNode(0);
    fleet_->StartNode(0);
    SetDrain(kDrain);
    Unlist();
    health_body_ = "{\"id\":\"i-00\"}";
    CPPUNIT_ASSERT_EQUAL(std::string("unconfirmed"), OutcomeOf(SendFromNode("7 100")));
    CPPUNIT_ASSERT_EQUAL(std::string("undecided"), Query(kInstance));
    CPPUNIT_ASSERT_EQUAL(0, requests_);
    health_body_ = "{\"id\":\"i-0\"}";
    fleet_->RunFor(departure_check::kProbeRetryInterval);
    CPPUNIT_ASSERT_EQUAL(std::string("serving"), Query(kInstance));
    const auto result = SendFromNode("7 100");
    CPPUNIT_ASSERT_EQUAL(std::string(), OutcomeOf(result));
    CPPUNIT_ASSERT(result->Contains("Relay-Serving: 7\r\n"));
  }

  void Relisted_AfterItLeft_GetsRequests() {
    Unlisted_AnnouncesClose_GetsNothingMore();
    answer_fields_.clear();
    fleet_->PublishTo(0, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(), OutcomeOf(SendFromNode()));
  }

 private:
  // Lists all instances at the first node, which is the one under test.
  void StartFleet(int nodes) {
    fleet_ = std::make_unique<relay_fleet>(nodes);
    fleet_->target(0).on_request = [this](scripted_target::scripted_request& exchange) {
      OnRequest(exchange);
    };
    SetDrain(kDrain);
    fleet_->PublishTo(0, 1);
  }

  void SetDrain(duration drain) {
    relay_settings settings = fleet_->SettingsOf(0);
    settings.drain = drain;
    fleet_->node(0).ApplySettings(settings);
  }

  // Publishes the table without any instance.
  void Unlist() {
    fleet_->node(0).OnItemUpdate({.complete_to = 2,
                                  .whole = true,
                                  .items = {{.key = "table", .value = "1", .revision = 1}},
                                  .age_micros = 0});
  }

  void OnRequest(scripted_target::scripted_request& exchange) {
    if (exchange.request.target == "/health") {
      ++probes_;
      exchange.connection.Write(HealthAnswer(health_status_, health_body_, health_fields_));
      return;
    }
    ++requests_;
    std::string answer = scripted_target::Answer(exchange.request);
    answer.insert(answer.find("\r\n") + 2, answer_fields_);
    if (answers_) {
      exchange.connection.Write(answer);
    } else {
      held_answers_.emplace_back(
          [&connection = exchange.connection, answer] { connection.Write(answer); });
    }
  }

  // Sends a request as a calling node does.
  std::shared_ptr<client_result> SendFromNode(std::optional<std::string> notice = kNotice) {
    const call_header call{.row = "safe",
                           .repeat = repeat_rule::kIdempotent,
                           .objective = seconds(4),
                           .objective_left = seconds(4)};
    std::string fields = "Instance: " + std::string(kInstance) + "\r\n" + std::string(kCallField) +
                         ": " + call.ToText() + "\r\n";
    if (notice) {
      fields += std::string(kUnlistedField) + ": " + *notice + "\r\n";
    }
    return fleet_->SendTo(fleet_->PeerAddress(0), relay_fleet::Get("/safe/x", "r", fields));
  }

  static std::string OutcomeIn(const client_result& result) {
    const std::string name = std::string(kOutcomeField) + ": ";
    const auto begin = result.bytes.find(name);
    if (begin == std::string::npos) {
      return "";
    }
    const auto value = begin + name.size();
    return result.bytes.substr(value, result.bytes.find("\r\n", value) - value);
  }

  // Waits for the answer and returns its outcome; empty where the backend server has answered.
  std::string OutcomeOf(const std::shared_ptr<client_result>& result) {
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return result->status() != 0; }));
    return OutcomeIn(*result);
  }

  std::shared_ptr<client_result> GetFromNode(const std::string& target) {
    const auto result =
        fleet_->SendTo(fleet_->PeerAddress(0), "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return result->status() != 0; }));
    fleet_->RunFor(milliseconds(5));
    return result;
  }

  int StatusOfGet(const std::string& target) { return GetFromNode(target)->status(); }

  std::string Query(const std::string& instance) {
    const auto result = GetFromNode(registration_query{.instance = instance}.ToTarget());
    CPPUNIT_ASSERT_EQUAL(200, result->status());
    return result->bytes.substr(result->bytes.find("\r\n\r\n") + 4);
  }

  std::unique_ptr<relay_fleet> fleet_;
  std::string answer_fields_;
  bool answers_ = true;
  std::vector<std::function<void()>> held_answers_;
  int requests_ = 0;
  int health_status_ = 200;
  std::string health_body_ = "{\"state\":\"ready\",\"id\":\"i-0\"}";
  std::string health_fields_;
  int probes_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unlisted_serving_test);

}  // namespace cuminferry::testing
