#include <deque>

#include "cuminferry_caller/cuminferry_caller.h"
#include "support/property.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

transport_answer Answered(int status, std::vector<http_header> headers, std::string body = {}) {
  return {transport_end::kAnswered, status, std::move(headers), std::move(body)};
}

transport_answer Completed(std::string body, int status = 200) {
  return Answered(status, {{header_names::kEnd, "completed"}}, std::move(body));
}

transport_answer Refused(int retry_after_ms) {
  return Answered(503, {{header_names::kEnd, "not_run"},
                        {header_names::kCode, "300"},
                        {"cuminferry-retry-after-ms", std::to_string(retry_after_ms)}});
}

transport_answer Doubtful(const std::string& ticket, int code = 311) {
  return Answered(504, {{header_names::kEnd, "unknown"},
                        {header_names::kCode, std::to_string(code)},
                        {header_names::kTicket, ticket}});
}

transport_answer Lost() { return {transport_end::kNoAnswer, 0, {}, {}}; }

// A transport that answers from a list, in virtual time.
class scripted_fleet {
 public:
  std::deque<transport_answer> answers;
  std::vector<transport_request> seen;
  instant now = FromMicros(0);
  std::vector<endpoint> nodes = {{0x7F000001, 1}, {0x7F000001, 2}, {0x7F000001, 3}};
  retry_manners manners;

  caller Make() {
    auto made =
        caller::builder()
            .WithNodes(nodes)
            .WithSeed(7)
            .WithManners(manners)
            .WithClock([this] { return now; }, [this](duration time) { now += time; })
            .WithTransport([this](const transport_request& request) { return Answer(request); })
            .Build();
    CPPUNIT_ASSERT(made.ok());
    return *std::move(made);
  }

  std::size_t CountOf(std::string_view method) const {
    return static_cast<std::size_t>(
        std::count_if(seen.begin(), seen.end(),
                      [&](const transport_request& one) { return one.method == method; }));
  }

 private:
  transport_answer Answer(const transport_request& request) {
    seen.push_back(request);
    now += milliseconds(1);
    if (answers.empty()) {
      return Lost();
    }
    transport_answer answer = std::move(answers.front());
    answers.pop_front();
    return answer;
  }
};

const call_request kMap{.service = "map", .path = "/map/parcels/7"};
const call_request kPermit{
    .service = "permit", .method = "POST", .path = "/permits", .body = "draw", .idempotent = false};

}  // namespace

