#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/serving/waiting_order.h"

namespace cuminferry {

/** Order in which requests wait for a slot of the backend server. */
enum class queue_order : std::uint8_t {
  /** The one that has to start first goes first. */
  kDeadline,
  /** The most important goes first, and among equals the one that has to start first. */
  kImportance,
};

/** The requests that wait for a slot of the backend server, in the order in which they start.

    Where the load stays above the slots, the queue decides which requests are served at all. By
    deadline, a request with a short objective is served before one that matters more. By
    importance, requests are ordered by priority and then by their last useful start, with one
    exception: calls of running requests (nested calls) get at least kNestedShare of the starts that
    their part of the arrivals amounts to. Otherwise a surge of important new requests would starve
    them, and with them the work that their callers have done already.

    Each request is expected to start after those ahead of it, a nested call also by that share. A
    request that can't start in time either way is late and displaced. No request is displaced for
    the sake of a less important one of its kind. The class does no I/O and is not thread-safe.
*/
class request_queue {
 public:
  struct request {
    std::uint64_t id = 0;
    /** 0 for the most important requests. */
    std::uint32_t priority = 0;
    /** Whether it is a call of a running request. */
    bool nested = false;
    instant last_useful_start;
    instant arrived_at;
  };
  /** Time until the first start, and between two starts. */
  struct start_times {
    duration first{};
    double interval_micros = 0.0;
  };

  /** Share of the starts that is guaranteed to nested calls, divided by their share of the
      arrivals. Callers need half of the overall fraction of served requests; the rest allows for
      the error of the measured share. */
  static constexpr double kNestedShare = 0.6;
  /** Minimum guaranteed share, from which the expected wait of nested calls is computed. */
  static constexpr double kMinNestedShare = 0.01;
  /** Number of arrivals and starts over which shares are averaged. With half of the arrivals
      nested, the error is 0.025. */
  static constexpr double kMeanRequests = 200.0;
  /** Bound on the nested starts that are owed, and on those in advance. More starts in a row would
      occupy all slots of a small backend server. */
  static constexpr double kMaxOwedStarts = 4.0;

  //============================================================================
  /** Changes the order; waiting requests are sorted anew. */
  void SetOrder(queue_order order);
  queue_order order() const { return order_; }
  /** Records an arrival that can't start at once, whether it will wait or not. */
  void OnArrival(bool nested);
  void Add(const request& added);
  /** Returns the expected number of starts before that of an arriving request. */
  std::size_t StartsAhead(const request& arriving) const;

  /** Takes the request that starts next. */
  std::optional<request> TakeNext();
  /** Takes a request whose last useful start has passed. */
  std::optional<request> TakeExpired(instant now);
  /** Takes a request that can't start in time behind those ahead of it; by importance only. */
  std::optional<request> TakeLate(const start_times& starts, instant now);
  /** Takes the least important request. Nested calls up to their guaranteed share of the queue are
      taken last. */
  std::optional<request> TakeLeastImportant();
  std::optional<request> Take(std::uint64_t id);
  /** Returns the ids of all requests, that of the one that would start first in front. The
      guaranteed share of nested calls is left out. Costs as much as to sort them. */
  std::vector<std::uint64_t> IdsInOrder() const;

  //============================================================================
  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }
  std::size_t nested_count() const { return nested_count_; }
  /** Returns the earliest arrival of the waiting requests, the queue not being empty. */
  instant earliest_arrival() const;
  std::optional<instant> next_expiry() const { return all_.earliest_last_useful_start(); }

 private:
  waiting_order::entry EntryFor(const request& from) const;
  std::optional<request> TakeEntry(const waiting_order::entry* entry);
  double GuaranteedShare() const;
  bool is_by_importance() const { return order_ == queue_order::kImportance; }

  queue_order order_ = queue_order::kDeadline;
  waiting_order all_;
  // By importance only: the nested calls, which are in all_ too. A nested call is checked in all_
  // as long as it is expected to start in time in the order of all requests, and here otherwise.
  waiting_order nested_;
  std::size_t nested_count_ = 0;
  absl::flat_hash_map<std::uint64_t, request> requests_;
  std::size_t reserved_ = 0;
  double arrivals_ = 0.0;
  // Moving averages: nested calls among the arrivals, and starts out of order among the starts.
  double nested_arrival_share_ = 0.0;
  double out_of_order_share_ = 0.0;
  // Guaranteed starts of nested calls that are due; negative where more have started.
  double owed_nested_starts_ = 0.0;
};

}  // namespace cuminferry
