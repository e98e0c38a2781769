#include "cuminferry_core/timeline/event_log.h"

#include <chrono>
#include <deque>

#include "cuminferry_core/threads/ranked_mutex.h"

namespace cuminferry {
namespace {

std::int64_t WallMicros() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

}  // namespace

std::string_view NameOf(event_kind kind) {
  switch (kind) {
    case event_kind::kStarted:
      return "started";
    case event_kind::kDraining:
      return "draining";
    case event_kind::kStopped:
      return "stopped";
    case event_kind::kTableInForce:
      return "table_in_force";
    case event_kind::kTableRejected:
      return "table_rejected";
    case event_kind::kMemberUp:
      return "member_up";
    case event_kind::kMemberDown:
      return "member_down";
    case event_kind::kMemberLeaving:
      return "member_leaving";
    case event_kind::kConnectionSilent:
      return "connection_silent";
    case event_kind::kPauseNoticed:
      return "pause_noticed";
    case event_kind::kRequestEntered:
      return "request_entered";
    case event_kind::kCallAdmitted:
      return "call_admitted";
    case event_kind::kCallRefused:
      return "call_refused";
    case event_kind::kCallCompleted:
      return "call_completed";
    case event_kind::kCallUnknown:
      return "call_unknown";
    case event_kind::kThresholdMoved:
      return "threshold_moved";
    case event_kind::kLimitMoved:
      return "limit_moved";
    case event_kind::kTicketRefused:
      return "ticket_refused";
    case event_kind::kShareLent:
      return "share_lent";
    case event_kind::kPlatformLost:
      return "platform_lost";
    case event_kind::kPlatformBack:
      return "platform_back";
  }
  return "invalid";
}

class event_log::state {
 public:
  explicit state(std::size_t max_events) : max_events_(max_events) {}

  void Add(timeline_event event) {
    ranked_lock lock(mutex_);
    event.when = clock_.Tick(WallMicros());
    if (events_.size() >= max_events_) {
      events_.pop_front();
      ++dropped_;
    }
    events_.push_back(std::move(event));
  }

  void Observe(hybrid_time received) {
    ranked_lock lock(mutex_);
    clock_.Observe(WallMicros(), received);
  }

  hybrid_time Now() {
    ranked_lock lock(mutex_);
    return clock_.Tick(WallMicros());
  }

  std::vector<timeline_event> Snapshot() {
    ranked_lock lock(mutex_);
    return {events_.begin(), events_.end()};
  }

  std::uint64_t dropped() {
    ranked_lock lock(mutex_);
    return dropped_;
  }

 private:
  const std::size_t max_events_;
  ranked_mutex mutex_{lock_rank::kEvents};
  hybrid_clock clock_ ABSL_GUARDED_BY(mutex_);
  std::deque<timeline_event> events_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
};

event_log::event_log(std::size_t max_events) : state_(std::make_unique<state>(max_events)) {}

event_log::~event_log() = default;

void event_log::Add(timeline_event event) { state_->Add(std::move(event)); }

void event_log::Observe(hybrid_time received) { state_->Observe(received); }

hybrid_time event_log::Now() { return state_->Now(); }

std::vector<timeline_event> event_log::Snapshot() const { return state_->Snapshot(); }

std::uint64_t event_log::dropped() const { return state_->dropped(); }

}  // namespace cuminferry
