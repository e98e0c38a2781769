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
#include "cuminferry_policy/admission/recent_minimum.h"
#include "cuminferry_policy/rank/call_rank.h"

namespace cuminferry {

/** What the node knows from its start. */
struct fixed_section {
  std::uint32_t slots = 1;
  std::uint32_t queue_bound = 1024;
};

/** One row's limits, and its calls at this instance. */
struct row_record {
  std::string name;
  std::uint32_t target_limit = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t share = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /** Means over the calls that ended, in microseconds; 0: none ended yet. */
  double self_micros = 0;
  double hold_micros = 0;
  /** Self time in normal times, followed slowly. */
  double baseline_micros = 0;
  /** Calls of the row that ended, up to those that the baseline begins with. */
  std::uint32_t baseline_ends = 0;
  /** The hold time of the quickest calls of late, and when one last ended. */
  recent_minimum quickest;
  instant last_end;
  instant last_offer;
  /** Bit set over waits_section::callees: the services that its requests mostly call. */
  std::uint64_t callees = 0;

  std::uint32_t limit() const { return target_limit < share ? target_limit : share; }
};

struct rows_section {
  std::vector<row_record> rows;
};

/** A call that the backend server works on. */
struct running_call {
  static constexpr std::uint32_t kNoCallee = std::numeric_limits<std::uint32_t>::max();

  std::uint32_t row = 0;
  std::uint32_t epoch = 0;
  /** Place in waits_section::callees, or kNoCallee. */
  std::uint32_t callee = kNoCallee;
  /** Calls out that are outstanding. */
  std::uint32_t waits = 0;
  instant started;
  instant wait_began;
  duration waited{0};
};

/** The calls in the backend server. Bounded by its slots. */
struct calls_section {
  absl::flat_hash_map<std::uint64_t, running_call> running;
  /** Of them, those that wait for a call that they made. */
  std::uint32_t waiting = 0;
};

/** How much may run and how quickly it ends. */
struct limit_section {
  /** Most calls that use the backend server at once; waiting ones not counted. */
  double limit = 1;
  /** Raised whenever the limit was cut, so that calls started before are told apart. */
  std::uint32_t epoch = 0;
  /** Ends per second that the instance can bring about when it is busy. */
  double ends_per_second = 0;
  /** Means over ended calls of all rows, in microseconds. */
  double self_micros = 0;
  double hold_micros = 0;
};

/** The rank below which new requests are refused for this instance's own load. */
struct threshold_section {
  call_rank own;
};

/** What a callee service said of one of its rows, on replies to calls of all own rows. */
struct callee_row_record {
  static constexpr std::uint32_t kNoCallee = std::numeric_limits<std::uint32_t>::max();

  /** Replies of late that the threshold is the median of. */
  static constexpr std::size_t kReplies = 5;

  std::string callee_service;
  std::string callee_row;
  /** Place in waits_section::callees, or kNoCallee. */
  std::uint32_t callee = kNoCallee;
  std::array<call_rank, kReplies> thresholds;
  std::uint32_t replies = 0;
  call_rank median;
  instant last_reply;
  instant last_probe;
};

/** How often requests of one own row make one call. */
struct row_path {
  /** Place in paths_section::callee_rows. */
  std::uint32_t callee_row = 0;
  /** Calls over this path, forgotten together with row_paths::ended. */
  float calls = 0;
};

/** The calls out that requests of one row make. */
struct row_paths {
  static constexpr std::size_t kPathBound = 16;

  std::vector<row_path> paths;
  /** Requests of the row that ended, of late. */
  float ended = 0;
};

struct paths_section {
  /** Callee rows beyond these are called, but nothing is learned of them. */
  static constexpr std::size_t kCalleeRowBound = 256;

  std::vector<callee_row_record> callee_rows;
  std::vector<row_paths> rows;
};

/** Calls of all rows that wait on one callee service. */
struct callee_waits {
  std::string service;
  std::uint32_t waiting = 0;
  /** Until when its part of the slots is bounded. */
  instant bounded_until;
};

struct waits_section {
  static constexpr std::size_t kCalleeBound = 64;

  std::vector<callee_waits> callees;
  /** Bit sets over callees: those whose part of the slots is bounded, and of
      them those that have it in full. */
  std::uint64_t bounded = 0;
  std::uint64_t full = 0;

  /** The place of a service; a new one where it was not known. callee_row_record::kNoCallee
      where all are taken. */
  std::uint32_t PlaceOf(std::string_view service);
};

/** What the controllers of one instance's admission read and write. They never
    call each other; admission_controller runs them one after another, under
    the one lock that the node holds (lock_rank::kAdmission). */
struct admission_blackboard {
  fixed_section fixed;
  rows_section rows;
  calls_section calls;
  rank_queue queue;
  offered_load offered;
  /** Of the queued calls, those whose row is bounded; see IsBounded(). */
  std::size_t queued_apart = 0;
  limit_section limit;
  threshold_section threshold;
  paths_section paths;
  waits_section waits;

  std::uint32_t running() const { return static_cast<std::uint32_t>(calls.running.size()); }
  /** Calls that use the backend server now, those that wait for others left out. */
  std::uint32_t active() const { return running() - calls.waiting; }
  /** Whether calls of the row wait apart, for a bounded part of the slots. */
  bool IsBounded(std::uint32_t row) const { return (rows.rows[row].callees & waits.bounded) != 0; }
  /** Queued calls that wait for the slots in common. The count of those apart is
      made anew with each tick, and may be above the truth in between. */
  std::size_t queued_together() const {
    return queue.size() - (queued_apart < queue.size() ? queued_apart : queue.size());
  }
  bool HasRoom() const {
    return running() < fixed.slots && active() < static_cast<std::uint32_t>(limit.limit);
  }
};

}  // namespace cuminferry
