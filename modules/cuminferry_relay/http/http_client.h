#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/io/tcp_connection.h"

namespace cuminferry {

/** Why a request did not get a complete answer. */
enum class exchange_failure : std::uint8_t {
  /** The connection could not be established, so the server has received nothing. */
  kNotSent,
  /** The connection was lost. The request may have been processed. */
  kConnectionLost,
  /** The bytes received are not a valid HTTP answer. The request may have been processed. */
  kInvalidAnswer,
};

/** Returns the name of a reason in the log. */
std::string_view ToText(exchange_failure failure);

/** What the log says of the connection that carries a request. */
struct connection_use {
  /** Counts the pool's connections from 1. */
  std::uint64_t number = 0;
  /** Number of requests that it carried before this one. */
  std::size_t requests_before = 0;
  /** Time for which it was idle before this request. */
  duration idle{};
};

/** Bytes that a server sent on an idle connection, so that they belong to no request. */
struct stray_bytes {
  connection_use connection;
  std::string_view bytes;
  /** Returns whether the connection carried a request with this id that MarkRepeatable() marked. */
  std::function<bool(std::string_view request_id)> has_brought_rejection_of;
};

/** Bytes that a server sent where the answer to a request was due, and that are no answer. */
struct invalid_answer {
  endpoint server;
  connection_use connection;
  /** Empty for requests that have none. @see http_client::send_options::request_id */
  std::string_view request_id;
  /** What is wrong, as one of a small number of texts. */
  std::string_view problem;
};

/** One request that was sent to a server, and its answer.

    Answers are streamed. The server may answer before the whole request body has been sent. The
    connection is then reused only if FinishBody() is called before the answer ends, and all bytes
    of the stated length were sent.
    No hook is called after on_end, on_failed or Cancel().
*/
class client_exchange {
 public:
  struct hooks {
    std::function<void(http_head)> on_head;
    /** Receives the status of an interim answer (1xx). kContinue asks for the body that an
        Expect field announced; any other status reports that the request is being processed. */
    std::function<void(int)> on_interim;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_end;
    std::function<void(exchange_failure)> on_failed;
    /** Called when unsent_bytes() has fallen to tcp_connection::kLowWater bytes, so that more of
        the request body may be sent. */
    std::function<void()> on_writable;
    /** Returns whether an answer belongs to this request. An answer that does not, such as a late
        second answer to an earlier request, is read and discarded. */
    std::function<bool(const http_head&)> is_matching_answer;
  };

  ~client_exchange();
  client_exchange(const client_exchange&) = delete;
  client_exchange& operator=(const client_exchange&) = delete;

  //============================================================================
  void SendBody(std::string_view bytes);
  void FinishBody();
  void PauseAnswer();
  void ResumeAnswer();
  /** Abandons the request and closes its connection. A server that checks its connection stops
      working on the request. */
  void Cancel();
  /** Says that the request may be sent again. Its connection will not carry it a second time,
     because a late copy of this answer would be taken for the answer to that send.
      @see http_client::send_options::request_id */
  void MarkRepeatable();

  /** Whether the connection has carried no request before, so that an answer on it can only belong
      to this one. */
  bool is_first_on_connection() const { return connection().requests_before == 0; }
  /** The connection that carries the request, also after the exchange has ended. */
  const connection_use& connection() const;
  /** Whether its connection has carried a request with this id that MarkRepeatable() marked. */
  bool HasBroughtRejectionOf(std::string_view request_id) const;
  /** Whether only the close of the connection marked the end of the answer. If the server's process
      was killed, its kernel closes the connection just so. */
  bool ended_by_close() const;
  /** The number of bytes of the request that the kernel has not accepted yet. */
  std::size_t unsent_bytes() const;

 private:
  friend class http_client;
  struct state;
  explicit client_exchange(std::shared_ptr<state> state) : state_(std::move(state)) {}

  std::shared_ptr<state> state_;
};

/** A pool of connections to one server. Each connection carries one request at a time. */
class http_client {
 public:
  struct options {
    /** Maximum time to establish a connection. */
    duration connect_timeout{};
    /** @see tcp_connection::Connect */
    duration silence_timeout{};
    /** Maximum idle time after which a connection is reused. A timeout in the server's Keep-Alive
        field takes precedence over this value. */
    duration idle_timeout{};
    /** Maximum size of an answer's head in bytes. */
    std::size_t max_head_bytes = 64 * 1024;
    /** Called with bytes on an idle connection, which is then closed. */
    std::function<void(const stray_bytes&)> on_stray = {};
    /** Called with what a server sent in the place of an answer; the connection is then reset. */
    std::function<void(const invalid_answer&)> on_invalid = {};
  };

  /** Which connection of the pool a request may use. */
  struct send_options {
    /** Value of max_idle_time for requests that need a new connection. */
    static constexpr duration kNewConnectionOnly{-1};

    /** Maximum idle time of a connection that is reused. The server may have closed one that was
        idle for longer, and it would then be unknown whether the request was processed. */
    duration max_idle_time{};
    /** Identifies the request. No connection is used that has carried a request with this id which
        was marked by MarkRepeatable(). Empty if the request is never sent twice. */
    std::string_view request_id;
  };

  http_client(event_loop& loop, const endpoint& server, options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Sends the head of a request. The caller sends the body by SendBody() and FinishBody(). */
  std::unique_ptr<client_exchange> Send(const http_head& request, const send_options& options,
                                        client_exchange::hooks hooks);

  /** Closes all idle connections of the pool. */
  void CloseIdleConnections();

 private:
  friend class client_exchange;
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace cuminferry
