#include "fuzz/fuzz_entries.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_node/runtime/http_replies.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"
#include "cuminferry_wire/messages/message_codec.h"

namespace cuminferry::testing {
namespace {

/** Aborts where a condition does not hold. Unlike assert(), it works in all builds. */
void Require(bool holds, const char* violation) {
  if (!holds) {
    std::fprintf(stderr, "fuzzing: %s\n", violation);
    std::abort();
  }
}

std::string_view TextOf(std::span<const char> bytes) { return {bytes.data(), bytes.size()}; }

/** Checks that a decoded message has one encoding, of the same length as the input. The bytes may
    differ: an outcome of a reply that is not an enumerator is decoded as "unknown". */
template <typename Message>
void ReadMessage(std::span<const char> payload) {
  Message read;
  if (!DecodeMessage(payload, read).ok()) {
    return;
  }
  const std::string encoded = EncodeMessage(read);
  Require(encoded.size() == payload.size(), "a message changes its length");
  Message decoded_again;
  Require(DecodeMessage(encoded, decoded_again).ok() && EncodeMessage(decoded_again) == encoded,
          "a message does not survive its own form");
}

void ReadMessage(message_type type, std::span<const char> payload) {
  switch (type) {
    case message_type::kHello:
      return ReadMessage<hello_message>(payload);
    case message_type::kCall:
      return ReadMessage<call_message>(payload);
    case message_type::kReply:
      return ReadMessage<reply_message>(payload);
    case message_type::kBodyChunk:
      return ReadMessage<body_chunk_message>(payload);
    case message_type::kBodyCredit:
      return ReadMessage<body_credit_message>(payload);
    case message_type::kCancel:
      return ReadMessage<cancel_message>(payload);
    case message_type::kQuery:
      return ReadMessage<query_message>(payload);
    case message_type::kQueryReply:
      return ReadMessage<query_reply_message>(payload);
    case message_type::kDraining:
      return ReadMessage<draining_message>(payload);
    case message_type::kHeartbeat:
      return ReadMessage<heartbeat_message>(payload);
    case message_type::kHeartbeatReply:
      return ReadMessage<heartbeat_reply_message>(payload);
    case message_type::kShardRequest:
      return ReadMessage<shard_request_message>(payload);
    case message_type::kShardReply:
      return ReadMessage<shard_reply_message>(payload);
    case message_type::kGossip:
      return ReadMessage<gossip_message>(payload);
    case message_type::kShareRequest:
      return ReadMessage<share_request_message>(payload);
    case message_type::kShareGrant:
      return ReadMessage<share_grant_message>(payload);
    case message_type::kShareReturn:
      return ReadMessage<share_return_message>(payload);
  }
}

}  // namespace

void FuzzFrames(std::span<const char> bytes) {
  frame_reader reader;
  // The first byte determines where the input is split, as a connection may split a stream at any
  // byte.
  const std::size_t cut =
      bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front()) % bytes.size();
  for (const auto part : {bytes.first(cut), bytes.subspan(cut)}) {
    static_cast<void>(reader.Feed(part, [](message_type type, std::span<const char> payload) {
      ReadMessage(type, payload);
    }));
  }
  message_type type{};
  std::span<const char> payload;
  if (DecodeDatagram(bytes, type, payload).ok()) {
    Require(EncodeFrame(type, TextOf(payload)) == TextOf(bytes), "a frame has two forms");
  }
}

void FuzzMessages(std::span<const char> bytes) {
  if (!bytes.empty()) {
    ReadMessage(static_cast<message_type>(bytes.front()), bytes.subspan(1));
  }
}

void FuzzTable(std::span<const char> bytes) {
  const auto table = policy_table::Parse(TextOf(bytes));
  if (table.ok()) {
    const auto decoded_again = policy_table::Parse(table->ToJson());
    Require(decoded_again.ok() && *decoded_again == *table,
            "a table does not survive its own text");
  }
  const auto shard = ParseShard(TextOf(bytes));
  if (shard.ok()) {
    const auto decoded_again = ParseShard(ShardToJson(*shard));
    Require(decoded_again.ok() && ShardDigest(*decoded_again) == ShardDigest(*shard),
            "a shard does not survive its own text");
  }
}

void FuzzSettings(std::span<const char> bytes) {
  static_cast<void>(node_settings::Parse(TextOf(bytes)));
}

void FuzzPublished(std::span<const char> bytes) {
  static_cast<void>(published_index::Parse(TextOf(bytes)));
  static_cast<void>(published_instances::Parse(TextOf(bytes)));
}

void FuzzHeaders(std::span<const char> bytes) {
  const std::string_view text = TextOf(bytes);
  claim_ticket ticket;
  if (ticket_text::Read(text, ticket)) {
    Require(ticket_text::Write(ticket) == text, "a ticket has two texts");
  }
  endpoint read;
  static_cast<void>(endpoint::Parse(std::string(text), read));
  http_request request;
  const std::size_t middle = text.size() / 2;
  request.headers = {{header_names::kTimeLeft, std::string(text)},
                     {std::string(text.substr(0, middle)), std::string(text.substr(middle))}};
  const instant now = FromMicros(0);
  const instant longest = now + std::chrono::hours(1);
  instant until;
  if (ReadTimeLeft(request, now, longest, until)) {
    Require(until >= now && until <= longest, "a deadline out of bounds");
  }
  static_cast<void>(HeadersToForward(request.headers));
}

}  // namespace cuminferry::testing
