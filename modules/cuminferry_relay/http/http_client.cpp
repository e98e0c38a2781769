#include "cuminferry_relay/http/http_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry {
namespace {

// An idle connection is not reused within this time before the server closes it: it is unknown
// whether a server processed a request that arrived while the server closed the connection.
constexpr duration kIdleCloseMargin = std::chrono::milliseconds(1500);

// The timeout that the server announced in its Keep-Alive field, or nullopt if there is none.
std::optional<duration> AnnouncedIdleTimeout(const http_head& head) {
  const std::string* field = head.Find("keep-alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  for (const std::string_view raw : SplitText(*field, ',')) {
    const std::string_view part = TrimBlanks(raw);
    constexpr std::string_view kTimeout = "timeout=";
    if (EqualsIgnoringCase(part.substr(0, kTimeout.size()), kTimeout)) {
      return ParseTime(part.substr(kTimeout.size()), std::chrono::seconds(1));
    }
  }
  return std::nullopt;
}

// A connection that has carried more repeatable requests is not reused, which bounds the memory for
// their ids.
constexpr std::size_t kMaxRepeatableRequests = 64;

std::size_t HashOf(std::string_view request_id) {
  return std::hash<std::string_view>()(request_id);
}

/** A connection and what it has carried. */
struct pooled_connection {
  std::unique_ptr<tcp_connection> connection;
  connection_use use;
  // Hashes of the ids of requests that must not be sent on this connection again.
  std::vector<std::size_t> repeatable_requests;

  bool HasMarked(std::string_view request_id) const {
    return std::ranges::find(repeatable_requests, HashOf(request_id)) != repeatable_requests.end();
  }
  bool MayCarry(std::string_view request_id) const {
    return request_id.empty() || !HasMarked(request_id);
  }
};

}  // namespace

std::string_view ToText(exchange_failure failure) {
  switch (failure) {
    case exchange_failure::kNotSent:
      return "not-sent";
    case exchange_failure::kInvalidAnswer:
      return "no-answer";
    case exchange_failure::kConnectionLost:
      break;
  }
  return "connection-lost";
}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
  struct idle_connection {
    pooled_connection pooled;
    instant since;
    instant use_until;
  };

  event_loop& loop;
  endpoint server;
  options config;
  std::vector<idle_connection> idle;
  std::uint64_t connections_opened = 0;

  state(event_loop& loop, const endpoint& server, options config)
      : loop(loop), server(server), config(config) {}

  // Takes the most recently used connection that may carry the request.
  std::optional<pooled_connection> TakeIdle(const send_options& wanted) {
    const instant now = loop.Now();
    for (auto at = idle.end(); at != idle.begin();) {
      --at;
      if (now >= at->use_until) {
        at = idle.erase(at);
      } else if (now - at->since > wanted.max_idle_time) {
        // Other requests may still use it, and those before it have been idle for longer.
        break;
      } else if (at->pooled.MayCarry(wanted.request_id)) {
        pooled_connection taken = std::move(at->pooled);
        taken.use.idle = now - at->since;
        idle.erase(at);
        return taken;
      }
    }
    return std::nullopt;
  }

  void AddIdle(pooled_connection pooled, std::optional<duration> announced_timeout) {
    const duration limit =
        announced_timeout ? *announced_timeout - kIdleCloseMargin : config.idle_timeout;
    if (limit <= duration::zero() || pooled.repeatable_requests.size() > kMaxRepeatableRequests) {
      return;
    }
    ++pooled.use.requests_before;
    tcp_connection* const connection = pooled.connection.get();
    const tcp_connection* key = connection;
    std::weak_ptr<state> weak = weak_from_this();
    const auto drop = [weak, key] {
      if (const auto self = weak.lock()) {
        self->RemoveIdle(key);
      }
    };
    // An idle connection is dropped when it receives any bytes, since they belong to no request.
    connection->SetHooks({.on_data =
                              [weak, key, drop](std::string_view bytes) {
                                if (const auto self = weak.lock()) {
                                  self->ReportStray(key, bytes);
                                }
                                drop();
                              },
                          .on_end = [drop](close_reason) { drop(); },
                          .on_writable = {},
                          .on_connected = {}});
    connection->ResumeReading();
    const instant now = loop.Now();
    idle.push_back({std::move(pooled), now, now + limit});
  }

  void ReportStray(const tcp_connection* key, std::string_view bytes) const {
    const auto found = std::ranges::find_if(idle, [key](const idle_connection& candidate) {
      return candidate.pooled.connection.get() == key;
    });
    if (found == idle.end() || !config.on_stray) {
      return;
    }
    const pooled_connection& pooled = found->pooled;
    connection_use use = pooled.use;
    use.idle = loop.Now() - found->since;
    config.on_stray({.connection = use,
                     .bytes = bytes,
                     .has_brought_rejection_of = [&pooled](std::string_view request_id) {
                       return pooled.HasMarked(request_id);
                     }});
  }

  void RemoveIdle(const tcp_connection* key) {
    std::erase_if(idle, [key](const idle_connection& candidate) {
      return candidate.pooled.connection.get() == key;
    });
  }
};

