#include "cuminferry_relay/http/http_head.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cuminferry::testing {

class http_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_head_test);
  CPPUNIT_TEST(RemoveConnectionFields_NamedByConnection_GoesToo);
  CPPUNIT_TEST(Set_SeveralOfOneName_LeavesOne);
  CPPUNIT_TEST(ToRequestText_Length_FramesTheBody);
  CPPUNIT_TEST(ToResponseText_Close_SaysSo);
  CPPUNIT_TEST(ParseDecimal_AnythingElse_IsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RemoveConnectionFields_NamedByConnection_GoesToo() {
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

  // A client sends the caller's name itself, twice. The backend server must see the node's word.
  void Set_SeveralOfOneName_LeavesOne() {
    http_head head;
    head.fields = {{"Caller", "forged"}, {"CALLER", "forged too"}};
    head.Set("caller", "true");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("true"), *head.Find("Caller"));
  }

  void ToRequestText_Length_FramesTheBody() {
    http_head head;
    head.method = "POST";
    head.target = "/a/";
    head.framing = body_framing::kLength;
    head.length = 12;
    CPPUNIT_ASSERT_EQUAL(std::string("POST /a/ HTTP/1.1\r\nContent-Length: 12\r\n\r\n"),
                         head.ToRequestText());
  }

  void ToResponseText_Close_SaysSo() {
    http_head head;
    head.status = 200;
    head.reason = "OK";
    head.framing = body_framing::kChunked;
    CPPUNIT_ASSERT_EQUAL(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"),
        head.ToResponseText(true));
  }

  void ParseDecimal_AnythingElse_IsNone() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4999}, *ParseDecimal("4999"));
    for (const char* text : {"", " 1", "1 ", "1.5", "0x1", "1,2"}) {
      CPPUNIT_ASSERT(!ParseDecimal(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_head_test);

}  // namespace cuminferry::testing