class caller_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_test);
  CPPUNIT_TEST(Builder_WithoutNodes_IsRefused);
  CPPUNIT_TEST(Call_Completed_GivesTheWholeAnswer);
  CPPUNIT_TEST(Call_Refused_ComesBackWhenAsked);
  CPPUNIT_TEST(Call_RefusedPastItsTime_EndsAtOnceWithRetryAfter);
  CPPUNIT_TEST(Call_NodeOutOfReach_TriesAnotherNode);
  CPPUNIT_TEST(Filing_LostWithoutTicket_IsUnknownAndNotSentAgain);
  CPPUNIT_TEST(Filing_DoubtfulWithTicket_AsksUntilItIsCertain);
  CPPUNIT_TEST(Filing_TicketNeverRan_IsFiledAfresh);
  CPPUNIT_TEST(Filing_TicketHomeGone_StaysUnknownWithItsTicket);
  CPPUNIT_TEST(Filing_AnyScheduleOfAnswers_IsNeverSentAfterDoubt);
  CPPUNIT_TEST(Revoke_Ticket_PostsToItsPath);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Builder_WithoutNodes_IsRefused() {
    const auto made = caller::builder().Build();
    CPPUNIT_ASSERT(CodeOf(made.status()) == result_code::kSettingsMissingKey);
  }

  void Call_Completed_GivesTheWholeAnswer() {
    scripted_fleet fleet;
    fleet.answers = {Completed("map of parcel 7")};
    const call_result result = fleet.Make().Call(kMap);
    CPPUNIT_ASSERT_EQUAL(std::string("map of parcel 7"), std::get<completed_call>(result).body);
    CPPUNIT_ASSERT(NameOf(result) == "completed");
  }

  // A surge makes a node refuse and say when to come back. A caller that comes
  // back sooner deepens the surge; the farmer waits longer for the map.
  void Call_Refused_ComesBackWhenAsked() {
    scripted_fleet fleet;
    fleet.answers = {Refused(700), Completed("map")};
    const call_result result = fleet.Make().Call(kMap);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT(fleet.now >= FromMicros(700'000));
  }

  // The refusal asks for more patience than the call has. Sleeping on and failing
  // at the deadline would keep the farmer waiting for nothing.
  void Call_RefusedPastItsTime_EndsAtOnceWithRetryAfter() {
    scripted_fleet fleet;
    fleet.answers = {Refused(60'000)};
    const call_result result = fleet.Make().Call(kMap);
    CPPUNIT_ASSERT(std::get<call_not_run>(result).retry_after == milliseconds(60'000));
    CPPUNIT_ASSERT(fleet.now < FromMicros(10'000));
  }

  // An instance was replaced and its address is dead. The caller sees a refused
  // connect; another node serves the same request.
  void Call_NodeOutOfReach_TriesAnotherNode() {
    scripted_fleet fleet;
    fleet.answers = {{transport_end::kNotConnected, 0, {}, {}}, Completed("map")};
    const call_result result = fleet.Make().Call(kMap);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT(fleet.seen[0].to != fleet.seen[1].to);
  }

  // The connection breaks after the filing was sent. Whether it was filed can't
  // be known, and a second filing would show the authority a double draw.
  void Filing_LostWithoutTicket_IsUnknownAndNotSentAgain() {
    scripted_fleet fleet;
    fleet.answers = {Lost(), Completed("filed")};
    const call_result result = fleet.Make().Call(kPermit);
    CPPUNIT_ASSERT(std::get<call_unknown>(result).ticket.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.seen.size());
    CPPUNIT_ASSERT(fleet.seen[0].on_new_connection);
  }

  // The node lost sight of the filing but named its ticket. Asking about the
  // ticket turns the doubt into the answer, without a second filing.
  void Filing_DoubtfulWithTicket_AsksUntilItIsCertain() {
    scripted_fleet fleet;
    fleet.answers = {Doubtful("t1"), Doubtful("t1", 403), Completed("filed")};
    const call_result result = fleet.Make().Call(kPermit);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), std::get<completed_call>(result).body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.CountOf("POST"));
    CPPUNIT_ASSERT_EQUAL(std::string("/ticket/t1"), fleet.seen.back().path);
  }

  void Filing_TicketNeverRan_IsFiledAfresh() {
    scripted_fleet fleet;
    fleet.answers = {Doubtful("t1"), Refused(0), Completed("filed")};
    const call_result result = fleet.Make().Call(kPermit);
    CPPUNIT_ASSERT(std::holds_alternative<completed_call>(result));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.CountOf("POST"));
  }

  // The instance that holds the ticket has died. The farmer is told that it is
  // unknown and gets the ticket, not a guess.
  void Filing_TicketHomeGone_StaysUnknownWithItsTicket() {
    scripted_fleet fleet;
    fleet.answers = {Doubtful("t1")};
    const call_result result = fleet.Make().Call(kPermit);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), std::get<call_unknown>(result).ticket);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.CountOf("POST"));
    CPPUNIT_ASSERT(fleet.now <= FromMicros(5'100'000));
  }

  // Answers are lost, late, refused and doubtful in any order. Whatever comes, a
  // filing goes out again only when the fleet has said that the last one never ran.
  void Filing_AnyScheduleOfAnswers_IsNeverSentAfterDoubt() {
    testing::CheckProperty("a filing is sent again only after not_run", [] {
      scripted_fleet fleet;
      fleet.manners.attempts = 8;
      const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
      for (const int kind : kinds) {
        const transport_answer choices[] = {Lost(),
                                            Refused(5),
                                            Doubtful("t"),
                                            Doubtful("t", 403),
                                            {transport_end::kNotConnected, 0, {}, {}}};
        fleet.answers.push_back(choices[kind]);
      }
      fleet.Make().Call(kPermit);
      bool certain = true;
      for (std::size_t at = 0; at < fleet.seen.size(); ++at) {
        RC_ASSERT(fleet.seen[at].method != "POST" || certain);
        const int kind = at < kinds.size() ? kinds[at] : 0;
        const bool question = fleet.seen[at].method == "GET";
        certain = kind == 1 || (!question && kind == 4);
      }
    });
  }

  void Revoke_Ticket_PostsToItsPath() {
    scripted_fleet fleet;
    fleet.answers = {
        Answered(409, {{header_names::kEnd, "not_run"}, {header_names::kCode, "402"}})};
    const call_result result = fleet.Make().Revoke("permit", "t1", milliseconds(100));
    CPPUNIT_ASSERT(std::get<call_not_run>(result).code == result_code::kTicketRevoked);
    CPPUNIT_ASSERT_EQUAL(std::string("/ticket/t1/revoke"), fleet.seen[0].path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_test);

}  // namespace cuminferry
