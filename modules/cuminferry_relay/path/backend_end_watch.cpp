#include "cuminferry_relay/path/backend_end_watch.h"

#include <utility>

namespace cuminferry {
namespace {

// On the same instance: refused or accepted at once.
constexpr duration kConnectLimit = std::chrono::milliseconds(100);
constexpr duration kSilenceLimit = std::chrono::seconds(3);

}  // namespace

backend_end_watch::backend_end_watch(event_loop& loop, const endpoint& backend,
                                     std::uint64_t first_end, finding_hook on_found)
    : loop_(loop),
      backend_(backend),
      next_end_(first_end),
      on_found_(std::move(on_found)),
      gather_timer_(loop),
      tell_timer_(loop) {}

void backend_end_watch::OnConnectionLost() {
  if (std::exchange(asked_, true)) {
    return;
  }
  gather_timer_.StartOnce(kGatherTime, [this] { TryToConnect(); });
}

void backend_end_watch::TryToConnect() {
  tried_at_ = loop_.Now();
  const auto refused = [this](connection_end end) {
    // One that is not answered may have found the accept queue full.
    const bool in_time = loop_.Now() - tried_at_ < kConnectLimit;
    Tell(end == connection_end::kNotConnected && in_time);
  };
  trial_ = tcp_connection::Connect(
      loop_, backend_, kConnectLimit, kSilenceLimit,
      {.on_data = {}, .on_end = refused, .on_drained = {}, .on_connected = [this] {
         Tell(false);
       }});
}

// The connection is let go outside of its own hook.
void backend_end_watch::Tell(bool has_ended) {
  if (!std::exchange(asked_, false)) {
    return;
  }
  tell_timer_.StartOnce(duration::zero(), [this, has_ended] {
    trial_.reset();
    if (!has_ended) {
      end_is_known_ = false;
    } else if (!std::exchange(end_is_known_, true)) {
      end_ = next_end_++;
    }
    on_found_({.has_ended = has_ended, .end = end_});
  });
}

}  // namespace cuminferry
