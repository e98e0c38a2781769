#include "cuminferry_relay/http/http_server.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/http/message_reader.h"
#include "cuminferry_relay/io/tcp_listener.h"

namespace cuminferry {
namespace {

// How long the server goes on reading after it has sent an answer that closes the connection.
// Closing a socket with unread bytes sends a reset, which could discard the answer before the
// client reads it.
constexpr duration kLingerTime = std::chrono::seconds(2);
// The server stops reading from a socket when more than this many bytes of pipelined requests are
// buffered.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

}  // namespace

void server_exchange::Answer(http_head response, std::string_view body) {
  response.framing = body_framing::kLength;
  response.length = body.size();
  SendHead(std::move(response));
  SendBody(body);
  Finish();
}

struct http_server::state {
  event_loop& loop;
  options config;
  std::unique_ptr<tcp_listener> listener;
  std::unordered_map<const session*, std::shared_ptr<session>> sessions;
  std::size_t open_request_count = 0;
  bool draining = false;

  state(event_loop& loop, options config) : loop(loop), config(std::move(config)) {}
};

//==============================================================================
/** One client connection. Serves its requests one after the other. */
class http_server::session : public std::enable_shared_from_this<http_server::session> {
 public:
  class exchange;

  session(std::weak_ptr<http_server::state> server, event_loop& loop,
          std::unique_ptr<tcp_connection> connection, const http_limits& limits)
      : server_(std::move(server)),
        limits_(limits),
        connection_(std::move(connection)),
        timer_(loop) {}

  void Start() {
    std::weak_ptr<session> weak = weak_from_this();
    const auto if_alive = [weak](auto action) {
      if (const auto self = weak.lock()) {
        action(*self);
      }
    };
    connection_->SetHooks(
        {.on_data =
             [if_alive](std::string_view bytes) {
               if_alive([bytes](session& self) { self.OnData(bytes); });
             },
         .on_end =
             [if_alive](close_reason) { if_alive([](session& self) { self.OnDisconnected(); }); },
         .on_writable = [if_alive] { if_alive([](session& self) { self.OnDrained(); }); },
         .on_connected = {}});
    reader_ = std::make_unique<message_reader>(
        message_reader::kind::kRequests, limits_.max_head_bytes,
        message_reader::hooks{.on_head = [this](http_head head) { OnHead(std::move(head)); },
                              .on_body = [this](std::string_view bytes) { OnBody(bytes); },
                              .on_message_end = [this] { OnRequestEnd(); }});
    AwaitRequest();
  }

  void CloseIfIdle() {
    if (current_ || lingering_ || !reader_->between_messages() || !pipelined_.empty()) {
      return;
    }
    if (unsent_bytes() > 0) {
      // The client still reads its last answer.
      Linger();
    } else {
      CloseConnection();
    }
  }

  bool HasClientClosed() const { return !connection_ || connection_->IsClosedByPeer(); }
  std::size_t unsent_bytes() const { return connection_ ? connection_->unsent_bytes() : 0; }

  //============================================================================
  // The functions below are called by the current exchange.
  void PauseBody() {
    if (connection_ && !request_received_) {
      connection_->PauseReading();
    }
  }

  void ResumeBody() {
    if (connection_) {
      connection_->ResumeReading();
    }
  }

  void SendInterim() { connection_->Write("HTTP/1.1 102 Processing\r\n\r\n"); }
  void SendContinue() { connection_->Write("HTTP/1.1 100 Continue\r\n\r\n"); }
  void SendHead(const exchange& answered_exchange, http_head response);
  void SendBody(std::string_view bytes);
  void Finish();

  void Abort() {
    if (connection_) {
      connection_->ResetOnClose();
    }
    CloseConnection();
  }

 private:
  void OnData(std::string_view bytes) {
    if (lingering_) {
      return;
    }
    if (current_ && request_received_) {
      pipelined_.append(bytes);
      if (pipelined_.size() > kMaxPipelinedBytes) {
        connection_->PauseReading();
      }
      return;
    }
    ParseBytes(bytes);
  }

