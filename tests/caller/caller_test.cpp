#include <deque>

#include "cuminferry_caller/cuminferry_caller.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

transport_answer Answered(int status, std::vector<http_header> headers, std::string body = {}) {
  return {transport_outcome::kAnswered, status, std::move(headers), std::move(body)};
}

transport_answer Completed(std::string body, int status = 200) {
  return Answered(status, {{header_names::kOutcome, "completed"}}, std::move(body));
}

transport_answer Refused(int retry_after_ms) {
  return Answered(503, {{header_names::kOutcome, "not_run"},
                        {header_names::kCode, "300"},
                        {"cuminferry-retry-after-ms", std::to_string(retry_after_ms)}});
}

transport_answer UnknownOutcome(const std::string& ticket, int code = 311) {
  return Answered(504, {{header_names::kOutcome, "unknown"},
                        {header_names::kCode, std::to_string(code)},
                        {header_names::kTicket, ticket}});
}

transport_answer Lost() { return {transport_outcome::kNoAnswer, 0, {}, {}}; }

// Simulates a fleet in virtual time: a transport that returns prepared answers.
class scripted_fleet {
 public:
  std::deque<transport_answer> answers;
  std::vector<transport_request> sent_requests;
  instant now = FromMicros(0);
  std::vector<endpoint> nodes = {{0x7F000001, 1}, {0x7F000001, 2}, {0x7F000001, 3}};
  retry_policy policy;

  caller Make() {
    auto made =
        caller::builder()
            .WithNodes(nodes)
            .WithSeed(7)
            .WithRetryPolicy(policy)
            .WithClock([this] { return now; }, [this](duration time) { now += time; })
            .WithTransport([this](const transport_request& request) { return Answer(request); })
            .Build();
    CPPUNIT_ASSERT(made.ok());
    return *std::move(made);
  }

  std::size_t CountOf(std::string_view method) const {
    return static_cast<std::size_t>(
        std::count_if(sent_requests.begin(), sent_requests.end(),
                      [&](const transport_request& one) { return one.method == method; }));
  }

 private:
  transport_answer Answer(const transport_request& request) {
    sent_requests.push_back(request);
    now += milliseconds(1);
    if (answers.empty()) {
      return Lost();
    }
    transport_answer answer = std::move(answers.front());
    answers.pop_front();
    return answer;
  }
};

const call_request kMapRequest{.service = "map", .path = "/map/parcels/7"};
const call_request kFilingRequest{
    .service = "permit", .method = "POST", .path = "/permits", .body = "draw", .idempotent = false};

}  // namespace

