#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** One request to the backend server of this node. */
struct backend_request {
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  /** Supplies the rest of a long body, part by part. The hook returns true and a part, true and
      an empty part at the end of the body, or false if the caller aborted the upload. If the hook
      is empty, `body` is the whole body. Send() calls it on the thread of its caller. */
  std::function<bool(std::string& part)> more_body;
  instant deadline;
  std::uint32_t max_answer_bytes = 1 << 20;
  /** False for a request that must not run twice. Such a request is never sent on a reused
      connection: the backend server might close that connection at the same moment, and then it
      would be unknown whether the request ran. */
  bool idempotent = true;
};

/** The outcome of a request to the backend server. */
enum class backend_outcome : std::uint8_t {
  kAnswered,  ///< a complete answer was received
  kShed,      ///< 503 with Cuminferry-Not-Run: the backend server rejected the request unrun
  kNotSent,   ///< no byte of the request was sent
  kNoCompleteAnswer,  ///< sent, wholly or in part, but no complete answer was received
  kTimedOut,          ///< sent, but the deadline passed before the answer was complete
  kAnswerTooLarge,    ///< the request ran, but the answer exceeds the maximum size
  kCancelled,         ///< the caller disconnected; the request may have run
};

struct backend_answer {
  backend_outcome outcome = backend_outcome::kNotSent;
  int http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  /** Digest of `body`. */
  std::uint64_t body_digest = 0;
};

/** Cancels a running request from another thread. */
class cancel_token {
 public:
  /** Marks the request as cancelled and closes its connection to the backend server, if open. */
  void Cancel();
  bool cancelled() const { return cancelled_; }

 private:
  friend class backend_client;
  std::atomic<bool> cancelled_ = false;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  std::function<void()> close_ ABSL_GUARDED_BY(mutex_);
};

/** The state that the backend server reports at /health. It is only a hint. */
struct backend_health {
  bool reachable = false;
  bool draining = false;
  bool starting = false;
  double load = 0.0;
  std::uint32_t slots = 0;
};

/** Sends requests to the backend server of this node. Each request is sent at most once: neither
    this class nor the HTTP library below it ever resends one. */
class backend_client {
 public:
  struct options {
    endpoint backend;
    /** Maximum number of idle connections that stay open between requests. */
    std::size_t max_idle_connections = 64;
    /** Called with what is wrong with bytes that came in the place of an answer. */
    std::function<void(std::string_view problem)> on_invalid_answer = {};
  };

  explicit backend_client(options client_options);
  ~backend_client();

  /** Sends one request and waits for its outcome. Blocks until the deadline at most. */
  backend_answer Send(const backend_request& request, cancel_token& cancel);

  /** Queries /health. Blocks for `timeout` at most. */
  backend_health QueryHealth(std::chrono::milliseconds timeout);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
