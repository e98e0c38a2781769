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

/** What an event on the time line is about. */
enum class event_kind : std::uint8_t {
  kStarted,           ///< the process began
  kDraining,          ///< it takes no new work
  kStopped,           ///< it has nothing in flight and ends
  kTableInForce,      ///< a table version came into force
  kTableRejected,     ///< a version was refused; code says why
  kMemberUp,          ///< an instance became eligible for work
  kMemberDown,        ///< an instance failed to answer
  kMemberLeaving,     ///< an instance said, or was seen, to be leaving
  kConnectionSilent,  ///< a connection stopped answering
  kPauseNoticed,      ///< this process woke up late
  kRequestEntered,    ///< a whole request was admitted at the entry (sampled)
  kCallAdmitted,      ///< a call was handed to the backend server (sampled)
  kCallRefused,       ///< a call was refused; code says why (sampled)
  kCallCompleted,     ///< a call completed (sampled)
  kCallUnknown,       ///< a call ended without certainty
  kThresholdMoved,    ///< the rank below which calls are refused changed
  kLimitMoved,        ///< the concurrency limit changed
  kTicketRefused,     ///< a ticket was refused; code says why
  kShareLent,         ///< part of a fleet-wide limit was lent
  kPlatformLost,      ///< the configuration service stopped answering
  kPlatformBack,      ///< the configuration service answers again
};

/** The stable name of a kind, as `ctl timeline` prints and filters it. */
std::string_view NameOf(event_kind kind);

/** One event on the time line. */
struct timeline_event {
  hybrid_time when;
  event_kind kind = event_kind::kStarted;
  result_code code = result_code::kOk;
  /** The request that it belongs to; zero where it belongs to none. */
  request_id request;
  /** What it is about: a row, a service, an instance. */
  std::string subject;
  /** A number that goes with the kind: a version, a limit, a rank. */
  std::int64_t value = 0;
};

/** The bounded ring of events of one process. Safe to use from all threads.

    Nothing is written to a disk; when the ring is full the oldest event goes.
*/
class event_log {
 public:
  explicit event_log(std::size_t bound = 4096);
  ~event_log();

  /** Adds an event and gives it the next hybrid time. */
  void Add(timeline_event event);

  /** Takes in the time of a message from another process. */
  void Observe(hybrid_time received);

  /** The current hybrid time, for sending along with a message. */
  hybrid_time Now();

  /** The events, oldest first. */
  std::vector<timeline_event> Snapshot() const;

  /** How many events the bound has pushed out. */
  std::uint64_t dropped() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
