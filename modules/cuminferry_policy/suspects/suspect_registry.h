#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/suspects/suspect_event.h"

namespace cuminferry {

/** How a request may run, given the crashes that it is suspected of. */
enum class suspect_status : std::uint8_t {
  kNotSuspected,
  /** The request ran at a backend server that crashed. It is isolated from other suspects. */
  kIsolated,
  /** The request crashes the backend servers that run it. It is not run. */
  kBlocked,
};

/** Identifies the request that crashes the backend servers that run it, among all requests that
    ran alongside it.

    Without this, a node or client that repeats such a request can crash every backend server of
    the service. A crash aborts all requests that the backend server runs, and all of them are
    repeated at the same moment. Running at a crash is therefore weak evidence: innocent requests
    meet the crashing request again at the next target. After a crash, all requests that ran there
    are suspects. Each is isolated from the others, and those that complete are cleared. If a
    backend server crashes while it runs just one suspect, that suspect is identified as the
    cause, unless many of the latest crashes happened without it: backend servers then also crash
    by themselves.

    The registry is the same at all nodes that have applied the same events, in any order.
    Entries expire, so that a repaired backend server receives the request again: one run at a
    time, at one target of the fleet.
    @see suspect_isolation
*/
class suspect_registry {
 public:
  /** A request that a backend server ran when it crashed. */
  struct running_request {
    request_digest digest;
    /** @see RouteHashOf */
    std::uint64_t route_hash = 0;
    /** Whether the request was a known suspect and was isolated from others. */
    bool isolated = false;
  };

  /** Minimum fraction of the recent crashes at which a request must have run to be identified as
      the only suspect of a crash. */
  static constexpr double kMinSoleSuspectFraction = 2.0 / 3.0;
  /** A request that was isolated at this many crashes, and ran at kMinIsolatedFraction of the
     recent ones, is identified whatever ran alongside it. */
  static constexpr std::size_t kMinIsolatedCrashes = 3;
  static constexpr double kMinIsolatedFraction = 1.0 / 3.0;
  /** How long a crash is remembered. A request that is sent rarely can only be identified by
      crashes that are minutes apart. */
  static constexpr duration kSuspicionTime = std::chrono::minutes(5);
  /** A crash doesn't count against a request that completed within this time before or after the
      crash. */
  static constexpr duration kClearanceWindow = std::chrono::seconds(1);
  /** Age up to which a crash counts as recent when a suspect's fraction of crashes is computed. */
  static constexpr duration kRecentCrashWindow = std::chrono::minutes(1);
  /** Maximum numbers of suspects, and of blocked requests among them. A flood of suspects must
      not evict the requests that were identified. */
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr std::size_t kMaxBlocked = 256;
  /** Maximum number of events that are stored, and sent to another node in one message. Further
     ones are not taken until some expire. */
  static constexpr std::size_t kMaxEvents = 16'384;
  /** Maximum number of requests announced for one crash: the slots of the largest backend servers
      in use. */
  static constexpr std::size_t kMaxRequestsPerCrash = 512;

  /** Records an event. Returns whether the event was new. */
  bool Apply(const suspect_event& event, instant now);
  /** Removes expired entries. */
  void Expire(instant now);

  suspect_status StatusOf(const request_digest& digest, instant now) const;
  /** Returns how many backend servers crashed while they ran the request. */
  std::size_t CrashCountOf(const request_digest& digest) const;
  bool empty() const { return records_.empty(); }
  /** Whether any suspect has this hash. Otherwise the body of a request need not be hashed. */
  bool HasRouteHash(std::uint64_t route_hash) const {
    return route_hash_counts_.contains(route_hash);
  }

  /** Returns the events to announce after the own backend server crashed, one for each request
      that it ran. */
  std::vector<suspect_event> EventsOfCrash(std::uint64_t crash_id,
                                           std::span<const running_request> running,
                                           instant now) const;
  /** Returns all stored events, for a node that may lack some of them. */
  std::vector<suspect_event> AllEvents(instant now) const;
  /** Equal at nodes that store the same crashes; 0 where no crash is stored. */
  std::uint64_t checksum() const { return checksum_; }
  /** Returns the number of suspects whose last crash is not before `since`. */
  std::size_t CountCrashedSince(instant since) const;
  std::size_t CountBlocked(instant now) const;

 private:
  struct crash_record {
    instant at{};
    bool isolated = false;
    bool identified = false;
  };
  struct record {
    std::uint64_t route_hash = 0;
    std::map<std::uint64_t, crash_record> crashes;
    // When the request last completed.
    std::optional<instant> cleared;

    instant last_crash() const;
    std::size_t isolated_crashes() const;
    bool is_identified() const;
  };
  using records = std::map<request_digest, record>;

  static std::optional<instant> BlockedUntil(const record& suspect);
  static instant ExpiryOf(const record& suspect);
  bool ApplyCrash(const suspect_event& event, instant at, instant now);
  bool ApplyClearance(const suspect_event& event, instant at, instant now);
  void ToggleChecksum(const request_digest& digest, std::uint64_t crash_id);
  bool HasRoomFor(const suspect_event& event) const;
  records::iterator EraseRecord(records::iterator at);
  void EvictSuspects(instant now);
  bool IsIdentified(const running_request& run, std::uint64_t crash_id, bool is_sole_suspect,
                    instant now) const;
  std::size_t CountSuspectsInCrash(std::uint64_t crash_id,
                                   const std::map<request_digest, running_request>& lost_runs,
                                   instant now) const;
  double FractionOfRecentCrashes(const record& suspect, std::uint64_t judged_crash,
                                 instant now) const;

  records records_;
  // Crashes of all records.
  std::size_t stored_events_ = 0;
  // Time of each crash by its id, whether or not its suspects were cleared since.
  std::map<std::uint64_t, instant> recent_crashes_;
  std::unordered_map<std::uint64_t, std::size_t> route_hash_counts_;
  std::uint64_t checksum_ = 0;
};

}  // namespace cuminferry
