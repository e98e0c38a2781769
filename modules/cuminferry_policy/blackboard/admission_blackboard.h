#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/admission/offered_load.h"
#include "cuminferry_policy/admission/rank_queue.h"
#include "cuminferry_policy/admission/windowed_minimum.h"
#include "cuminferry_policy/rank/call_rank.h"

namespace cuminferry {

/** Properties that are fixed when the node starts. */
struct fixed_section {
  std::uint32_t slots = 1;
  std::uint32_t queue_bound = 1024;
};

/** Limits of one row, and its calls at this instance. */
struct row_record {
  std::string name;
  std::uint32_t target_limit = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t share = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /** Moving averages over finished calls, in microseconds; 0 before the first one. */
  double self_micros = 0;
  double hold_micros = 0;
  /** Self time under normal load, in microseconds; it follows longer self times slowly. */
  double baseline_micros = 0;
  /** Number of the row's finished calls, counted up to the number that the baseline starts from. */
  std::uint32_t baseline_samples = 0;
  /** Minimum hold time of the last calls. `last_finished` is the time at which a call last
      finished. */
  windowed_minimum min_hold;
  instant last_finished;
  instant last_offer;
  /** Bit set over the indexes of waits_section::callees: the services that the row's requests
      frequently call. */
  std::uint64_t frequent_callees = 0;

  std::uint32_t limit() const { return target_limit < share ? target_limit : share; }
};

struct rows_section {
  std::vector<row_record> rows;
};

/** A call that runs in the backend server. */
struct running_call {
  static constexpr std::uint32_t kNoCallee = std::numeric_limits<std::uint32_t>::max();

  std::uint32_t row = 0;
  std::uint32_t epoch = 0;
  /** Index in waits_section::callees, or kNoCallee. */
  std::uint32_t callee = kNoCallee;
  /** Number of calls that this call has made and that are still outstanding. */
  std::uint32_t outstanding_calls = 0;
  instant started;
  instant wait_started;
  duration waited{0};
};

/** The calls in the backend server. Their number is bounded by its slots. */
struct calls_section {
  absl::flat_hash_map<std::uint64_t, running_call> running;
  /** Number of running calls that wait for a call that they made. */
  std::uint32_t waiting = 0;
};

/** The concurrency limit and the rate at which calls finish. */
struct limit_section {
  /** Maximum number of calls that use the backend server concurrently, not counting the waiting
      ones. */
  double limit = 1;
  /** Incremented whenever a test of the limit enters a new stage. It identifies the calls that
      started before. */
  std::uint32_t epoch = 0;
  /** Calls per second that the instance can finish when it is busy. */
  double service_rate = 0;
  /** Moving averages over finished calls of all rows, in microseconds. */
  double self_micros = 0;
  double hold_micros = 0;
};

/** The thresholds below which new requests are refused because of this instance's own load. */
struct threshold_section {
  call_rank own;
  /** The rank above which the offered rate is about the rate of answers. It applies to requests
      whose callees refuse some calls. */
  call_rank answer_rate_threshold;
};

/** The thresholds that a callee service reported for one of its rows, in replies to calls of all
    rows of this node. */
struct callee_row_record {
  static constexpr std::uint32_t kNoCallee = std::numeric_limits<std::uint32_t>::max();

  /** Number of last replies of which the threshold is the median. */
  static constexpr std::size_t kMedianReplies = 5;

  std::string callee_service;
  std::string callee_row;
  /** Index in waits_section::callees, or kNoCallee. */
  std::uint32_t callee = kNoCallee;
  std::array<call_rank, kMedianReplies> thresholds;
  std::uint32_t replies = 0;
  call_rank median;
  instant last_reply;
  instant last_probe;
};

/** How often requests of one row of this node make one call. */
struct row_path {
  /** Index in paths_section::callee_rows. */
  std::uint32_t callee_row = 0;
  /** Number of calls over this path. It is halved together with row_paths::finished. */
  float calls = 0;
};

/** The calls that requests of one row make. */
struct row_paths {
  static constexpr std::size_t kMaxPaths = 16;

  std::vector<row_path> paths;
  /** Number of finished requests of the row; halved regularly, so that older requests lose their
      weight. */
  float finished = 0;
};

struct paths_section {
  /** Calls to further callee rows are still made, but their thresholds are not stored. */
  static constexpr std::size_t kMaxCalleeRows = 256;

  std::vector<callee_row_record> callee_rows;
  std::vector<row_paths> rows;
};

/** Calls of all rows that wait for one callee service. */
struct callee_waits {
  std::string service;
  std::uint32_t waiting = 0;
  /** Time until which the service's bulkhead may be active. */
  instant bulkhead_active_until;
};

struct waits_section {
  static constexpr std::size_t kMaxCallees = 64;

  std::vector<callee_waits> callees;
  /** Bit sets over the indexes of `callees`: the services whose bulkhead is active, and those of
      them whose waiting calls have reached their maximum. */
  std::uint64_t bulkhead_active = 0;
  std::uint64_t bulkhead_full = 0;

  /** Returns the index of a service, which is added if it is new; callee_row_record::kNoCallee if
      there are kMaxCallees services already. */
  std::uint32_t FindOrAddCallee(std::string_view service);
};

/** The state that the controllers of one instance's admission share. They never call each other:
    admission_controller runs them one after another under the single lock that the node holds
    (lock_rank::kAdmission). */
struct admission_blackboard {
  fixed_section fixed;
  rows_section rows;
  calls_section calls;
  rank_queue queue;
  offered_load offered;
  /** Number of queued calls whose row is behind a bulkhead; see IsBehindBulkhead(). */
  std::size_t queued_behind_bulkhead = 0;
  limit_section limit;
  threshold_section threshold;
  paths_section paths;
  waits_section waits;

  std::uint32_t running() const { return static_cast<std::uint32_t>(calls.running.size()); }
  /** Returns the number of calls that use the backend server now, not counting those that wait for
      other calls. */
  std::uint32_t active() const { return running() - calls.waiting; }
  /** Returns whether calls of the row are queued separately, for a bounded fraction of the slots.
   */
  bool IsBehindBulkhead(std::uint32_t row) const {
    return (rows.rows[row].frequent_callees & waits.bulkhead_active) != 0;
  }
  /** Returns the number of queued calls that compete for all slots. queued_behind_bulkhead is
      recounted with each tick and may be too high in between. */
  std::size_t queued_outside_bulkheads() const {
    return queue.size() -
           (queued_behind_bulkhead < queue.size() ? queued_behind_bulkhead : queue.size());
  }
  bool HasCapacity() const {
    return running() < fixed.slots && active() < static_cast<std::uint32_t>(limit.limit);
  }
};

}  // namespace cuminferry
