#include "cuminferry_relay/path/backend_crash_detector.h"

#include <utility>

namespace cuminferry {
namespace {

// The backend server is on the same instance and refuses or accepts connections at once.
constexpr duration kConnectTimeout = std::chrono::milliseconds(100);
constexpr duration kSilenceTimeout = std::chrono::seconds(3);

}  // namespace

backend_crash_detector::backend_crash_detector(event_loop& loop, const endpoint& backend,
                                               std::uint64_t first_crash_id,
                                               crash_finding_hook on_finding)
    : loop_(loop),
      backend_(backend),
      next_crash_id_(first_crash_id),
      on_finding_(std::move(on_finding)),
      collect_timer_(loop),
      report_timer_(loop) {}

void backend_crash_detector::OnConnectionLost() {
  if (std::exchange(is_pending_, true)) {
    return;
  }
  collect_timer_.StartOnce(kCollectTime, [this] { TryToConnect(); });
}

void backend_crash_detector::TryToConnect() {
  attempted_at_ = loop_.Now();
  const auto on_attempt_failed = [this](close_reason crash_id) {
    // A connection that was not refused in time may have found the accept queue full.
    const bool in_time = loop_.Now() - attempted_at_ < kConnectTimeout;
    ReportFinding(crash_id == close_reason::kNotConnected && in_time);
  };
  attempt_ = tcp_connection::Connect(
      loop_, backend_, kConnectTimeout, kSilenceTimeout,
      {.on_data = {}, .on_end = on_attempt_failed, .on_writable = {}, .on_connected = [this] {
         ReportFinding(false);
       }});
}

// The connection is destroyed in a later iteration of the event loop, as this runs in one of its
// own hooks.
void backend_crash_detector::ReportFinding(bool has_crashed) {
  if (!std::exchange(is_pending_, false)) {
    return;
  }
  report_timer_.StartOnce(duration::zero(), [this, has_crashed] {
    attempt_.reset();
    if (!has_crashed) {
      is_crash_known_ = false;
    } else if (!std::exchange(is_crash_known_, true)) {
      crash_id_ = next_crash_id_++;
    }
    on_finding_({.has_crashed = has_crashed, .crash_id = crash_id_});
  });
}

}  // namespace cuminferry
