#include "cuminferry_relay/http/message_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_core/cuminferry_core.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr std::size_t kMaxHeadBytes = 1024;

struct parsed_message {
  http_head head;
  std::string body;
  bool complete = false;
};

/** Parses text piece by piece and collects the messages. */
class message_collector {
 public:
  explicit message_collector(message_reader::kind kind)
      : reader_(kind, kMaxHeadBytes,
                {.on_head =
                     [this](http_head head) {
                       messages.emplace_back();
                       messages.back().head = std::move(head);
                     },
                 .on_body = [this](std::string_view bytes) { messages.back().body += bytes; },
                 .on_message_end = [this] { messages.back().complete = true; }}) {}

  /** Parses the text and returns whether all of it was valid. */
  bool Read(std::string_view text) {
    while (!text.empty()) {
      const auto parsed = reader_.Read(text);
      if (!parsed.ok()) {
        return false;
      }
      text.remove_prefix(*parsed);
    }
    return true;
  }

  message_reader& reader() { return reader_; }

  std::vector<parsed_message> messages;

 private:
  message_reader reader_;
};

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 7\r\n\r\n"
    "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

}  // namespace

class message_reader_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_reader_test);
  CPPUNIT_TEST(Read_AnySplit_SameMessage);
  CPPUNIT_TEST(Read_DamagedAnywhere_SameVerdictInAnySplit);
  CPPUNIT_TEST(Read_TruncatedAnywhere_IsNeverComplete);
  CPPUNIT_TEST(Read_TwoRequests_StopsBetweenThem);
  CPPUNIT_TEST(Read_LengthAndChunked_IsRejected);
  CPPUNIT_TEST(Read_LargeHead_IsRejectedAsTooLarge);
  CPPUNIT_TEST(Read_HeadOfEmptyFields_IsRejectedAsTooLarge);
  CPPUNIT_TEST(Read_InterimAnswer_WaitsForTheFinalOne);
  CPPUNIT_TEST(Read_AnswerToHead_HasNoBody);
  CPPUNIT_TEST(ReadEnd_BodyUntilClose_IsComplete);
  CPPUNIT_TEST(ReadEnd_BodyShorterThanLength_Fails);
  CPPUNIT_TEST(Read_NotHttp_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Read_AnySplit_SameMessage() {
    CheckProperty("pieces don't change a message", [](std::uint64_t seed) {
      random_source random(seed);
      message_collector collected(message_reader::kind::kResponses);
      std::string_view remaining = kChunked;
      while (!remaining.empty()) {
        const std::size_t piece_size = 1 + random.Below(remaining.size());
        RC_ASSERT(collected.Read(remaining.substr(0, piece_size)));
        remaining.remove_prefix(piece_size);
      }
      RC_ASSERT(collected.messages.size() == 1U);
      RC_ASSERT(collected.messages[0].complete);
      RC_ASSERT(collected.messages[0].body == "hello world");
    });
  }

  // Guards against an answer that is broken or not by how the network has cut it into pieces.
  void Read_DamagedAnywhere_SameVerdictInAnySplit() {
    CheckProperty("pieces don't change whether an answer is allowed", [](std::uint64_t seed) {
      random_source random(seed);
      std::string text = std::string("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n") + kChunked;
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
      message_collector at_once(message_reader::kind::kResponses);
      const bool is_allowed = at_once.Read(text);
      message_collector in_pieces(message_reader::kind::kResponses);
      bool are_allowed = true;
      for (std::string_view rest = text; !rest.empty() && are_allowed;) {
        const std::string_view piece = rest.substr(0, 1 + random.Below(rest.size()));
        are_allowed = in_pieces.Read(piece);
        rest.remove_prefix(piece.size());
      }
      RC_ASSERT(is_allowed == are_allowed);
      RC_ASSERT(at_once.messages.size() == in_pieces.messages.size());
      if (is_allowed && !at_once.messages.empty()) {
        RC_ASSERT(at_once.messages[0].body == in_pieces.messages[0].body);
      }
    });
  }

  // Guards against truncated answers being taken for complete ones. A backend server closes the
  // connection in the middle of an answer, and a client would show a map with regions missing.
  void Read_TruncatedAnywhere_IsNeverComplete() {
    const std::string_view text = kChunked;
    for (std::size_t length = 1; length < text.size(); ++length) {
      message_collector collected(message_reader::kind::kResponses);
      CPPUNIT_ASSERT(collected.Read(text.substr(0, length)));
      CPPUNIT_ASSERT(!collected.reader().ReadEnd().ok());
      CPPUNIT_ASSERT(collected.messages.empty() || !collected.messages[0].complete);
    }
  }

  void Read_TwoRequests_StopsBetweenThem() {
    message_collector collected(message_reader::kind::kRequests);
    const std::string_view text =
        "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto parsed = collected.reader().Read(text);
    CPPUNIT_ASSERT(parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collected.messages.size());
    CPPUNIT_ASSERT(collected.Read(text.substr(*parsed)));
    CPPUNIT_ASSERT_EQUAL(std::string("/b/"), collected.messages[1].head.target);
  }

  // Guards against request smuggling. If two parsers disagree on where a body ends, one request can
  // be hidden within another.
  void Read_LengthAndChunked_IsRejected() {
    message_collector collected(message_reader::kind::kRequests);
    CPPUNIT_ASSERT(
        !collected.Read("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  }

  void Read_LargeHead_IsRejectedAsTooLarge() {
    message_collector collected(message_reader::kind::kRequests);
    CPPUNIT_ASSERT(
        !collected.Read("GET /a/ HTTP/1.1\r\nX: " + std::string(2 * kMaxHeadBytes, 'x')));
    CPPUNIT_ASSERT(collected.reader().head_too_large());
  }

  // Guards against a head that takes 64 times its size in memory: each of its fields is one byte.
  void Read_HeadOfEmptyFields_IsRejectedAsTooLarge() {
    for (const auto& [kind, first_line] :
         {std::pair(message_reader::kind::kRequests, "GET / HTTP/1.1\r\n"),
          std::pair(message_reader::kind::kResponses, "HTTP/1.1 200 OK\r\n")}) {
      message_collector collector(kind);
      std::string text = first_line;
      for (std::size_t i = 0; i < kMaxHeadBytes / 2; ++i) {
        text += "a:\r\n";
      }
      CPPUNIT_ASSERT(!collector.Read(text + "\r\n"));
      CPPUNIT_ASSERT(collector.reader().head_too_large());
    }
  }

  void Read_InterimAnswer_WaitsForTheFinalOne() {
    message_collector collected(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(collected.Read(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collected.messages.size());
    CPPUNIT_ASSERT_EQUAL(200, collected.messages[0].head.status);
    CPPUNIT_ASSERT(collected.messages[0].complete);
  }

  void Read_AnswerToHead_HasNoBody() {
    message_collector collected(message_reader::kind::kResponses);
    collected.reader().ExpectNoBody(true);
    CPPUNIT_ASSERT(collected.Read("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"));
    CPPUNIT_ASSERT(collected.messages[0].complete);
  }

  void ReadEnd_BodyUntilClose_IsComplete() {
    message_collector collected(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(collected.Read("HTTP/1.1 200 OK\r\n\r\nall of it"));
    CPPUNIT_ASSERT(collected.messages[0].head.framing == body_framing::kUntilClose);
    CPPUNIT_ASSERT(collected.reader().ReadEnd().ok());
    CPPUNIT_ASSERT(collected.messages[0].complete);
  }

  void ReadEnd_BodyShorterThanLength_Fails() {
    message_collector collected(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(collected.Read("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    CPPUNIT_ASSERT(!collected.reader().ReadEnd().ok());
  }

  void Read_NotHttp_IsRejected() {
    message_collector collected(message_reader::kind::kResponses);
    CPPUNIT_ASSERT(!collected.Read("\x16\x03\x01 something else"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_reader_test);

}  // namespace cuminferry::testing
