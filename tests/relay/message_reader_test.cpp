#include "cuminferry_relay/http/message_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_core/cuminferry_core.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr std::size_t kLargestHead = 1024;

struct read_message {
  http_head head;
  std::string body;
  bool whole = false;
};

/** Reads text piece by piece and keeps what comes out. */
class collector {
 public:
  explicit collector(message_reader::kind kind)
      : reader_(kind, kLargestHead,
                {.on_head =
                     [this](http_head head) {
                       messages.emplace_back();
                       messages.back().head = std::move(head);
                     },
                 .on_body = [this](std::string_view bytes) { messages.back().body += bytes; },
                 .on_message_end = [this] { messages.back().whole = true; }}) {}

  /** Whether all bytes were accepted. */
  bool Read(std::string_view text) {
    while (!text.empty()) {
      const auto taken = reader_.Read(text);
      if (!taken.ok()) {
        return false;
      }
      text.remove_prefix(*taken);
    }
    return true;
  }

  message_reader& reader() { return reader_; }

  std::vector<read_message> messages;

 private:
  message_reader reader_;
};

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 7\r\n\r\n"
    "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

}  // namespace

class message_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_reader_test);
  CPPUNIT_TEST(Read_AnyPieces_SameMessage);
  CPPUNIT_TEST(Read_CutAnywhere_IsNeverWhole);
  CPPUNIT_TEST(Read_TwoRequests_StopsBetweenThem);
  CPPUNIT_TEST(Read_LengthBesideChunked_IsRefused);
  CPPUNIT_TEST(Read_LargeHead_IsRefusedAndSaysWhy);
  CPPUNIT_TEST(Read_InterimAnswer_WaitsForTheFinalOne);
  CPPUNIT_TEST(Read_AnswerToHead_HasNoBody);
  CPPUNIT_TEST(ReadEnd_BodyUntilClose_IsWhole);
  CPPUNIT_TEST(ReadEnd_WithinALength_Fails);
  CPPUNIT_TEST(Read_NotHttp_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Read_AnyPieces_SameMessage() {
    CheckProperty("pieces don't change a message", [](std::uint64_t seed) {
      random_source random(seed);
      collector read(message_reader::kind::kResponses);
      std::string_view left = kChunked;
      while (!left.empty()) {
        const std::size_t piece = 1 + random.Below(left.size());
        RC_ASSERT(read.Read(left.substr(0, piece)));
        left.remove_prefix(piece);
      }
      RC_ASSERT(read.messages.size() == 1U);
      RC_ASSERT(read.messages[0].whole);
      RC_ASSERT(read.messages[0].body == "hello world");
    });
  }

  // A backend server breaks off its answer. A client that takes the half for the whole sees a
  // map with regions missing.
  void Read_CutAnywhere_IsNeverWhole() {
    const std::string_view text = kChunked;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      collector read(message_reader::kind::kResponses);
      CPPUNIT_ASSERT(read.Read(text.substr(0, cut)));
      CPPUNIT_ASSERT(!read.reader().ReadEnd().ok());
      CPPUNIT_ASSERT(read.messages.empty() || !read.messages[0].whole);
    }
  }

  void Read_TwoRequests_StopsBetweenThem() {
    collector read(message_reader::kind::kRequests);
    const std::string_view two =
        "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto taken = read.reader().Read(two);
    CPPUNIT_ASSERT(taken.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.messages.size());
    CPPUNIT_ASSERT(read.Read(two.substr(*taken)));
    CPPUNIT_ASSERT_EQUAL(std::string("/b/"), read.messages[1].head.target);
  }

  // Two readers that disagree on where a body ends let one request hide within another.
  void Read_LengthBesideChunked_IsRefused() {
    collector read(message_reader::kind::kRequests);
    CPPUNIT_ASSERT(
        !read.Read("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  }

  void Read_LargeHead_IsRefusedAndSaysWhy() {
    collector read(message_reader::kind::kRequests);
    CPPUNIT_ASSERT(!read.Read("GET /a/ HTTP/1.1\r\nX: " + std::string(2 * kLargestHead, 'x')));
    CPPUNIT_ASSERT(read.reader().head_too_large());
  }

  void Read_InterimAnswer_WaitsForTheFinalOne() {
    collector read(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(
        read.Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.messages.size());
    CPPUNIT_ASSERT_EQUAL(200, read.messages[0].head.status);
    CPPUNIT_ASSERT(read.messages[0].whole);
  }

  void Read_AnswerToHead_HasNoBody() {
    collector read(message_reader::kind::kResponses);
    read.reader().ExpectNoBody(true);
    CPPUNIT_ASSERT(read.Read("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"));
    CPPUNIT_ASSERT(read.messages[0].whole);
  }

  void ReadEnd_BodyUntilClose_IsWhole() {
    collector read(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(read.Read("HTTP/1.1 200 OK\r\n\r\nall of it"));
    CPPUNIT_ASSERT(read.messages[0].head.framing == body_framing::kUntilClose);
    CPPUNIT_ASSERT(read.reader().ReadEnd().ok());
    CPPUNIT_ASSERT(read.messages[0].whole);
  }

  void ReadEnd_WithinALength_Fails() {
    collector read(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(read.Read("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    CPPUNIT_ASSERT(!read.reader().ReadEnd().ok());
  }

  void Read_NotHttp_IsRefused() {
    collector read(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(!read.Read("\x16\x03\x01 something else"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_reader_test);

}  // namespace cuminferry::testing
