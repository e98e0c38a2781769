#include "cuminferry_relay/http/http_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry {
namespace {

// A kept connection is left alone this long before the server would close it:
// a request that crosses the close has an unknown fate.
constexpr duration kIdleMargin = std::chrono::milliseconds(1500);

// The seconds that a Keep-Alive field promises; zero where it promises none.
std::optional<duration> PromisedIdle(const http_head& head) {
  const std::string* field = head.Find("keep-alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  for (const std::string_view raw : SplitText(*field, ',')) {
    const std::string_view part = TrimBlanks(raw);
    constexpr std::string_view kTimeout = "timeout=";
    if (EqualsIgnoringCase(part.substr(0, kTimeout.size()), kTimeout)) {
      const auto seconds = ParseDecimal(part.substr(kTimeout.size()));
      return seconds ? std::optional<duration>(std::chrono::seconds(*seconds)) : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
  struct idle_connection {
    std::unique_ptr<tcp_connection> connection;
    instant since;
    instant use_until;
  };

  event_loop& loop;
  endpoint server;
  options chosen;
  std::vector<idle_connection> idle;

  state(event_loop& loop, const endpoint& server, options chosen)
      : loop(loop), server(server), chosen(chosen) {}

  std::unique_ptr<tcp_connection> TakeIdle(duration longest_idle) {
    const instant now = loop.Now();
    while (!idle.empty()) {
      idle_connection last = std::move(idle.back());
      idle.pop_back();
      if (now < last.use_until && now - last.since <= longest_idle) {
        return std::move(last.connection);
      }
      if (now < last.use_until) {
        // The most recent one is too old for this request, not for others.
        idle.push_back(std::move(last));
        return nullptr;
      }
    }
    return nullptr;
  }

  void Keep(std::unique_ptr<tcp_connection> connection, std::optional<duration> promised) {
    const duration limit = promised ? *promised - kIdleMargin : chosen.idle_limit;
    if (limit <= duration::zero()) {
      return;
    }
    const tcp_connection* key = connection.get();
    std::weak_ptr<state> weak = weak_from_this();
    const auto drop = [weak, key] {
      if (const auto self = weak.lock()) {
        self->Drop(key);
      }
    };
    // Nothing is due on an idle connection: bytes belong to no request.
    connection->SetHooks({.on_data = [drop](std::string_view) { drop(); },
                          .on_end = [drop](connection_end) { drop(); },
                          .on_drained = {},
                          .on_connected = {}});
    connection->ResumeReading();
    const instant now = loop.Now();
    idle.push_back({std::move(connection), now, now + limit});
  }

  void Drop(const tcp_connection* key) {
    std::erase_if(idle,
                  [key](const idle_connection& kept) { return kept.connection.get() == key; });
  }
};

struct client_exchange::state {
  std::weak_ptr<http_client::state> pool;
  hooks on;
  std::unique_ptr<tcp_connection> connection;
  std::unique_ptr<message_reader> reader;
  std::optional<duration> promised_idle;
  bool chunked = false;
  bool body_finished = false;
  bool skipping = false;
  bool skipped_one = false;
  bool keep_alive = false;
  bool reading_answer = false;
  bool done = false;

  void Fail(exchange_failure failure) {
    if (done) {
      return;
    }
    done = true;
    connection->ResetOnClose();
    connection.reset();
    if (on.on_failed) {
      on.on_failed(failure);
    }
  }

  void OnData(const std::shared_ptr<state>& keep, std::string_view bytes) {
    static_cast<void>(keep);  // Alive until this returns.
    while (!bytes.empty() && !done) {
      const auto taken = reader->Read(bytes);
      if (done) {
        return;
      }
      if (!taken.ok()) {
        Fail(exchange_failure::kDamaged);
        return;
      }
      bytes.remove_prefix(std::min(*taken, bytes.size()));
      if (message_ended) {
        message_ended = false;
        OnMessageEnd(!bytes.empty());
      }
    }
  }

  void OnEnd(const std::shared_ptr<state>& keep, connection_end end) {
    static_cast<void>(keep);
    if (done) {
      return;
    }
    if (end == connection_end::kNotConnected) {
      Fail(exchange_failure::kNotSent);
      return;
    }
    if (end == connection_end::kClosed && reader->ReadEnd().ok() && message_ended) {
      message_ended = false;
      keep_alive = false;
      OnMessageEnd(false);
      return;
    }
    Fail(exchange_failure::kBroken);
  }

  void OnHead(http_head head) {
    skipping = on.is_answer && !on.is_answer(head);
    if (skipping) {
      skipped_one = true;
      return;
    }
    reading_answer = true;
    keep_alive = head.keep_alive && head.framing != body_framing::kUntilClose;
    promised_idle = PromisedIdle(head);
    if (on.on_head) {
      on.on_head(std::move(head));
    }
  }

  void OnMessageEnd(bool bytes_follow) {
    if (skipping) {
      skipping = false;
      return;
    }
    done = true;
    const auto keeper = pool.lock();
    if (keeper && keep_alive && body_finished && !bytes_follow && !skipped_one &&
        connection->connected()) {
      keeper->Keep(std::move(connection), promised_idle);
    }
    connection.reset();
    if (on.on_end) {
      on.on_end();
    }
  }

  bool message_ended = false;
};

client_exchange::~client_exchange() { Cancel(); }

void client_exchange::SendBody(std::string_view bytes) {
  if (state_->done || bytes.empty()) {
    return;
  }
  if (state_->chunked) {
    state_->connection->Write(ToChunk(bytes));
  } else {
    state_->connection->Write(bytes);
  }
}

void client_exchange::FinishBody() {
  if (state_->done || state_->body_finished) {
    return;
  }
  state_->body_finished = true;
  if (state_->chunked) {
    state_->connection->Write(kLastChunk);
  }
}

void client_exchange::PauseAnswer() {
  if (!state_->done) {
    state_->connection->PauseReading();
  }
}

void client_exchange::ResumeAnswer() {
  if (!state_->done) {
    state_->connection->ResumeReading();
  }
}

void client_exchange::Cancel() {
  if (!state_->done) {
    state_->done = true;
    state_->connection.reset();
  }
}

std::size_t client_exchange::unsent() const {
  return state_->done ? 0 : state_->connection->unsent();
}

//==============================================================================
http_client::http_client(event_loop& loop, const endpoint& server, options options)
    : state_(std::make_shared<state>(loop, server, options)) {}

http_client::~http_client() = default;

std::unique_ptr<client_exchange> http_client::Send(const http_head& request, duration longest_idle,
                                                   client_exchange::hooks hooks) {
  auto made = std::make_shared<client_exchange::state>();
  made->pool = state_;
  made->on = std::move(hooks);
  made->chunked = request.framing == body_framing::kChunked;
  std::weak_ptr<client_exchange::state> weak = made;
  made->reader = std::make_unique<message_reader>(
      message_reader::kind::kResponses, state_->chosen.largest_head,
      message_reader::hooks{.on_head =
                                [weak](http_head head) {
                                  if (const auto self = weak.lock()) {
                                    self->OnHead(std::move(head));
                                  }
                                },
                            .on_interim =
                                [weak](int status) {
                                  const auto self = weak.lock();
                                  if (self && !self->done && self->on.on_interim) {
                                    self->on.on_interim(status);
                                  }
                                },
                            .on_body =
                                [weak](std::string_view bytes) {
                                  const auto self = weak.lock();
                                  if (self && !self->skipping && !self->done && self->on.on_body) {
                                    self->on.on_body(bytes);
                                  }
                                },
                            .on_message_end =
                                [weak] {
                                  if (const auto self = weak.lock()) {
                                    self->message_ended = true;
                                  }
                                }});
  made->reader->ExpectNoBody(request.method == "HEAD");
  tcp_connection::hooks connection_hooks{.on_data =
                                             [weak](std::string_view bytes) {
                                               if (const auto self = weak.lock()) {
                                                 self->OnData(self, bytes);
                                               }
                                             },
                                         .on_end =
                                             [weak](connection_end end) {
                                               if (const auto self = weak.lock()) {
                                                 self->OnEnd(self, end);
                                               }
                                             },
                                         .on_drained =
                                             [weak] {
                                               const auto self = weak.lock();
                                               if (self && self->on.on_drained) {
                                                 self->on.on_drained();
                                               }
                                             },
                                         .on_connected = {}};
  made->connection = state_->TakeIdle(longest_idle);
  if (made->connection) {
    made->connection->SetHooks(std::move(connection_hooks));
  } else {
    made->connection =
        tcp_connection::Connect(state_->loop, state_->server, state_->chosen.connect_limit,
                                state_->chosen.silence_limit, std::move(connection_hooks));
  }
  made->connection->Write(request.ToRequestText());
  return std::unique_ptr<client_exchange>(new client_exchange(std::move(made)));
}

void http_client::DropIdle() { state_->idle.clear(); }

}  // namespace cuminferry
