#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/ids/identifiers.h"
#include "cuminferry_core/result/result_code.h"
#include "cuminferry_core/time/hybrid_clock.h"

namespace cuminferry {

/** The kind of an event on the time line. */
enum class event_kind : std::uint8_t {
  kStarted,           ///< the process started
  kDraining,          ///< the process takes no new work
  kStopped,           ///< the process has no requests in flight and exits
  kTableInForce,      ///< a table version came into force
  kTableRejected,     ///< a table version was rejected for the reason in `code`
  kMemberUp,          ///< an instance became eligible for work
  kMemberDown,        ///< an instance does not answer
  kMemberLeaving,     ///< an instance is draining, as announced or observed
  kConnectionSilent,  ///< the peer of a connection stopped answering
  kPauseNoticed,      ///< this process was paused and continued late
  kRequestEntered,    ///< a request was admitted by its ingress node (sampled)
  kCallAdmitted,      ///< a call was passed to the backend server (sampled)
  kCallRefused,       ///< a call was refused for the reason in `code` (sampled)
  kCallCompleted,     ///< a call completed (sampled)
  kCallUnknown,       ///< the outcome of a call is unknown
  kThresholdMoved,    ///< the rank below which calls are refused changed
  kLimitMoved,        ///< the concurrency limit changed
  kTicketRefused,     ///< a ticket was refused for the reason in `code`
  kShareLent,         ///< part of a fleet-wide limit was lent
  kPlatformLost,      ///< the configuration service stopped answering
  kPlatformBack,      ///< the configuration service answers again
};

/** Returns the stable name of a kind, which `ctl timeline` prints and filters by. */
std::string_view NameOf(event_kind kind);

/** One event on the time line. */
struct timeline_event {
  hybrid_time when;
  event_kind kind = event_kind::kStarted;
  result_code code = result_code::kOk;
  /** The request that the event belongs to; zero if it belongs to none. */
  request_id request;
  /** The name of the row, service or instance that the event concerns. */
  std::string subject;
  /** A version, limit or rank, depending on the kind. */
  std::int64_t value = 0;
};

/** A bounded in-memory log of the events of one process. Thread-safe.

    When the log is full, the oldest event is dropped. Nothing is written to a disk.
*/
class event_log {
 public:
  explicit event_log(std::size_t max_events = 4096);
  ~event_log();

  /** Adds an event and sets its time to the next hybrid time. */
  void Add(timeline_event event);

  /** Advances the clock past the time in a message from another process. */
  void Observe(hybrid_time received);

  /** Returns the current hybrid time, to be sent with a message. */
  hybrid_time Now();

  /** Returns the events, oldest first. */
  std::vector<timeline_event> Snapshot() const;

  /** Returns the number of events dropped because the log was full. */
  std::uint64_t dropped() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