  void ParseBytes(std::string_view bytes) {
    const auto self = shared_from_this();
    while (!bytes.empty() && connection_ && !lingering_) {
      if (current_ && request_received_) {
        pipelined_.append(bytes);
        return;
      }
      if (reader_->between_messages() && !current_) {
        timer_.StartOnce(limits_.head_timeout, [this] { OnHeadTimeout(); });
      }
      const auto taken = reader_->Read(bytes);
      if (!connection_) {
        return;
      }
      if (!taken.ok()) {
        OnBadRequest(reader_->head_too_large() ? http_status::kHeadTooLarge
                                               : http_status::kBadRequest);
        return;
      }
      bytes.remove_prefix(std::min(*taken, bytes.size()));
    }
  }

  void AwaitRequest() {
    timer_.StartOnce(limits_.idle_timeout, [this] { CloseIfIdle(); });
  }

  void OnHeadTimeout() { OnBadRequest(http_status::kRequestTimeout); }
  void OnHead(http_head head);
  void OnBody(std::string_view bytes);
  void OnRequestEnd();
  void OnDrained();
  void OnDisconnected();
  void OnBadRequest(int status);
  void EndExchange();
  void Linger();
  void CloseOnceSent();

  // Closes the connection and removes this session from the server. The object is destroyed when
  // the callback that holds a reference to it returns.
  void CloseConnection() {
    if (!connection_) {
      return;
    }
    timer_.Stop();
    connection_.reset();
    EndExchange();
    if (const auto server = server_.lock()) {
      server->sessions.erase(this);
    }
  }

  std::weak_ptr<http_server::state> server_;
  http_limits limits_;
  std::unique_ptr<tcp_connection> connection_;
  std::unique_ptr<message_reader> reader_;
  loop_timer timer_;
  std::shared_ptr<exchange> current_;
  std::string pipelined_;
  std::uint64_t body_bytes_ = 0;
  body_framing answer_framing_ = body_framing::kNone;
  // Bytes of the answer's body that are due, where its length is stated.
  std::uint64_t answer_left_ = 0;
  bool request_received_ = false;
  bool close_after_answer_ = false;
  bool lingering_ = false;
};

/** The request in progress on a session. The handler may hold this object for longer than the
    session exists; its functions then have no effect. */
class http_server::session::exchange final : public server_exchange {
 public:
  exchange(std::weak_ptr<session> session, http_head request)
      : session_(std::move(session)), request_(std::move(request)) {}

  const http_head& request() const override { return request_; }
  void SetHooks(hooks hooks) override {
    callbacks_ = std::make_shared<const server_exchange::hooks>(std::move(hooks));
  }

  void PauseBody() override {
    IfOpen([](session& self) { self.PauseBody(); });
  }
  void ResumeBody() override {
    IfOpen([](session& self) { self.ResumeBody(); });
  }
  void SendInterim() override {
    if (!head_sent_) {
      IfOpen([](session& self) { self.SendInterim(); });
    }
  }
  void SendContinue() override {
    if (!head_sent_) {
      IfOpen([](session& self) { self.SendContinue(); });
    }
  }
  void SendHead(http_head response) override {
    if (!head_sent_) {
      head_sent_ = true;
      IfOpen([&](session& self) { self.SendHead(*this, std::move(response)); });
    }
  }
  void SendBody(std::string_view bytes) override {
    IfOpen([&](session& self) { self.SendBody(bytes); });
  }
  void Finish() override {
    IfOpen([](session& self) { self.Finish(); });
  }
  void Abort() override {
    IfOpen([](session& self) { self.Abort(); });
  }

  bool head_sent() const override { return head_sent_; }
  bool client_gone() const override { return client_gone_; }
  bool HasClientClosed() const override {
    const auto self = session_.lock();
    return client_gone_ || !self || self->HasClientClosed();
  }
  std::size_t unsent_bytes() const override {
    const auto self = session_.lock();
    return self && !ended_ ? self->unsent_bytes() : 0;
  }

