#include "soak/loopback_proxy.h"

#include <deque>
#include <stdexcept>
#include <string>
#include <utility>

namespace cuminferry::testing {
namespace {

constexpr duration kConnectTimeout = std::chrono::seconds(5);
// Longer than any run, so that the proxy itself never closes a silent connection.
constexpr duration kSilenceTimeout = std::chrono::seconds(120);
constexpr duration kDeliveryPeriod = std::chrono::milliseconds(5);

}  // namespace

/** One connection from a client and the matching connection to the server. */
class loopback_proxy::link : public std::enable_shared_from_this<loopback_proxy::link> {
 public:
  link(loopback_proxy& proxy, std::unique_ptr<tcp_connection> client)
      : proxy_(proxy), timer_(proxy.loop_) {
    to_client_.connection = std::move(client);
  }

  void Begin() {
    to_client_.connection->SetHooks(HooksOf(to_server_, to_client_));
    to_server_.connection =
        tcp_connection::Connect(proxy_.loop_, proxy_.server_, kConnectTimeout, kSilenceTimeout,
                                HooksOf(to_client_, to_server_));
    timer_.StartPeriodic(kDeliveryPeriod, [this] { Deliver(); });
  }

  void Silence() {
    to_server_.has_gap = true;
    to_client_.has_gap = true;
  }

  void Reset() {
    for (direction* each : {&to_server_, &to_client_}) {
      if (each->connection) {
        each->connection->ResetOnClose();
        each->connection.reset();
      }
    }
    RemoveLink();
  }

 private:
  struct delayed_bytes {
    instant due;
    std::string bytes;
  };
  /** Data that is to be delivered to one of the two connections. */
  struct direction {
    std::unique_ptr<tcp_connection> connection;
    std::deque<delayed_bytes> delayed;
    // The sender has closed or reset its connection; this connection follows after the bytes.
    bool is_closed = false;
    bool is_reset = false;
    // Bytes or a close were dropped: a stream with a gap delivers nothing more.
    bool has_gap = false;
  };

  tcp_connection::hooks HooksOf(direction& onward, direction& own) {
    return {.on_data =
                [this, &onward](std::string_view bytes) {
                  if (!IsLost(onward)) {
                    onward.delayed.push_back(
                        {proxy_.loop_.Now() + proxy_.fault_.delay, std::string(bytes)});
                    Deliver();
                  }
                },
            .on_end =
                [this, &onward, &own](close_reason end) {
                  own.connection.reset();
                  if (!IsLost(onward)) {
                    onward.is_closed = true;
                    onward.is_reset = end != close_reason::kClosed;
                  }
                  Deliver();
                },
            .on_writable = {},
            .on_connected = {}};
  }

  bool IsLost(direction& onward) const {
    const bool cut =
        &onward == &to_server_ ? proxy_.fault_.cut_to_server : proxy_.fault_.cut_to_client;
    onward.has_gap = onward.has_gap || cut;
    return onward.has_gap;
  }

  void Deliver() {
    const auto keep = shared_from_this();
    for (direction* each : {&to_server_, &to_client_}) {
      while (each->connection && !each->delayed.empty() &&
             each->delayed.front().due <= proxy_.loop_.Now()) {
        each->connection->Write(each->delayed.front().bytes);
        each->delayed.pop_front();
      }
      if (each->connection && each->is_closed && each->delayed.empty()) {
        if (each->is_reset) {
          each->connection->ResetOnClose();
          each->connection.reset();
        } else if (each->connection->unsent_bytes() == 0) {
          each->connection.reset();
        }
      }
    }
    if (!to_server_.connection && !to_client_.connection) {
      RemoveLink();
    }
  }

  void RemoveLink() {
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
loopback_proxy::loopback_proxy(event_loop& loop, const endpoint& listen_address,
                               const endpoint& server)
    : loop_(loop), server_(server) {
  auto listener = tcp_listener::Listen(
      loop, listen_address, kSilenceTimeout,
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
