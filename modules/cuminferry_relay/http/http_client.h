#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** How a request without a whole answer ended. */
enum class exchange_failure : std::uint8_t {
  /** No connection came about: the other side has seen nothing of it. */
  kNotSent,
  /** The connection broke; the request may have been processed. */
  kBroken,
  /** What came back is no answer to it; the request may have been processed. */
  kDamaged,
};

/** One request on its way to a server, and its answer.

    Answers stream: on_head may come before the request's body was sent, and
    then the connection is not used again unless that body is finished first.
    No hook is called after on_end, on_failed or Cancel().
*/
class client_exchange {
 public:
  struct hooks {
    std::function<void(http_head)> on_head;
    /** An interim response with this status: kContinue asks for the body that an
        Expect field announced, others tell that the server works on it. */
    std::function<void(int)> on_interim;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_end;
    std::function<void(exchange_failure)> on_failed;
    /** The server takes more of the request's body again. */
    std::function<void()> on_drained;
    /** Whether a response belongs to this request. One that doesn't, a late
        second answer to an earlier request, is read and dropped. */
    std::function<bool(const http_head&)> is_answer;
  };

  ~client_exchange();
  client_exchange(const client_exchange&) = delete;
  client_exchange& operator=(const client_exchange&) = delete;

  //============================================================================
  void SendBody(std::string_view bytes);
  void FinishBody();
  void PauseAnswer();
  void ResumeAnswer();
  /** Ends it and closes its connection: a server that looks stops its work. */
  void Cancel();

  /** Bytes of the request that the kernel has not taken yet. */
  std::size_t unsent() const;

 private:
  friend class http_client;
  struct state;
  explicit client_exchange(std::shared_ptr<state> state) : state_(std::move(state)) {}

  std::shared_ptr<state> state_;
};

/** Keeps connections to one server and sends requests on them, one at a time on
    each. */
class http_client {
 public:
  struct options {
    duration connect_limit{};
    /** @see tcp_connection::Connect */
    duration silence_limit{};
    /** A connection that was idle for longer is not used again, where the
        server's Keep-Alive field does not say how long it keeps it. */
    duration idle_limit{};
    std::size_t largest_head = 64 * 1024;
  };

  http_client(event_loop& loop, const endpoint& server, options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Sends the head; the body follows by SendBody() and FinishBody().
      @param longest_idle  use only a kept connection that was idle for no
                           longer: a server may have dropped an older one, and
                           then the request's fate is unknown */
  std::unique_ptr<client_exchange> Send(const http_head& request, duration longest_idle,
                                        client_exchange::hooks hooks);

  /** Closes the kept connections. */
  void DropIdle();

 private:
  friend class client_exchange;
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace cuminferry
