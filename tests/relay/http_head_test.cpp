#include "cuminferry_relay/http/http_head.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_relay/path/answer_check.h"

namespace cuminferry::testing {

class http_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_head_test);
  CPPUNIT_TEST(RemoveConnectionFields_ListedInConnection_IsRemoved);
  CPPUNIT_TEST(Set_SeveralFieldsOfOneName_LeavesOne);
  CPPUNIT_TEST(ToRequestText_LengthFraming_HasContentLength);
  CPPUNIT_TEST(ToResponseText_Close_HasConnectionClose);
  CPPUNIT_TEST(ParseDecimal_NotAnInteger_ReturnsNullopt);
  CPPUNIT_TEST(ParseTime_AnyNumber_IsBounded);
  CPPUNIT_TEST(RepeatReport_AsText_IsReadAgain);
  CPPUNIT_TEST(InvalidAnswer_OfABackendServer_IsToldApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RemoveConnectionFields_ListedInConnection_IsRemoved() {
    http_head head;
    head.fields = {{"Connection", "close, X-Own"},
                   {"x-own", "1"},
                   {"Keep-Alive", "timeout=5"},
                   {"Transfer-Encoding", "chunked"},
                   {"Accept", "*/*"}};
    head.RemoveConnectionFields();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("Accept"), head.fields[0].first);
  }

  // Guards against forged caller fields. A client sends the field itself, twice; the backend server
  // must receive only the value that the node sets.
  void Set_SeveralFieldsOfOneName_LeavesOne() {
    http_head head;
    head.fields = {{"Caller", "forged"}, {"CALLER", "forged too"}};
    head.Set("caller", "true");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("true"), *head.Find("Caller"));
  }

  // Guards against a deadline or an idle time that becomes negative once it is counted in
  // microseconds.
  void ParseTime_AnyNumber_IsBounded() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    CPPUNIT_ASSERT(ParseTime("1500", milliseconds(1)) == duration(milliseconds(1'500)));
    CPPUNIT_ASSERT(ParseTime("0", seconds(1)) == duration::zero());
    CPPUNIT_ASSERT(ParseTime("-3", seconds(1)) == duration::zero());
    CPPUNIT_ASSERT(ParseTime("9223372036854775807", milliseconds(1)) == kMaxStatedTime);
    CPPUNIT_ASSERT(ParseTime("99999999999999", seconds(1)) == kMaxStatedTime);
    for (const char* text : {"", "1.5", "x", "99999999999999999999"}) {
      CPPUNIT_ASSERT(!ParseTime(text, seconds(1)));
    }
  }

  void ToRequestText_LengthFraming_HasContentLength() {
    http_head head;
    head.method = "POST";
    head.target = "/a/";
    head.framing = body_framing::kLength;
    head.length = 12;
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a/ HTTP/1.1\r\nContent-Length: 12\r\n\r\n"),
                         head.ToRequestText());
  }

  void ToResponseText_Close_HasConnectionClose() {
    http_head head;
    head.status = 200;
    head.reason = "OK";
    head.framing = body_framing::kChunked;
    CPPUNIT_ASSERT_EQUAL(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"),
        head.ToResponseText(true));
  }

  void ParseDecimal_NotAnInteger_ReturnsNullopt() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4999}, *ParseDecimal("4999"));
    for (const char* text : {"", " 1", "1 ", "1.5", "0x1", "1,2"}) {
      CPPUNIT_ASSERT(!ParseDecimal(text));
    }
  }

  void RepeatReport_AsText_IsReadAgain() {
    const repeat_report scarce{.repeated_share = 0.125, .callee_shortage = true};
    const auto read = repeat_report::Parse(scarce.ToText());
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.125, read->repeated_share, 1e-9);
    CPPUNIT_ASSERT(read->callee_shortage && read->is_scarce());
    CPPUNIT_ASSERT(!repeat_report().is_scarce());
    CPPUNIT_ASSERT(!repeat_report::Parse("much"));
    CPPUNIT_ASSERT(!repeat_report::Parse("125"));
  }

  // Guards against a success that no backend server gave, and against repeating what has run.
  void InvalidAnswer_OfABackendServer_IsToldApart() {
    const relay_header_names names{.request_id = "Id",
                                   .deadline = "Deadline",
                                   .expected_instance = "Instance",
                                   .caller_service = "Caller",
                                   .not_executed = "Not-Run",
                                   .signature = "Signature",
                                   .customer = "Customer"};
    http_head answer;
    answer.status = 200;
    answer.Set("Id", "1");
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, true) == relay_outcome::kDamaged);
    answer.Set("Signature", "signed");
    CPPUNIT_ASSERT(!InvalidAnswerOutcome(answer, names, true));
    answer.Set("Content-Encoding", "gzip");
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, true) == relay_outcome::kDamaged);
    answer.Set("Not-Run", "1");
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, true) == relay_outcome::kTurnedAway);
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, false) == relay_outcome::kTurnedAway);
    answer.Remove("Id");
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, true) == relay_outcome::kTurnedAway);
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, false) == relay_outcome::kDamaged);
    answer.status = 421;
    CPPUNIT_ASSERT(InvalidAnswerOutcome(answer, names, true) == relay_outcome::kOtherInstance);
    http_head failure;
    failure.status = 500;
    failure.Set("Id", "1");
    CPPUNIT_ASSERT(!InvalidAnswerOutcome(failure, names, true));
    failure.Remove("Id");
    CPPUNIT_ASSERT(InvalidAnswerOutcome(failure, names, true) == relay_outcome::kDamaged);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_head_test);

}  // namespace cuminferry::testing