struct client_exchange::state {
  std::weak_ptr<http_client::state> pool;
  hooks callbacks;
  std::string request_id;
  pooled_connection pooled;
  connection_use use;
  std::unique_ptr<message_reader> reader;
  std::optional<duration> announced_idle_timeout;
  body_framing framing = body_framing::kNone;
  // Bytes of the body that are due, where its length is stated.
  std::uint64_t body_left = 0;
  bool body_finished = false;
  bool discarding_answer = false;
  bool has_discarded_answer = false;
  bool keep_alive = false;
  bool has_answer_head = false;
  bool ended_by_close = false;
  bool done = false;

  void Fail(exchange_failure failure) {
    if (done) {
      return;
    }
    done = true;
    pooled.connection->ResetOnClose();
    pooled.connection.reset();
    if (callbacks.on_failed) {
      callbacks.on_failed(failure);
    }
  }

  void ReportInvalid() const {
    const auto client = pool.lock();
    if (client && client->config.on_invalid) {
      client->config.on_invalid({.server = client->server,
                                 .connection = use,
                                 .request_id = request_id,
                                 .problem = reader->problem()});
    }
  }

  void OnData(const std::shared_ptr<state>& self, std::string_view bytes) {
    static_cast<void>(self);  // Keeps this object alive until the function returns.
    while (!bytes.empty() && !done) {
      const auto taken = reader->Read(bytes);
      if (done) {
        return;
      }
      if (!taken.ok()) {
        ReportInvalid();
        Fail(exchange_failure::kInvalidAnswer);
        return;
      }
      bytes.remove_prefix(std::min(*taken, bytes.size()));
      if (message_ended) {
        message_ended = false;
        OnMessageEnd(!bytes.empty());
      }
    }
  }

  void OnEnd(const std::shared_ptr<state>& self, close_reason end) {
    static_cast<void>(self);
    if (done) {
      return;
    }
    if (end == close_reason::kNotConnected) {
      Fail(exchange_failure::kNotSent);
      return;
    }
    if (end == close_reason::kClosed && reader->ReadEnd().ok() && message_ended) {
      message_ended = false;
      keep_alive = false;
      ended_by_close = true;
      OnMessageEnd(false);
      return;
    }
    Fail(exchange_failure::kConnectionLost);
  }

  void OnHead(http_head head) {
    discarding_answer = callbacks.is_matching_answer && !callbacks.is_matching_answer(head);
    if (discarding_answer) {
      has_discarded_answer = true;
      return;
    }
    has_answer_head = true;
    keep_alive = head.keep_alive && head.framing != body_framing::kUntilClose;
    announced_idle_timeout = AnnouncedIdleTimeout(head);
    if (callbacks.on_head) {
      callbacks.on_head(std::move(head));
    }
  }

  void OnMessageEnd(bool bytes_follow) {
    if (discarding_answer) {
      discarding_answer = false;
      return;
    }
    done = true;
    const auto client = pool.lock();
    if (client && keep_alive && body_finished && !bytes_follow && !has_discarded_answer &&
        pooled.connection->connected()) {
      client->AddIdle(std::move(pooled), announced_idle_timeout);
    }
    pooled.connection.reset();
    if (callbacks.on_end) {
      callbacks.on_end();
    }
  }

  bool message_ended = false;
};

client_exchange::~client_exchange() { Cancel(); }

void client_exchange::SendBody(std::string_view bytes) {
  if (state_->done || bytes.empty()) {
    return;
  }
  if (state_->framing == body_framing::kChunked) {
    state_->pooled.connection->Write(ToChunk(bytes));
    return;
  }
  // More than was stated would be taken for the next request.
  bytes = bytes.substr(0, state_->body_left);
  state_->body_left -= bytes.size();
  state_->pooled.connection->Write(bytes);
}

