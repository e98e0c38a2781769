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

/** One request for the own backend server. */
struct backend_request {
  std::string method;
  /** Path and query. */
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  /** Gives the rest of a long body, part by part: true with a part, true and an
      empty part at the end, false where the caller has broken off. Empty hook:
      `body` is all. Called on the thread that calls Send(). */
  std::function<bool(std::string& part)> more_body;
  instant deadline;
  std::uint32_t largest_answer = 1 << 20;
  /** A non-idempotent request never goes over a connection that was used before:
      the backend server might have closed it, and what then happened to the
      request could not be known. */
  bool idempotent = true;
};

/** How a request to the backend server ended. */
enum class backend_end : std::uint8_t {
  kAnswered,   ///< a whole answer
  kShed,       ///< it said with 503 and Cuminferry-Not-Run that it did not run it
  kNotSent,    ///< no byte of it reached the backend server
  kBrokenOff,  ///< sent, wholly or in part, and no whole answer came
  kTimedOut,   ///< sent, and the deadline passed
  kTooLarge,   ///< it ran; the answer exceeds the bound
  kCancelled,  ///< the caller went away; it may have run
};

struct backend_answer {
  backend_end end = backend_end::kNotSent;
  int http_status = 0;
  std::vector<header_field> headers;
  std::string body;
  /** Digest of the body as read. */
  std::uint64_t body_digest = 0;
};

/** Ends a request that runs, from another thread. */
class cancel_token {
 public:
  /** Asks for the end; closes the backend server's connection where one is open. */
  void Cancel();
  bool cancelled() const { return cancelled_; }

 private:
  friend class backend_client;
  std::atomic<bool> cancelled_ = false;
  ranked_mutex mutex_{lock_rank::kWireConnection};
  std::function<void()> close_ ABSL_GUARDED_BY(mutex_);
};

/** What the backend server says of itself at /health. A hint. */
struct backend_health {
  bool reachable = false;
  bool draining = false;
  bool starting = false;
  double load = 0.0;
  std::uint32_t slots = 0;
};

/** Sends requests to the backend server beside the node, each exactly once:
    neither this class nor the HTTP library below it ever sends a request again. */
class backend_client {
 public:
  struct options {
    endpoint backend;
    /** Most connections kept open between requests. */
    std::size_t idle_bound = 64;
  };

  explicit backend_client(options chosen);
  ~backend_client();

  /** Sends one request and waits for its end. Blocks at most to the deadline. */
  backend_answer Send(const backend_request& request, cancel_token& cancel);

  /** Asks /health; blocks at most `longest`. */
  backend_health AskHealth(std::chrono::milliseconds longest);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
