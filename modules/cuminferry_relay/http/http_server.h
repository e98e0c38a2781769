#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** Limits on the size of a request and on the time that a client may take to send it. */
struct http_limits {
  /** Maximum size of a request head in bytes. */
  std::size_t max_head_bytes = 16 * 1024;
  /** Maximum size of a request body in bytes. */
  std::uint64_t max_body_bytes = 64 * 1024 * 1024;
  /** Maximum time from the first byte of a head to its last. */
  duration head_timeout = std::chrono::seconds(3);
  /** Maximum time that a connection stays open while it waits for the next request. */
  duration idle_timeout = std::chrono::seconds(15);
};

/** One request that a server received, and the interface to answer it.

    An answer is sent by SendHead(), then any number of calls of SendBody(), then Finish(). Abort()
    aborts an answer that cannot be completed and resets the connection, so that the client does
    not take the answer for a complete one.

    An answer that ends with its connection (kUntilClose) is closed in order only after Finish(). If
    the process ends before, the kernel resets the connection. Clients of HTTP/1.0 get a chunked
    answer that way, as they cannot read chunks.

    Hooks are called until the answer is finished or the client has disconnected.
*/
class server_exchange {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_body_end;
    /** Called if the client disconnects or sends an invalid request before the answer is finished.
     */
    std::function<void()> on_client_gone;
    /** Called when unsent_bytes() has fallen to tcp_connection::kLowWater bytes, so that more of
        the answer may be sent. */
    std::function<void()> on_writable;
  };

  virtual ~server_exchange() = default;

  virtual const http_head& request() const = 0;
  virtual void SetHooks(hooks hooks) = 0;

  //============================================================================
  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;
  /** Sends an interim answer (102), which reports that the request is being processed. */
  virtual void SendInterim() = 0;
  /** Sends an interim answer (100), which asks the client for the body that it holds back.
      @see http_server::options::handler_sends_continue */
  virtual void SendContinue() = 0;
  virtual void SendHead(http_head response) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  virtual void Abort() = 0;

  //============================================================================
  virtual bool head_sent() const = 0;
  virtual bool client_gone() const = 0;
  /** Whether the client has closed its connection, which on_client_gone does not report while
      PauseBody() is in effect. */
  virtual bool HasClientClosed() const = 0;
  /** The number of bytes of the answer that the kernel has not accepted yet. */
  virtual std::size_t unsent_bytes() const = 0;

  /** Sends a complete answer whose body is already in memory. */
  void Answer(http_head response, std::string_view body);
};

/** Serves HTTP/1.1 at one address. */
class http_server {
 public:
  using request_hook = std::function<void(std::shared_ptr<server_exchange>)>;

  struct options {
    endpoint address;
    http_limits limits;
    /** @see tcp_connection::Connect */
    duration silence_timeout{};
    /** Whether the handler itself calls SendContinue() when a client holds its body back (Expect:
        100-continue). Otherwise the server asks for the body immediately. */
    bool handler_sends_continue = false;
    request_hook on_request;
  };

  static absl::StatusOr<std::unique_ptr<http_server>> Listen(event_loop& loop, options options);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** Sets the limits of connections that are accepted from now on. */
  void SetLimits(const http_limits& limits);
  /** Closes idle connections, and others once their answers are sent. Every later answer closes its
      connection, also a new one. */
  void Drain();

  std::size_t open_requests() const;
  /** Whether bytes of an answer are left that the kernel has not accepted. */
  bool has_unsent_answers() const;
  /** The address in use, with the assigned port if port 0 was requested. */
  endpoint address() const;

 private:
  struct state;
  class session;
  explicit http_server(std::shared_ptr<state> state) : state_(std::move(state)) {}

  std::shared_ptr<state> state_;
};

}  // namespace cuminferry
