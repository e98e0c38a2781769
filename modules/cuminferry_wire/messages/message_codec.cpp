#include "cuminferry_wire/messages/message_codec.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <ostream>
#include <streambuf>

#include "cuminferry_wire/messages/bounded_input_archive.h"

namespace cuminferry {

template <typename Archive>
void serialize(Archive& archive, request_id& value) {
  archive(value.high, value.low);
}

template <typename Archive>
void serialize(Archive& archive, endpoint& value) {
  archive(value.address, value.port);
}

template <typename Archive>
void serialize(Archive& archive, hybrid_time& value) {
  archive(value.wall_micros, value.counter);
}

template <typename Archive>
void serialize(Archive& archive, ticket& value) {
  archive(value.home, value.home_incarnation, value.window, value.nonce_high, value.nonce_low);
}

template <typename Archive>
void serialize(Archive& archive, header_field& value) {
  archive(value.name, value.value);
}

template <typename Archive>
void serialize(Archive& archive, load_report& value) {
  archive(value.in_flight, value.limit, value.threshold, value.window, value.draining);
}

template <typename Archive>
void serialize(Archive& archive, hello_message& value) {
  archive(value.instance, value.service, value.failure_domain, value.region, value.listen_address,
          value.incarnation, value.load, value.sent);
}

template <typename Archive>
void serialize(Archive& archive, call_message& value) {
  archive(value.attempt, value.request, value.service, value.method, value.target, value.headers,
          value.time_left_micros, value.rank, value.retries_lent, value.claim, value.body,
          value.chunks_follow, value.sent);
}

template <typename Archive>
void serialize(Archive& archive, reply_message& value) {
  auto outcome = static_cast<std::uint8_t>(value.outcome);
  archive(value.attempt, value.request, outcome, value.code, value.http_status, value.headers,
          value.body, value.body_digest, value.retries_left, value.retry_after_millis, value.load,
          value.sent);
  // An undefined number is read as kUnknown, which makes no statement about the request.
  const bool known = outcome == 1 || outcome == 2;
  value.outcome = known ? static_cast<call_outcome>(outcome) : call_outcome::kUnknown;
}

template <typename Archive>
void serialize(Archive& archive, body_chunk_message& value) {
  archive(value.attempt, value.offset, value.bytes, value.last);
}

template <typename Archive>
void serialize(Archive& archive, body_credit_message& value) {
  archive(value.attempt, value.bytes);
}

template <typename Archive>
void serialize(Archive& archive, cancel_message& value) {
  archive(value.attempt);
}

template <typename Archive>
void serialize(Archive& archive, query_message& value) {
  archive(value.query_id, value.claim, value.revoke);
}

template <typename Archive>
void serialize(Archive& archive, query_reply_message& value) {
  archive(value.query_id, value.state, value.code, value.answer);
}

template <typename Archive>
void serialize(Archive& archive, draining_message& value) {
  archive(value.instance, value.incarnation);
}

template <typename Archive>
void serialize(Archive& archive, heartbeat_message& value) {
  archive(value.heartbeat_number, value.load, value.sent);
}

template <typename Archive>
void serialize(Archive& archive, heartbeat_reply_message& value) {
  archive(value.heartbeat_number, value.load, value.sent);
}

template <typename Archive>
void serialize(Archive& archive, shard_request_message& value) {
  archive(value.service, value.newer_than);
}

template <typename Archive>
void serialize(Archive& archive, shard_reply_message& value) {
  archive(value.service, value.version, value.json);
}

template <typename Archive>
void serialize(Archive& archive, shard_version& value) {
  archive(value.service, value.version, value.digest);
}

template <typename Archive>
void serialize(Archive& archive, gossip_message& value) {
  archive(value.from, value.incarnation, value.table_version, value.fleet_size, value.shards,
          value.wants_answer, value.sent);
}

template <typename Archive>
void serialize(Archive& archive, share_request_message& value) {
  archive(value.request_number, value.row, value.call_count);
}

template <typename Archive>
void serialize(Archive& archive, share_grant_message& value) {
  archive(value.request_number, value.row, value.call_count, value.valid_for_micros);
}

template <typename Archive>
void serialize(Archive& archive, share_return_message& value) {
  archive(value.request_number, value.row, value.call_count);
}

namespace {

// A stream buffer that appends to a string, so that the result need not be copied.
class string_buffer : public std::streambuf {
 public:
  explicit string_buffer(std::string& into) : into_(into) {}

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    into_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }
  int_type overflow(int_type byte) override {
    into_.push_back(static_cast<char>(byte));
    return byte;
  }

 private:
  std::string& into_;
};

}  // namespace

template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::string bytes;
  string_buffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::BinaryOutputArchive archive(stream);
  archive(message);
  return bytes;
}

template <typename Message>
absl::Status DecodeMessage(std::span<const char> bytes, Message& into) {
  bounded_input_archive archive(bytes);
  try {
    archive(into);
  } catch (const std::exception& failure) {
    // cereal reports truncated input only by exceptions.
    return MakeStatus(result_code::kFrameTruncated, failure.what());
  }
  if (archive.remaining_bytes() != 0) {
    return MakeStatus(result_code::kFrameTruncated, "bytes left over after the message");
  }
  return absl::OkStatus();
}

#define CUMINFERRY_CODEC(Message)                              \
  template std::string EncodeMessage<Message>(const Message&); \
  template absl::Status DecodeMessage<Message>(std::span<const char>, Message&);

CUMINFERRY_CODEC(hello_message)
CUMINFERRY_CODEC(call_message)
CUMINFERRY_CODEC(reply_message)
CUMINFERRY_CODEC(body_chunk_message)
CUMINFERRY_CODEC(body_credit_message)
CUMINFERRY_CODEC(cancel_message)
CUMINFERRY_CODEC(query_message)
CUMINFERRY_CODEC(query_reply_message)
CUMINFERRY_CODEC(draining_message)
CUMINFERRY_CODEC(heartbeat_message)
CUMINFERRY_CODEC(heartbeat_reply_message)
CUMINFERRY_CODEC(shard_request_message)
CUMINFERRY_CODEC(shard_reply_message)
CUMINFERRY_CODEC(gossip_message)
CUMINFERRY_CODEC(share_request_message)
CUMINFERRY_CODEC(share_grant_message)
CUMINFERRY_CODEC(share_return_message)

#undef CUMINFERRY_CODEC

}  // namespace cuminferry
