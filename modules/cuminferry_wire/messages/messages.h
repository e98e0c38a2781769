#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The type of a message, as its frame names it. Numbers never change. */
enum class message_type : std::uint8_t {
  kHello = 1,
  kCall = 2,
  kReply = 3,
  kBodyChunk = 4,
  kBodyCredit = 5,
  kCancel = 6,
  kAsk = 7,
  kAskReply = 8,
  kLeaving = 9,
  kHeartbeat = 10,
  kHeartbeatReply = 11,
  kShardRequest = 12,
  kShardReply = 13,
  kGossip = 14,
  kShareRequest = 15,
  kShareGrant = 16,
  kShareReturn = 17,
};

/** How a call ended. There is no fourth end. */
enum class call_end : std::uint8_t {
  kCompleted = 1,  ///< the backend server answered, well or badly; this is its answer
  kNotRun = 2,     ///< it did not run and never will
  kUnknown = 3,    ///< it may have run
};

/** A non-idempotent call's binding to one instance, incarnation and claim
    window. Made by the sender without a round trip. */
struct ticket {
  endpoint home;
  incarnation_id home_incarnation = 0;
  std::uint32_t window = 0;
  std::uint64_t nonce_high = 0;
  std::uint64_t nonce_low = 0;

  auto operator<=>(const ticket&) const = default;
  bool empty() const { return home_incarnation == 0; }
};

/** One HTTP header that is passed on. */
struct header_field {
  std::string name;
  std::string value;
};

/** What a node says of its own load, on each reply and heartbeat. */
struct load_advert {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /** Rank below which the row of this reply is refused; see call_rank. */
  std::uint32_t threshold = 0;
  /** The claim window that tickets may be bound to. */
  std::uint32_t window = 0;
  std::uint8_t leaving = 0;
};

/** First message in both directions of a connection. */
struct hello_message {
  std::string instance;
  std::string service;
  std::string failure_domain;
  std::string region;
  endpoint listens_at;
  incarnation_id incarnation = 0;
  load_advert load;
  hybrid_time sent;
};

/** A call from the caller's node to the target's node. */
struct call_message {
  attempt_id attempt = 0;
  request_id request;
  std::string service;
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<header_field> headers;
  /** What is left of the deadline when sent, in microseconds. */
  std::int64_t time_left_micros = 0;
  std::uint32_t rank = 0;
  /** Retries lent to the callee's part of the tree. */
  std::uint8_t retries_lent = 0;
  /** Empty for idempotent rows. */
  ticket claim;
  /** The whole body, or its first part where chunks follow. */
  std::string body;
  std::uint8_t chunks_follow = 0;
  hybrid_time sent;
};

/** The end of one attempt. */
struct reply_message {
  attempt_id attempt = 0;
  request_id request;
  call_end end = call_end::kUnknown;
  std::uint16_t code = 0;
  std::uint16_t http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  /** Digest of the body, made where the backend server's answer was read. */
  std::uint64_t body_digest = 0;
  std::uint8_t retries_left = 0;
  /** When to come back, for refusals; 0: no statement. */
  std::uint32_t retry_after_millis = 0;
  load_advert load;
  hybrid_time sent;
};

/** Part of a request body. Sent only against credit. */
struct body_chunk_message {
  attempt_id attempt = 0;
  std::uint64_t offset = 0;
  std::string bytes;
  std::uint8_t last = 0;
};

/** The receiver takes this many more bytes of the body. */
struct body_credit_message {
  attempt_id attempt = 0;
  std::uint64_t bytes = 0;
};

/** The sender no longer wants the answer. */
struct cancel_message {
  attempt_id attempt = 0;
};

/** Asks what became of an earlier attempt or ticket. */
struct ask_message {
  attempt_id question = 0;
  ticket claim;
  /** Leave a tombstone if it has not been handed to the backend server. */
  std::uint8_t revoke = 0;
};

/** What became of it. `state` is a claim_state of the policy module. */
struct ask_reply_message {
  attempt_id question = 0;
  std::uint8_t state = 0;
  std::uint16_t code = 0;
  reply_message answer;
};

/** This instance takes no new work from now on. */
struct leaving_message {
  std::string instance;
  incarnation_id incarnation = 0;
};

struct heartbeat_message {
  std::uint64_t number = 0;
  load_advert load;
  hybrid_time sent;
};

struct heartbeat_reply_message {
  std::uint64_t number = 0;
  load_advert load;
  hybrid_time sent;
};

/** Asks a peer for a published value: a service's part of the table by the
    service's name, its instances by "instances/<service>", the index by "". */
struct shard_request_message {
  std::string service;
  std::uint64_t newer_than = 0;
};

/** The value in its canonical JSON; empty where the peer has nothing newer. Of the
    index only the lines above the asker's version. */
struct shard_reply_message {
  std::string service;
  std::uint64_t version = 0;
  std::string json;
};

/** One published value's version as gossip carries it; named as in a request. */
struct shard_version {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
};

/** A datagram between nodes: which versions the sender has. */
struct gossip_message {
  endpoint from;
  incarnation_id incarnation = 0;
  std::uint64_t table_version = 0;
  std::uint32_t fleet_size = 0;
  std::vector<shard_version> shards;
  std::uint8_t wants_answer = 0;
  hybrid_time sent;
};

/** Asks a peer of the same failure domain for part of its share of a limit. */
struct share_request_message {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
};

struct share_grant_message {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
  std::uint64_t lasts_micros = 0;
};

struct share_return_message {
  std::uint64_t number = 0;
  std::string row;
  std::uint32_t amount = 0;
};

}  // namespace cuminferry
