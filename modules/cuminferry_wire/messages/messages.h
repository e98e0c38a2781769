#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The type of a message as encoded in its frame. The numbers never change. */
enum class message_type : std::uint8_t {
  kHello = 1,
  kCall = 2,
  kReply = 3,
  kBodyChunk = 4,
  kBodyCredit = 5,
  kCancel = 6,
  kQuery = 7,
  kQueryReply = 8,
  kDraining = 9,
  kHeartbeat = 10,
  kHeartbeatReply = 11,
  kShardRequest = 12,
  kShardReply = 13,
  kGossip = 14,
  kShareRequest = 15,
  kShareGrant = 16,
  kShareReturn = 17,
};

/** The outcome of a call; there are only these three. */
enum class call_outcome : std::uint8_t {
  kCompleted = 1,  ///< the backend server answered, with success or an error
  kNotRun = 2,     ///< the call did not run and never will
  kUnknown = 3,    ///< the call may have run
};

/** Binds a non-idempotent call to one instance, incarnation and claim window. The sender creates
    it without a round trip. */
struct ticket {
  endpoint home;
  incarnation_id home_incarnation = 0;
  std::uint32_t window = 0;
  std::uint64_t nonce_high = 0;
  std::uint64_t nonce_low = 0;

  auto operator<=>(const ticket&) const = default;
  bool empty() const { return home_incarnation == 0; }
};

/** One forwarded HTTP header field. */
struct header_field {
  std::string name;
  std::string value;
};

/** The load that a node reports of itself in each reply and heartbeat. */
struct load_report {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /** Calls of the reply's row with a lower rank are refused; see call_rank. */
  std::uint32_t threshold = 0;
  /** The claim window to which new tickets may be bound. */
  std::uint32_t window = 0;
  std::uint8_t draining = 0;
};

/** The first message in each direction of a connection. */
struct hello_message {
  std::string instance;
  std::string service;
  std::string failure_domain;
  std::string region;
  endpoint listen_address;
  incarnation_id incarnation = 0;
  load_report load;
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
  /** Time left until the deadline when the message is sent, in microseconds. */
  std::int64_t time_left_micros = 0;
  std::uint32_t rank = 0;
  /** Retries that the callee's part of the call tree may use. */
  std::uint8_t retries_lent = 0;
  /** Empty for idempotent rows. */
  ticket claim;
  /** The whole body, or its first part if chunks follow. */
  std::string body;
  std::uint8_t chunks_follow = 0;
  hybrid_time sent;
};

/** The outcome of one attempt. */
struct reply_message {
  attempt_id attempt = 0;
  request_id request;
  call_outcome outcome = call_outcome::kUnknown;
  std::uint16_t code = 0;
  std::uint16_t http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  /** Digest of the body, computed by the node that read the backend server's answer. */
  std::uint64_t body_digest = 0;
  std::uint8_t retries_left = 0;
  /** After a refusal: the time to wait before a retry, in milliseconds; 0 if not stated. */
  std::uint32_t retry_after_millis = 0;
  load_report load;
  hybrid_time sent;
};

/** A part of a request body. It is sent only if the receiver has granted credit. */
struct body_chunk_message {
  attempt_id attempt = 0;
  std::uint64_t offset = 0;
  std::string bytes;
  std::uint8_t last = 0;
};

/** Grants credit for this many more bytes of the body. */
struct body_credit_message {
  attempt_id attempt = 0;
  std::uint64_t bytes = 0;
};

/** Cancels an attempt whose answer is no longer needed. */
struct cancel_message {
  attempt_id attempt = 0;
};

/** Queries the outcome of an earlier attempt or ticket. */
struct query_message {
  attempt_id query_id = 0;
  ticket claim;
  /** If not 0, a call that was not yet passed to the backend server is never run; the node stores
      a tombstone for it. */
  std::uint8_t revoke = 0;
};

/** The reply to an query_message. `state` is a claim_state of the policy module. */
struct query_reply_message {
  attempt_id query_id = 0;
  std::uint8_t state = 0;
  std::uint16_t code = 0;
  reply_message answer;
};

/** Announces that the instance takes no new work from now on. */
struct draining_message {
  std::string instance;
  incarnation_id incarnation = 0;
};

struct heartbeat_message {
  std::uint64_t heartbeat_number = 0;
  load_report load;
  hybrid_time sent;
};

struct heartbeat_reply_message {
  std::uint64_t heartbeat_number = 0;
  load_report load;
  hybrid_time sent;
};

/** Requests a published value from a peer. The name of a service selects the service's part of
    the table, "instances/<service>" its instances, and "" the index. */
struct shard_request_message {
  std::string service;
  std::uint64_t newer_than = 0;
};

/** A published value as canonical JSON; empty if the peer has no newer version. The index is
    reduced to the lines that are newer than the version in the request. */
struct shard_reply_message {
  std::string service;
  std::uint64_t version = 0;
  std::string json;
};

/** The version of one published value in gossip, named as in shard_request_message. */
struct shard_version {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
};

/** A datagram between nodes that states which versions the sender has. */
struct gossip_message {
  endpoint from;
  incarnation_id incarnation = 0;
  std::uint64_t table_version = 0;
  std::uint32_t fleet_size = 0;
  std::vector<shard_version> shards;
  std::uint8_t wants_answer = 0;
  hybrid_time sent;
};

/** Requests a part of the share that a peer of the same failure domain has of a limit. */
struct share_request_message {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
};

struct share_grant_message {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
  std::uint64_t valid_for_micros = 0;
};

struct share_return_message {
  std::uint64_t request_number = 0;
  std::string row;
  std::uint32_t call_count = 0;
};

}  // namespace cuminferry
