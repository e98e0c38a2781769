#include "cuminferry_relay/http/http_server.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry {
namespace {

// A client that goes on sending after its answer is read from for this long, so
// that the answer is not lost to the reset that unread bytes cause.
constexpr duration kLinger = std::chrono::seconds(2);
// Pipelined requests wait in memory up to this size; then the socket is not read.
constexpr std::size_t kLargestPipeline = 64 * 1024;

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
  options chosen;
  std::unique_ptr<tcp_listener> listener;
  std::unordered_map<const session*, std::shared_ptr<session>> sessions;
  std::size_t requests = 0;
  bool draining = false;

  state(event_loop& loop, options chosen) : loop(loop), chosen(std::move(chosen)) {}
};

//==============================================================================
/** One connection: reads requests one after the other. */
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
    const auto with = [weak](auto action) {
      if (const auto self = weak.lock()) {
        action(*self);
      }
    };
    connection_->SetHooks(
        {.on_data =
             [with](std::string_view bytes) {
               with([bytes](session& self) { self.OnData(bytes); });
             },
         .on_end = [with](connection_end) { with([](session& self) { self.OnGone(); }); },
         .on_drained = [with] { with([](session& self) { self.OnDrained(); }); },
         .on_connected = {}});
    reader_ = std::make_unique<message_reader>(
        message_reader::kind::kRequests, limits_.largest_head,
        message_reader::hooks{.on_head = [this](http_head head) { OnHead(std::move(head)); },
                              .on_body = [this](std::string_view bytes) { OnBody(bytes); },
                              .on_message_end = [this] { OnRequestEnd(); }});
    AwaitRequest();
  }

  void CloseIfIdle() {
    if (!current_ && reader_->between_messages() && pending_.empty()) {
      End();
    }
  }

  std::size_t unsent() const { return connection_ ? connection_->unsent() : 0; }

  //============================================================================
  // Called by the exchange in progress.
  void PauseBody() {
    if (connection_ && !request_done_) {
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
  void SendHead(const exchange& from, http_head response);
  void SendBody(std::string_view bytes);
  void Finish();

  void Break() {
    if (connection_) {
      connection_->ResetOnClose();
    }
    End();
  }

 private:
  void OnData(std::string_view bytes) {
    if (lingering_) {
      return;
    }
    if (current_ && request_done_) {
      pending_.append(bytes);
      if (pending_.size() > kLargestPipeline) {
        connection_->PauseReading();
      }
      return;
    }
    Feed(bytes);
  }

  void Feed(std::string_view bytes) {
    const auto keep = shared_from_this();
    while (!bytes.empty() && connection_ && !lingering_) {
      if (current_ && request_done_) {
        pending_.append(bytes);
        return;
      }
      if (reader_->between_messages() && !current_) {
        timer_.StartOnce(limits_.head_time, [this] { OnHeadTimeout(); });
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
    timer_.StartOnce(limits_.idle_time, [this] { End(); });
  }

  void OnHeadTimeout() { OnBadRequest(http_status::kRequestTimeout); }
  void OnHead(http_head head);
  void OnBody(std::string_view bytes);
  void OnRequestEnd();
  void OnDrained();
  void OnGone();
  void OnBadRequest(int status);
  void EndExchange();
  void Linger();

  // Forgets this session; it lives on until the callback that holds it returns.
  void End() {
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
  std::string pending_;
  std::uint64_t body_bytes_ = 0;
  body_framing answer_framing_ = body_framing::kNone;
  bool request_done_ = false;
  bool close_after_ = false;
  bool lingering_ = false;
};

/** The request in progress on a session, and what outlives it for its handler. */
class http_server::session::exchange final : public server_exchange {
 public:
  exchange(std::weak_ptr<session> session, http_head request)
      : session_(std::move(session)), request_(std::move(request)) {}

  const http_head& request() const override { return request_; }
  void SetHooks(hooks hooks) override {
    on_ = std::make_shared<const server_exchange::hooks>(std::move(hooks));
  }

  void PauseBody() override {
    With([](session& at) { at.PauseBody(); });
  }
  void ResumeBody() override {
    With([](session& at) { at.ResumeBody(); });
  }
  void SendInterim() override {
    if (!head_sent_) {
      With([](session& at) { at.SendInterim(); });
    }
  }
  void SendContinue() override {
    if (!head_sent_) {
      With([](session& at) { at.SendContinue(); });
    }
  }
  void SendHead(http_head response) override {
    if (!head_sent_) {
      head_sent_ = true;
      With([&](session& at) { at.SendHead(*this, std::move(response)); });
    }
  }
  void SendBody(std::string_view bytes) override {
    With([&](session& at) { at.SendBody(bytes); });
  }
  void Finish() override {
    With([](session& at) { at.Finish(); });
  }
  void Break() override {
    With([](session& at) { at.Break(); });
  }

  bool head_sent() const override { return head_sent_; }
  bool client_gone() const override { return gone_; }
  std::size_t unsent() const override {
    const auto at = session_.lock();
    return at && !ended_ ? at->unsent() : 0;
  }

  std::shared_ptr<const hooks> on() const { return on_; }
  void MarkEnded() { ended_ = true; }
  void MarkGone() { gone_ = true; }

 private:
  template <typename Action>
  void With(Action action) {
    const auto at = session_.lock();
    if (at && !ended_) {
      action(*at);
    }
  }

  std::weak_ptr<session> session_;
  http_head request_;
  std::shared_ptr<const hooks> on_ = std::make_shared<const hooks>();
  bool head_sent_ = false;
  bool ended_ = false;
  bool gone_ = false;
};

void http_server::session::OnHead(http_head head) {
  const auto server = server_.lock();
  if (!server) {
    return;
  }
  timer_.Stop();
  request_done_ = false;
  body_bytes_ = 0;
  close_after_ = !head.keep_alive || server->draining;
  if (head.framing == body_framing::kLength && head.length > limits_.largest_body) {
    OnBadRequest(http_status::kContentTooLarge);
    return;
  }
  if (const std::string* expect = head.Find("expect")) {
    // The client holds its body back until it is asked for it.
    if (SameFieldName(*expect, "100-continue") && !server->chosen.handler_continues) {
      SendContinue();
    }
    head.Remove("expect");
  }
  ++server->requests;
  current_ = std::make_shared<exchange>(weak_from_this(), std::move(head));
  server->chosen.on_request(current_);
}

void http_server::session::OnBody(std::string_view bytes) {
  body_bytes_ += bytes.size();
  if (!current_ || lingering_) {
    return;
  }
  if (body_bytes_ > limits_.largest_body) {
    OnBadRequest(http_status::kContentTooLarge);
    return;
  }
  const auto hooks = current_->on();
  if (hooks->on_body) {
    hooks->on_body(bytes);
  }
}

void http_server::session::OnRequestEnd() {
  request_done_ = true;
  if (!current_) {
    return;
  }
  const auto hooks = current_->on();
  if (hooks->on_body_end) {
    hooks->on_body_end();
  }
}

void http_server::session::OnDrained() {
  if (!current_) {
    return;
  }
  const auto hooks = current_->on();
  if (hooks->on_drained) {
    hooks->on_drained();
  }
}

void http_server::session::OnGone() {
  const auto ended = current_;
  End();
  if (!ended) {
    return;
  }
  ended->MarkGone();
  const auto hooks = ended->on();
  if (hooks->on_client_gone) {
    hooks->on_client_gone();
  }
}

void http_server::session::OnBadRequest(int status) {
  const auto ended = current_;
  EndExchange();
  if (ended && ended->head_sent()) {
    Break();
  } else {
    http_head answer;
    answer.status = status;
    answer.reason = http_status::ReasonOf(status);
    answer.framing = body_framing::kLength;
    connection_->Write(answer.ToResponseText(true));
    Linger();
  }
  if (ended) {
    ended->MarkGone();
    const auto hooks = ended->on();
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
    --server->requests;
  }
}

void http_server::session::Linger() {
  lingering_ = true;
  connection_->FinishWriting();
  connection_->ResumeReading();
  timer_.StartOnce(kLinger, [this] { End(); });
}

void http_server::session::SendHead(const exchange& from, http_head response) {
  const auto server = server_.lock();
  // What is left of a request's body is read and dropped where it is sure to end
  // soon; a client may go on for long, and its connection closes.
  const bool body_ends_soon = server && server->chosen.handler_continues;
  close_after_ = close_after_ || (!request_done_ && !body_ends_soon) ||
                 (server && server->draining) || response.framing == body_framing::kUntilClose;
  answer_framing_ = from.request().method == "HEAD" ? body_framing::kNone : response.framing;
  connection_->Write(response.ToResponseText(close_after_));
}

void http_server::session::SendBody(std::string_view bytes) {
  if (bytes.empty() || answer_framing_ == body_framing::kNone) {
    return;
  }
  if (answer_framing_ == body_framing::kChunked) {
    connection_->Write(ToChunk(bytes));
  } else {
    connection_->Write(bytes);
  }
}

void http_server::session::Finish() {
  const auto keep = shared_from_this();
  if (answer_framing_ == body_framing::kChunked) {
    connection_->Write(kLastChunk);
  }
  EndExchange();
  if (close_after_) {
    Linger();
    return;
  }
  AwaitRequest();
  connection_->ResumeReading();
  std::string waiting;
  waiting.swap(pending_);
  if (!waiting.empty()) {
    Feed(waiting);
  }
}

//==============================================================================
absl::StatusOr<std::unique_ptr<http_server>> http_server::Listen(event_loop& loop,
                                                                 options options) {
  auto made = std::make_shared<state>(loop, std::move(options));
  std::weak_ptr<state> weak = made;
  auto listener =
      tcp_listener::Listen(loop, made->chosen.at, made->chosen.silence_limit,
                           [weak](std::unique_ptr<tcp_connection> connection) {
                             const auto self = weak.lock();
                             if (!self) {
                               return;
                             }
                             auto session = std::make_shared<http_server::session>(
                                 self, self->loop, std::move(connection), self->chosen.limits);
                             self->sessions.emplace(session.get(), session);
                             session->Start();
                           });
  if (!listener.ok()) {
    return listener.status();
  }
  made->listener = std::move(*listener);
  return std::unique_ptr<http_server>(new http_server(std::move(made)));
}

http_server::~http_server() = default;

void http_server::SetLimits(const http_limits& limits) { state_->chosen.limits = limits; }

void http_server::Drain() {
  state_->draining = true;
  std::vector<std::shared_ptr<session>> open;
  for (const auto& [key, session] : state_->sessions) {
    open.push_back(session);
  }
  for (const auto& session : open) {
    session->CloseIfIdle();
  }
}

std::size_t http_server::open_requests() const { return state_->requests; }
endpoint http_server::at() const { return state_->listener->at(); }

}  // namespace cuminferry
