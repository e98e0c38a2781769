#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_wire/cuminferry_wire.h"
#include "support/property.h"

namespace cuminferry {
namespace {

std::span<const char> AsSpan(const std::string& bytes) { return {bytes.data(), bytes.size()}; }

reply_message ReplyWithBody(std::string body) {
  reply_message reply;
  reply.attempt = 7;
  reply.outcome = call_outcome::kCompleted;
  reply.headers = {{"Content-Type", "text/plain"}};
  reply.body = std::move(body);
  return reply;
}

}  // namespace

class frame_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(frame_test);
  CPPUNIT_TEST(Reader_StreamSplitAnywhere_ReturnsWholeFrames);
  CPPUNIT_TEST(Reader_OneByteDamaged_NeverReturnsTheFrame);
  CPPUNIT_TEST(Codec_MessageTruncated_IsRefused);
  CPPUNIT_TEST(Codec_ForgedLength_IsRefusedWithoutAllocating);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Reader_StreamSplitAnywhere_ReturnsWholeFrames() {
    testing::CheckProperty("frames survive any cut", [](const std::vector<std::string>& bodies) {
      std::string stream;
      for (const std::string& body : bodies) {
        stream += FrameOf(ReplyWithBody(body));
      }
      frame_reader reader;
      std::vector<std::string> seen;
      const auto step = *rc::gen::inRange<std::size_t>(1, 64);
      for (std::size_t at = 0; at < stream.size(); at += step) {
        const std::string part = stream.substr(at, step);
        RC_ASSERT(reader
                      .Feed(AsSpan(part),
                            [&](message_type, std::span<const char> payload) {
                              reply_message reply;
                              RC_ASSERT(DecodeMessage(payload, reply).ok());
                              seen.push_back(reply.body);
                            })
                      .ok());
      }
      RC_ASSERT(seen == bodies);
    });
  }

  // Guards against undetected damage in transit, which would show a user wrong data.
  void Reader_OneByteDamaged_NeverReturnsTheFrame() {
    testing::CheckProperty("damage is found", [] {
      std::string frame = FrameOf(ReplyWithBody("permit 4711 granted"));
      const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
      const auto flip = *rc::gen::inRange(1, 256);
      frame[at] = static_cast<char>(frame[at] ^ flip);
      frame_reader reader;
      bool has_frame = false;
      static_cast<void>(reader.Feed(
          AsSpan(frame), [&](message_type, std::span<const char>) { has_frame = true; }));
      RC_ASSERT(!has_frame);
    });
  }

  void Codec_MessageTruncated_IsRefused() {
    const std::string whole = EncodeMessage(ReplyWithBody("answer"));
    for (std::size_t length = 0; length < whole.size(); ++length) {
      reply_message reply;
      const std::string part = whole.substr(0, length);
      CPPUNIT_ASSERT(CodeOf(DecodeMessage(AsSpan(part), reply)) == result_code::kFrameTruncated);
    }
  }

  // Guards against a forged length of many gigabytes. A decoder that allocated it would run out of
  // memory and be killed.
  void Codec_ForgedLength_IsRefusedWithoutAllocating() {
    std::string forged = EncodeMessage(shard_request_message{"permit", 1});
    forged.replace(0, 8, "\xFF\xFF\xFF\xFF\xFF\x00\x00\x00", 8);
    shard_request_message request;
    CPPUNIT_ASSERT(CodeOf(DecodeMessage(AsSpan(forged), request)) == result_code::kFrameTruncated);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

}  // namespace cuminferry
