#pragma once

#include <absl/status/status.h>

#include <span>
#include <string>

#include "cuminferry_wire/messages/messages.h"

namespace cuminferry {

/** The message type of a message struct. */
template <typename Message>
constexpr message_type kTypeOf{};
template <>
inline constexpr message_type kTypeOf<hello_message> = message_type::kHello;
template <>
inline constexpr message_type kTypeOf<call_message> = message_type::kCall;
template <>
inline constexpr message_type kTypeOf<reply_message> = message_type::kReply;
template <>
inline constexpr message_type kTypeOf<body_chunk_message> = message_type::kBodyChunk;
template <>
inline constexpr message_type kTypeOf<body_credit_message> = message_type::kBodyCredit;
template <>
inline constexpr message_type kTypeOf<cancel_message> = message_type::kCancel;
template <>
inline constexpr message_type kTypeOf<query_message> = message_type::kQuery;
template <>
inline constexpr message_type kTypeOf<query_reply_message> = message_type::kQueryReply;
template <>
inline constexpr message_type kTypeOf<draining_message> = message_type::kDraining;
template <>
inline constexpr message_type kTypeOf<heartbeat_message> = message_type::kHeartbeat;
template <>
inline constexpr message_type kTypeOf<heartbeat_reply_message> = message_type::kHeartbeatReply;
template <>
inline constexpr message_type kTypeOf<shard_request_message> = message_type::kShardRequest;
template <>
inline constexpr message_type kTypeOf<shard_reply_message> = message_type::kShardReply;
template <>
inline constexpr message_type kTypeOf<gossip_message> = message_type::kGossip;
template <>
inline constexpr message_type kTypeOf<share_request_message> = message_type::kShareRequest;
template <>
inline constexpr message_type kTypeOf<share_grant_message> = message_type::kShareGrant;
template <>
inline constexpr message_type kTypeOf<share_return_message> = message_type::kShareReturn;

/** Returns the binary encoding of a message, without its frame. */
template <typename Message>
std::string EncodeMessage(const Message& message);

/** Decodes a message from its binary encoding. Fails with kFrameTruncated if the bytes end early,
    state a length beyond their end, or continue after the message. */
template <typename Message>
absl::Status DecodeMessage(std::span<const char> bytes, Message& into);

}  // namespace cuminferry