class caller_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_test);
  CPPUNIT_TEST(Builder_WithoutNodes_IsRefused);
  CPPUNIT_TEST(Call_Completed_ReturnsTheWholeAnswer);
  CPPUNIT_TEST(Call_Refused_RetriesAfterRequestedPause);
  CPPUNIT_TEST(Call_RefusedBeyondTimeout_ReturnsAtOnceWithRetryAfter);
  CPPUNIT_TEST(Call_NodeUnreachable_TriesAnotherNode);
  CPPUNIT_TEST(Filing_LostWithoutTicket_IsUnknownAndNotSentAgain);
  CPPUNIT_TEST(Filing_UnknownWithTicket_QueriesUntilOutcomeIsKnown);
  CPPUNIT_TEST(Filing_TicketNotRun_IsSentAgain);
  CPPUNIT_TEST(Filing_TicketHolderUnreachable_IsUnknownWithTicket);
  CPPUNIT_TEST(Filing_AnySequenceOfAnswers_IsNeverSentAfterUnknown);
  CPPUNIT_TEST(Revoke_Ticket_PostsToItsPath);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Builder_WithoutNodes_IsRefused() {
    const auto made = caller::builder().Build();
    CPPUNIT_ASSERT(CodeOf(made.status()) == result_code::kSettingsMissingKey);
  }

  void Call_Completed_ReturnsTheWholeAnswer() {
    scripted_fleet fleet;
    fleet.answers = {Completed("map of parcel 7")};
    const call_result result = fleet.Make().Call(kMapRequest);
    CPPUNIT_ASSERT_EQUAL(std::string("map of parcel 7"), std::get<completed_call>(result).body);
    CPPUNIT_ASSERT(NameOf(result) == "completed");
  }

  // Guards against callers that retry sooner than an overloaded node requests and so increase the
  // overload.
  void Call_Refused_RetriesAfterRequestedPause() {
    scripted_fleet fleet;
    fleet.answers = {Refused(700), Completed("map")};
    const call_result result = fleet.Make().Call(kMapRequest);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT(fleet.now >= FromMicros(700'000));
  }

  // Guards against a useless wait until the deadline when a refusal requests a longer pause than
  // the call has time left.
  void Call_RefusedBeyondTimeout_ReturnsAtOnceWithRetryAfter() {
    scripted_fleet fleet;
    fleet.answers = {Refused(60'000)};
    const call_result result = fleet.Make().Call(kMapRequest);
    CPPUNIT_ASSERT(std::get<call_not_run>(result).retry_after == milliseconds(60'000));
    CPPUNIT_ASSERT(fleet.now < FromMicros(10'000));
  }

  // Guards against a failed call when an instance was replaced and nothing listens at its address:
  // another node serves the request.
  void Call_NodeUnreachable_TriesAnotherNode() {
    scripted_fleet fleet;
    fleet.answers = {{transport_outcome::kNotConnected, 0, {}, {}}, Completed("map")};
    const call_result result = fleet.Make().Call(kMapRequest);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT(fleet.sent_requests[0].to != fleet.sent_requests[1].to);
  }

  // Guards against a duplicate filing when the connection is lost after the request was sent and
  // its outcome is unknown.
  void Filing_LostWithoutTicket_IsUnknownAndNotSentAgain() {
    scripted_fleet fleet;
    fleet.answers = {Lost(), Completed("filed")};
    const call_result result = fleet.Make().Call(kFilingRequest);
    CPPUNIT_ASSERT(std::get<call_unknown>(result).ticket.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.sent_requests.size());
    CPPUNIT_ASSERT(fleet.sent_requests[0].on_new_connection);
  }

  // Guards against an unknown outcome or a duplicate filing although the answer of the node names
  // the ticket: queries by the ticket return the answer.
  void Filing_UnknownWithTicket_QueriesUntilOutcomeIsKnown() {
    scripted_fleet fleet;
    fleet.answers = {UnknownOutcome("t1"), UnknownOutcome("t1", 403), Completed("filed")};
    const call_result result = fleet.Make().Call(kFilingRequest);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), std::get<completed_call>(result).body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.CountOf("POST"));
    CPPUNIT_ASSERT_EQUAL(std::string("/ticket/t1"), fleet.sent_requests.back().path);
  }

  void Filing_TicketNotRun_IsSentAgain() {
    scripted_fleet fleet;
    fleet.answers = {UnknownOutcome("t1"), Refused(0), Completed("filed")};
    const call_result result = fleet.Make().Call(kFilingRequest);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.CountOf("POST"));
  }

  // Guards against a guessed outcome when the instance that holds the ticket has crashed: the
  // result is unknown and names the ticket.
  void Filing_TicketHolderUnreachable_IsUnknownWithTicket() {
    scripted_fleet fleet;
    fleet.answers = {UnknownOutcome("t1")};
    const call_result result = fleet.Make().Call(kFilingRequest);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), std::get<call_unknown>(result).ticket);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.CountOf("POST"));
    CPPUNIT_ASSERT(fleet.now <= FromMicros(5'100'000));
  }

  // Guards against duplicate filings with refused, unknown and lost answers in any order: a filing
  // is sent again only if the previous one certainly did not run.
  void Filing_AnySequenceOfAnswers_IsNeverSentAfterUnknown() {
    testing::CheckProperty("a filing is sent again only after not_run", [] {
      scripted_fleet fleet;
      fleet.policy.attempts = 8;
      const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
      for (const int kind : kinds) {
        const transport_answer choices[] = {Lost(),
                                            Refused(5),
                                            UnknownOutcome("t"),
                                            UnknownOutcome("t", 403),
                                            {transport_outcome::kNotConnected, 0, {}, {}}};
        fleet.answers.push_back(choices[kind]);
      }
      fleet.Make().Call(kFilingRequest);
      bool is_certainly_not_run = true;
      for (std::size_t at = 0; at < fleet.sent_requests.size(); ++at) {
        RC_ASSERT(fleet.sent_requests[at].method != "POST" || is_certainly_not_run);
        const int kind = at < kinds.size() ? kinds[at] : 0;
        const bool is_query = fleet.sent_requests[at].method == "GET";
        is_certainly_not_run = kind == 1 || (!is_query && kind == 4);
      }
    });
  }

  void Revoke_Ticket_PostsToItsPath() {
    scripted_fleet fleet;
    fleet.answers = {
        Answered(409, {{header_names::kOutcome, "not_run"}, {header_names::kCode, "402"}})};
    const call_result result = fleet.Make().Revoke("permit", "t1", milliseconds(100));
    CPPUNIT_ASSERT(std::get<call_not_run>(result).code == result_code::kTicketRevoked);
    CPPUNIT_ASSERT_EQUAL(std::string("/ticket/t1/revoke"), fleet.sent_requests[0].path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_test);

}  // namespace cuminferry
