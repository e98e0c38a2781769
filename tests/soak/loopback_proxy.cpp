#include "soak/loopback_proxy.h"

#include <deque>
#include <stdexcept>
#include <string>
#include <utility>

namespace cuminferry::testing {
namespace {

constexpr duration kConnectLimit = std::chrono::seconds(5);
// Longer than any run: the proxy itself never finds a connection silent.
constexpr duration kSilenceLimit = std::chrono::seconds(120);
constexpr duration kTick = std::chrono::milliseconds(5);

}  // namespace

/** One client's connection and the one to the server that carries it on. */
class loopback_proxy::link : public std::enable_shared_from_this<loopback_proxy::link> {
 public:
  link(loopback_proxy& proxy, std::unique_ptr<tcp_connection> client)
      : proxy_(proxy), timer_(proxy.loop_) {
    to_client_.connection = std::move(client);
  }

  void Begin() {
    to_client_.connection->SetHooks(HooksOf(to_server_, to_client_));
    to_server_.connection = tcp_connection::Connect(proxy_.loop_, proxy_.server_, kConnectLimit,
                                                    kSilenceLimit, HooksOf(to_client_, to_server_));
    timer_.StartPeriodic(kTick, [this] { Deliver(); });
  }

  void Silence() {
    to_server_.lost = true;
    to_client_.lost = true;
  }

  void Reset() {
    for (direction* one : {&to_server_, &to_client_}) {
      if (one->connection) {
        one->connection->ResetOnClose();
        one->connection.reset();
      }
    }
    End();
  }

 private:
  struct held_bytes {
    instant due;
    std::string bytes;
  };
  /** Bytes on their way to one end. */
  struct direction {
    std::unique_ptr<tcp_connection> connection;
    std::deque<held_bytes> held;
    // The sender has closed or broken off; told to this end after the bytes.
    bool ends = false;
    bool breaks = false;
    // Bytes or an end were lost: a stream with a gap carries nothing more.
    bool lost = false;
  };

  tcp_connection::hooks HooksOf(direction& onward, direction& own) {
    return {.on_data =
                [this, &onward](std::string_view bytes) {
                  if (!IsLost(onward)) {
                    onward.held.push_back(
                        {proxy_.loop_.Now() + proxy_.fault_.delay, std::string(bytes)});
                    Deliver();
                  }
                },
            .on_end =
                [this, &onward, &own](close_reason end) {
                  own.connection.reset();
                  if (!IsLost(onward)) {
                    onward.ends = true;
                    onward.breaks = end != close_reason::kClosed;
                  }
                  Deliver();
                },
            .on_writable = {},
            .on_connected = {}};
  }

  bool IsLost(direction& onward) const {
    const bool cut =
        &onward == &to_server_ ? proxy_.fault_.cut_to_server : proxy_.fault_.cut_to_client;
    onward.lost = onward.lost || cut;
    return onward.lost;
  }

  void Deliver() {
    const auto keep = shared_from_this();
    for (direction* one : {&to_server_, &to_client_}) {
      while (one->connection && !one->held.empty() && one->held.front().due <= proxy_.loop_.Now()) {
        one->connection->Write(one->held.front().bytes);
        one->held.pop_front();
      }
      if (one->connection && one->ends && one->held.empty()) {
        if (one->breaks) {
          one->connection->ResetOnClose();
          one->connection.reset();
        } else if (one->connection->unsent_bytes() == 0) {
          one->connection.reset();
        }
      }
    }
    if (!to_server_.connection && !to_client_.connection) {
      End();
    }
  }

  void End() {
    timer_.Stop();
    const auto keep = shared_from_this();
    proxy_.links_.erase(this);
  }

  loopback_proxy& proxy_;
  loop_timer timer_;
  direction to_server_;
  direction to_client_;
};

//==============================================================================
loopback_proxy::loopback_proxy(event_loop& loop, const endpoint& at, const endpoint& server)
    : loop_(loop), server_(server) {
  auto listener = tcp_listener::Listen(
      loop, at, kSilenceLimit,
      [this](std::unique_ptr<tcp_connection> client) { OnAccept(std::move(client)); });
  if (!listener.ok()) {
    throw std::runtime_error(std::string(listener.status().message()));
  }
  listener_ = std::move(*listener);
}

loopback_proxy::~loopback_proxy() {
  listener_.reset();
  const auto links = std::move(links_);
}

void loopback_proxy::OnAccept(std::unique_ptr<tcp_connection> client) {
  if (fault_.resets_new) {
    client->ResetOnClose();
    return;
  }
  auto made = std::make_shared<link>(*this, std::move(client));
  links_.emplace(made.get(), made);
  made->Begin();
}

void loopback_proxy::ResetOpen() {
  const auto links = links_;
  for (const auto& [key, open] : links) {
    open->Reset();
  }
}

void loopback_proxy::SilenceOpen() {
  for (const auto& [key, open] : links_) {
    open->Silence();
  }
}

}  // namespace cuminferry::testing