void client_exchange::FinishBody() {
  // Where bytes of the stated length are due, the next request would be taken for them.
  if (state_->done || state_->body_finished || state_->body_left > 0) {
    return;
  }
  state_->body_finished = true;
  if (state_->framing == body_framing::kChunked) {
    state_->pooled.connection->Write(kLastChunk);
  }
}

void client_exchange::PauseAnswer() {
  if (!state_->done) {
    state_->pooled.connection->PauseReading();
  }
}

void client_exchange::ResumeAnswer() {
  if (!state_->done) {
    state_->pooled.connection->ResumeReading();
  }
}

void client_exchange::Cancel() {
  if (!state_->done) {
    state_->done = true;
    state_->pooled.connection.reset();
  }
}

void client_exchange::MarkRepeatable() {
  if (!state_->done) {
    state_->pooled.repeatable_requests.push_back(HashOf(state_->request_id));
  }
}

const connection_use& client_exchange::connection() const { return state_->use; }

bool client_exchange::HasBroughtRejectionOf(std::string_view request_id) const {
  return state_->pooled.HasMarked(request_id);
}
bool client_exchange::ended_by_close() const { return state_->ended_by_close; }

std::size_t client_exchange::unsent_bytes() const {
  return state_->done ? 0 : state_->pooled.connection->unsent_bytes();
}

//==============================================================================
http_client::http_client(event_loop& loop, const endpoint& server, options options)
    : state_(std::make_shared<state>(loop, server, options)) {}

http_client::~http_client() = default;

std::unique_ptr<client_exchange> http_client::Send(const http_head& request,
                                                   const send_options& options,
                                                   client_exchange::hooks hooks) {
  auto new_exchange = std::make_shared<client_exchange::state>();
  new_exchange->pool = state_;
  new_exchange->callbacks = std::move(hooks);
  new_exchange->request_id = options.request_id;
  new_exchange->framing = request.framing;
  new_exchange->body_left = request.framing == body_framing::kLength ? request.length : 0;
  std::weak_ptr<client_exchange::state> weak = new_exchange;
  new_exchange->reader = std::make_unique<message_reader>(
      message_reader::kind::kResponses, state_->config.max_head_bytes,
      message_reader::hooks{.on_head =
                                [weak](http_head head) {
                                  if (const auto self = weak.lock()) {
                                    self->OnHead(std::move(head));
                                  }
                                },
                            .on_interim =
                                [weak](int status) {
                                  const auto self = weak.lock();
                                  if (self && !self->done && self->callbacks.on_interim) {
                                    self->callbacks.on_interim(status);
                                  }
                                },
                            .on_body =
                                [weak](std::string_view bytes) {
                                  const auto self = weak.lock();
                                  if (self && !self->discarding_answer && !self->done &&
                                      self->callbacks.on_body) {
                                    self->callbacks.on_body(bytes);
                                  }
                                },
                            .on_message_end =
                                [weak] {
                                  if (const auto self = weak.lock()) {
                                    self->message_ended = true;
                                  }
                                }});
  new_exchange->reader->ExpectNoBody(request.method == "HEAD");
  tcp_connection::hooks connection_hooks{.on_data =
                                             [weak](std::string_view bytes) {
                                               if (const auto self = weak.lock()) {
                                                 self->OnData(self, bytes);
                                               }
                                             },
                                         .on_end =
                                             [weak](close_reason end) {
                                               if (const auto self = weak.lock()) {
                                                 self->OnEnd(self, end);
                                               }
                                             },
                                         .on_writable =
                                             [weak] {
                                               const auto self = weak.lock();
                                               if (self && self->callbacks.on_writable) {
                                                 self->callbacks.on_writable();
                                               }
                                             },
                                         .on_connected = {}};
  if (auto idle = state_->TakeIdle(options)) {
    new_exchange->pooled = std::move(*idle);
    new_exchange->pooled.connection->SetHooks(std::move(connection_hooks));
  } else {
    new_exchange->pooled.connection =
        tcp_connection::Connect(state_->loop, state_->server, state_->config.connect_timeout,
                                state_->config.silence_timeout, std::move(connection_hooks));
    new_exchange->pooled.use.number = ++state_->connections_opened;
  }
  new_exchange->use = new_exchange->pooled.use;
  new_exchange->pooled.connection->Write(request.ToRequestText());
  return std::unique_ptr<client_exchange>(new client_exchange(std::move(new_exchange)));
}

void http_client::CloseIdleConnections() { state_->idle.clear(); }

}  // namespace cuminferry
