#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** What a client may send, and how long it may take. */
struct http_limits {
  std::size_t largest_head = 16 * 1024;
  std::uint64_t largest_body = 64 * 1024 * 1024;
  /** From the first byte of a head to its last. */
  duration head_time = std::chrono::seconds(3);
  /** Longest pause between two requests, or within a body. */
  duration idle_time = std::chrono::seconds(15);
};

/** One request at a server, and the way to answer it.

    The answer is sent in the order SendHead(), SendBody()..., Finish(). Break()
    ends an answer that can't be completed so that it does not look complete.
    Hooks are called until the answer is finished or the client is gone.
*/
class server_exchange {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_body_end;
    /** The client closed or its connection broke before the answer was sent. */
    std::function<void()> on_client_gone;
    /** The client takes more of the answer again. */
    std::function<void()> on_drained;
  };

  virtual ~server_exchange() = default;

  virtual const http_head& request() const = 0;
  virtual void SetHooks(hooks hooks) = 0;

  //============================================================================
  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;
  /** Tells the client, before the answer, that its request is being processed. */
  virtual void SendInterim() = 0;
  /** Asks the client for the body that it holds back.
      @see http_server::options::handler_continues */
  virtual void SendContinue() = 0;
  virtual void SendHead(http_head response) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  virtual void Break() = 0;

  //============================================================================
  virtual bool head_sent() const = 0;
  virtual bool client_gone() const = 0;
  /** Bytes of the answer that the client has not taken yet. */
  virtual std::size_t unsent() const = 0;

  /** A whole answer without streaming. */
  void Answer(http_head response, std::string_view body);
};

/** Serves HTTP/1.1 at one address. */
class http_server {
 public:
  using request_hook = std::function<void(std::shared_ptr<server_exchange>)>;

  struct options {
    endpoint at;
    http_limits limits;
    /** @see tcp_connection::Connect */
    duration silence_limit{};
    /** The handler asks for a body that a client holds back (Expect:
        100-continue); else the server does, at once. */
    bool handler_continues = false;
    request_hook on_request;
  };

  static absl::StatusOr<std::unique_ptr<http_server>> Listen(event_loop& loop, options options);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  void SetLimits(const http_limits& limits);
  /** From now on each answer closes its connection, and idle ones are closed. */
  void Drain();

  std::size_t open_requests() const;
  endpoint at() const;

 private:
  struct state;
  class session;
  explicit http_server(std::shared_ptr<state> state) : state_(std::move(state)) {}

  std::shared_ptr<state> state_;
};

}  // namespace cuminferry