  std::shared_ptr<const hooks> callbacks() const { return callbacks_; }
  void MarkEnded() { ended_ = true; }
  void MarkClientGone() { client_gone_ = true; }

 private:
  template <typename Action>
  void IfOpen(Action action) {
    const auto self = session_.lock();
    if (self && !ended_) {
      action(*self);
    }
  }

  std::weak_ptr<session> session_;
  http_head request_;
  std::shared_ptr<const hooks> callbacks_ = std::make_shared<const hooks>();
  bool head_sent_ = false;
  bool ended_ = false;
  bool client_gone_ = false;
};

void http_server::session::OnHead(http_head head) {
  const auto server = server_.lock();
  if (!server) {
    return;
  }
  timer_.Stop();
  request_received_ = false;
  body_bytes_ = 0;
  close_after_answer_ = !head.keep_alive || server->draining;
  if (head.framing == body_framing::kLength && head.length > limits_.max_body_bytes) {
    OnBadRequest(http_status::kContentTooLarge);
    return;
  }
  if (const std::string* expect = head.Find("expect")) {
    // The client holds its body back until it receives the status 100.
    if (EqualFieldNames(*expect, "100-continue") && !server->config.handler_sends_continue) {
      SendContinue();
    }
    head.Remove("expect");
  }
  ++server->open_request_count;
  current_ = std::make_shared<exchange>(weak_from_this(), std::move(head));
  server->config.on_request(current_);
}

void http_server::session::OnBody(std::string_view bytes) {
  body_bytes_ += bytes.size();
  if (!current_ || lingering_) {
    return;
  }
  if (body_bytes_ > limits_.max_body_bytes) {
    OnBadRequest(http_status::kContentTooLarge);
    return;
  }
  const auto hooks = current_->callbacks();
  if (hooks->on_body) {
    hooks->on_body(bytes);
  }
}

void http_server::session::OnRequestEnd() {
  request_received_ = true;
  if (!current_) {
    return;
  }
  // A client that leaves is noticed only while its connection is read.
  connection_->ResumeReading();
  const auto hooks = current_->callbacks();
  if (hooks->on_body_end) {
    hooks->on_body_end();
  }
}

void http_server::session::OnDrained() {
  if (!current_) {
    return;
  }
  const auto hooks = current_->callbacks();
  if (hooks->on_writable) {
    hooks->on_writable();
  }
}

void http_server::session::OnDisconnected() {
  const auto last_exchange = current_;
  CloseConnection();
  if (!last_exchange) {
    return;
  }
  last_exchange->MarkClientGone();
  const auto hooks = last_exchange->callbacks();
  if (hooks->on_client_gone) {
    hooks->on_client_gone();
  }
}

void http_server::session::OnBadRequest(int status) {
  const auto last_exchange = current_;
  EndExchange();
  if (last_exchange && last_exchange->head_sent()) {
    Abort();
  } else {
    http_head answer;
    answer.status = status;
    answer.reason = http_status::ReasonOf(status);
    answer.framing = body_framing::kLength;
    connection_->Write(answer.ToResponseText(true));
    Linger();
  }
  if (last_exchange) {
    last_exchange->MarkClientGone();
    const auto hooks = last_exchange->callbacks();
    if (hooks->on_client_gone) {
      hooks->on_client_gone();
    }
  }
}

void http_server::session::EndExchange() {
  if (!current_) {
    return;
  }
  current_->MarkEnded();
  current_.reset();
  if (const auto server = server_.lock()) {
    --server->open_request_count;
  }
}

void http_server::session::Linger() {
  lingering_ = true;
  connection_->FinishWriting();
  connection_->ResumeReading();
  CloseOnceSent();
}

// A client that takes no bytes at all is detected by the connection's silence timeout.
void http_server::session::CloseOnceSent() {
  const bool had_unsent_bytes = unsent_bytes() > 0;
  timer_.StartOnce(kLingerTime, [this, had_unsent_bytes] {
    had_unsent_bytes ? CloseOnceSent() : CloseConnection();
  });
}

void http_server::session::SendHead(const exchange& answered_exchange, http_head response) {
  const auto server = server_.lock();
  // If the answer starts before the request body is complete, the rest of the body must be read and
  // discarded before the connection can be reused. This is done only if the handler decides about
  // SendContinue(), since the rest is then sure to end soon. Another client might send for a long
  // time, so its connection is closed.
  const bool body_ends_soon = server && server->config.handler_sends_continue;
  const http_head& request = answered_exchange.request();
  if (response.framing == body_framing::kChunked && !request.reads_chunks) {
    response.framing = body_framing::kUntilClose;
  }
  close_after_answer_ = close_after_answer_ || (!request_received_ && !body_ends_soon) ||
                        (server && server->draining) ||
                        response.framing == body_framing::kUntilClose;
  answer_framing_ = request.method == "HEAD" ? body_framing::kNone : response.framing;
  answer_left_ = answer_framing_ == body_framing::kLength ? response.length : 0;
  if (answer_framing_ == body_framing::kUntilClose) {
    connection_->ResetUnlessFinished();
  }
  connection_->Write(response.ToResponseText(close_after_answer_));
}

void http_server::session::SendBody(std::string_view bytes) {
  if (bytes.empty() || answer_framing_ == body_framing::kNone) {
    return;
  }
  if (answer_framing_ == body_framing::kChunked) {
    connection_->Write(ToChunk(bytes));
    return;
  }
  if (answer_framing_ == body_framing::kLength) {
    bytes = bytes.substr(0, answer_left_);
    answer_left_ -= bytes.size();
  }
  connection_->Write(bytes);
}

void http_server::session::Finish() {
  const auto self = shared_from_this();
  if (answer_left_ > 0) {
    // The next answer would be taken for the bytes that are due.
    Abort();
    return;
  }
  if (answer_framing_ == body_framing::kChunked) {
    connection_->Write(kLastChunk);
  }
  EndExchange();
  if (close_after_answer_) {
    Linger();
    return;
  }
  AwaitRequest();
  connection_->ResumeReading();
  std::string pipelined;
  pipelined.swap(pipelined_);
  if (!pipelined.empty()) {
    ParseBytes(pipelined);
  }
}

//==============================================================================
absl::StatusOr<std::unique_ptr<http_server>> http_server::Listen(event_loop& loop,
                                                                 options options) {
  auto new_state = std::make_shared<state>(loop, std::move(options));
  std::weak_ptr<state> weak = new_state;
  auto listener =
      tcp_listener::Listen(loop, new_state->config.address, new_state->config.silence_timeout,
                           [weak](std::unique_ptr<tcp_connection> connection) {
                             const auto self = weak.lock();
                             if (!self) {
                               return;
                             }
                             auto session = std::make_shared<http_server::session>(
                                 self, self->loop, std::move(connection), self->config.limits);
                             self->sessions.emplace(session.get(), session);
                             session->Start();
                           });
  if (!listener.ok()) {
    return listener.status();
  }
  new_state->listener = std::move(*listener);
  return std::unique_ptr<http_server>(new http_server(std::move(new_state)));
}

http_server::~http_server() = default;

void http_server::SetLimits(const http_limits& limits) { state_->config.limits = limits; }

void http_server::Drain() {
  state_->draining = true;
  std::vector<std::shared_ptr<session>> open_sessions;
  for (const auto& [key, session] : state_->sessions) {
    open_sessions.push_back(session);
  }
  for (const auto& session : open_sessions) {
    session->CloseIfIdle();
  }
}

bool http_server::has_unsent_answers() const {
  return std::ranges::any_of(state_->sessions,
                             [](const auto& open) { return open.second->unsent_bytes() > 0; });
}

std::size_t http_server::open_requests() const { return state_->open_request_count; }
endpoint http_server::address() const { return state_->listener->address(); }

}  // namespace cuminferry
