#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** A call that requests of a row make. */
struct fake_callee {
  std::string service;
  std::string row;
  double probability = 1;
};

/** A row and the behaviour of its backend servers. */
struct fake_row {
  request_row row;
  double self_ms = 50;
  std::vector<fake_callee> calls;
};

/** Callers of one row whose arrivals don't depend on the replies. */
struct fake_load {
  std::string service;
  std::string row;
  double per_second = 0;
  instant from;
  instant until;
  std::uint32_t retries = 0;
  /** Delay after which callers retry, regardless of the reply's retry-after time; 0: callers wait
      for the retry-after time. */
  double impatient_ms = 0;
};

/** A node's admission controller and the fake backend server that it protects. */
struct fake_node {
  std::string service;
  std::unique_ptr<admission_controller> admission;
  double slow_factor = 1;
  std::uint32_t slots = 1;
  /** Number of concurrent requests above which the backend server slows down more than in
      proportion; 0: never. */
  std::uint32_t knee = 0;
  std::uint32_t busy_slots = 0;
  instant paused_until;
  std::string report;
  std::deque<std::function<void()>> backend_queue;
  std::map<call_key, std::shared_ptr<struct fake_call>> calls;
  admission_actions actions;
  std::uint32_t in_flight = 0;
  std::uint32_t peak_running = 0;
};

/** A set of nodes that are connected by links with a delay and run on a virtual clock. */
class scenario_world {
 public:
  using bucket_counts = std::map<std::int64_t, double>;
  static constexpr std::int64_t kBucketMicros = 50'000;

  explicit scenario_world(std::uint64_t seed) : random_(seed) {}

  std::string control = "full";
  duration link_delay{1500};

  void AddService(const std::string& name, std::uint32_t targets, std::uint32_t slots,
                  std::uint32_t knee = 0);
  void AddRow(const std::string& service, fake_row row);
  void AddLoad(const fake_load& load);
  void Schedule(instant when, std::function<void()> action);
  void RunUntil(instant end);

  std::vector<fake_node*> NodesOf(const std::string& service);
  instant now() const { return now_; }
  /** Returns the sum of a count over a period. */
  static double SumBetween(const bucket_counts& counts, instant from, instant until);

  /** Whole requests by row: the offered ones and the completed ones among them, both counted at the
      time of arrival; and the completed ones, counted at the time of completion. */
  std::map<std::string, bucket_counts> offered, completed_of_offered, completed;
  /** Attempts by weight that were admitted, and attempts that were refused because of load. */
  std::map<std::uint16_t, bucket_counts> admitted, refused;
  /** Seconds that backend servers worked: in total, and for attempts that failed. */
  bucket_counts work_seconds, wasted_work_seconds;

 private:
  struct event {
    instant when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  struct reply {
    bool succeeded = false;
    bool refused = false;
    call_rank threshold;
    double retry_ms = 0;
  };
  friend struct fake_call;

  void Tick();
  void GenerateArrivals(const fake_load& load);
  void StartAttempt(const fake_load& load, std::int64_t arrived, std::uint32_t tries);
  void Send(const std::string& service, const std::string& row, call_rank rank, instant deadline,
            std::shared_ptr<struct fake_attempt> attempt, std::function<void(reply)> done);
  void Offer(fake_node& node, const std::shared_ptr<fake_call>& call);
  void ApplyActions(fake_node& node);
  void RunHalfOfWork(const std::shared_ptr<fake_call>& call, bool last);
  void MakeNextCall(const std::shared_ptr<fake_call>& call, std::size_t next);
  void SendCall(const std::shared_ptr<fake_call>& call, std::size_t next, std::uint32_t tries);
  void FinishCall(const std::shared_ptr<fake_call>& call, run_result result);
  void Cancel(const std::shared_ptr<fake_attempt>& attempt);
  void SendReply(const std::shared_ptr<fake_call>& call, reply what);
  static std::int64_t BucketOf(instant when) { return ToMicros(when) / kBucketMicros; }

  random_source random_;
  instant now_ = FromMicros(1'000'000);
  std::uint64_t next_order_ = 0;
  call_key next_key_ = 1;
  bool ticking_ = false;
  std::priority_queue<event> events_;
  std::map<std::string, table_shard> shards_;
  std::map<std::string, std::vector<fake_row>> rows_;
  std::vector<std::unique_ptr<fake_node>> nodes_;
};

}  // namespace cuminferry::testing
