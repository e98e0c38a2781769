#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/event_queue.h"

namespace cuminferry::testing {

/** One kind of requests for the backend server of a queue_world. */
struct queue_row {
  std::uint32_t priority = 0;
  bool nested = false;
  duration run_time{};
  duration objective{};
  duration deadline{};
  /** Share of the load in slot time. */
  double load_share = 0.0;
};

struct queue_row_count {
  int offered = 0;
  int served = 0;
  /** Served within the objective. */
  int in_time = 0;
};

/** One backend server in virtual time, behind a slot_gate that gets more requests than it can run.
    Refused requests don't come back. */
class queue_world {
 public:
  struct settings {
    queue_order order = queue_order::kImportance;
    std::uint32_t slots = 16;
    /** Offered slot time, divided by that of the slots. */
    double load = 1.0;
    std::uint64_t seed = 1;
  };

  queue_world(const settings& how, std::vector<queue_row> rows);

  void Run(duration span);

  const std::vector<queue_row>& rows() const { return rows_; }
  const std::vector<queue_row_count>& counts() const { return counts_; }
  queue_row_count CountWhere(const std::function<bool(const queue_row&)>& holds) const;
  /** Fraction of the slot time that was spent on requests which ended in time: within their
      objectives, and nested calls within their deadlines. */
  double useful_utilization() const;
  slot_gate& gate() { return gate_; }
  event_queue& events() { return events_; }

 private:
  struct request {
    std::size_t row = 0;
    instant arrived;
  };

  void ScheduleArrival(std::size_t row);
  void Arrive(std::size_t row);
  void Start(std::uint64_t id);
  void OnQueueChanged();
  void Step();

  settings settings_;
  std::vector<queue_row> rows_;
  std::vector<queue_row_count> counts_;
  random_source random_;
  event_queue events_;
  slot_gate gate_;
  std::unordered_map<std::uint64_t, request> requests_;
  std::uint64_t last_id_ = 0;
  double useful_micros_ = 0.0;
};

/** Returns rows with random priorities, objectives, run times and shares of the load. */
std::vector<queue_row> RandomRows(random_source& random);

}  // namespace cuminferry::testing
