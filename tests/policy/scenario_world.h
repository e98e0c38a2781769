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

/** A row and how its backend servers behave. */
struct fake_row {
  request_row row;
  double self_ms = 50;
  std::vector<fake_callee> calls;
};

/** Open-loop callers of one row. */
struct fake_load {
  std::string service;
  std::string row;
  double per_second = 0;
  instant from;
  instant until;
  std::uint32_t retries = 0;
  /** Callers come back this soon at least, whatever they are told; 0: when they are told. */
  double impatient_ms = 0;
};

/** A node core and the fake backend server beside it. */
struct fake_node {
  std::string service;
  std::unique_ptr<admission_controller> admission;
  double slow_factor = 1;
  std::uint32_t slots = 1;
  /** Requests at once from which on the backend server's work slows down, more than in
      proportion; 0: never. */
  std::uint32_t knee = 0;
  std::uint32_t busy = 0;
  instant paused_until;
  std::string report;
  std::deque<std::function<void()>> backend_queue;
  std::map<call_key, std::shared_ptr<struct fake_call>> calls;
  admission_actions actions;
  std::uint32_t in_flight = 0;
  std::uint32_t most_running = 0;
};

/** Some node cores joined by links with a delay, over a virtual clock. */
class scenario_world {
 public:
  using bucket_counts = std::map<std::int64_t, double>;
  static constexpr std::int64_t kBucketMicros = 50'000;

  explicit scenario_world(std::uint64_t seed) : random_(seed) {}

  std::string control = "full";
  duration link{1500};

  void AddService(const std::string& name, std::uint32_t targets, std::uint32_t slots,
                  std::uint32_t knee = 0);
  void AddRow(const std::string& service, fake_row row);
  void AddLoad(const fake_load& load);
  void At(instant when, std::function<void()> action);
  void RunUntil(instant end);

  std::vector<fake_node*> NodesOf(const std::string& service);
  instant now() const { return now_; }
  /** Sum of a count over a span of time. */
  static double Sum(const bucket_counts& counts, instant from, instant until);

  /** Whole requests by row: offered and, of those, completed, both at their
      arrival; and completed at the time of completion. */
  std::map<std::string, bucket_counts> offered, completed_of_offered, completed;
  /** Attempts by weight that entered, and that were refused for load. */
  std::map<std::uint16_t, bucket_counts> entered, refused;
  /** Seconds that backend servers worked, in all and for attempts that failed. */
  bucket_counts used, wasted;

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
    bool good = false;
    bool refused = false;
    call_rank threshold;
    double retry_ms = 0;
  };
  friend struct fake_call;

  void Tick();
  void Arrivals(const fake_load& load);
  void Attempt(const fake_load& load, std::int64_t arrived, std::uint32_t tries);
  void Send(const std::string& service, const std::string& row, call_rank rank, instant deadline,
            std::shared_ptr<struct fake_attempt> attempt, std::function<void(reply)> done);
  void Offer(fake_node& node, const std::shared_ptr<fake_call>& call);
  void Do(fake_node& node);
  void RunHalf(const std::shared_ptr<fake_call>& call, bool last);
  void CallNext(const std::shared_ptr<fake_call>& call, std::size_t next);
  void CallOut(const std::shared_ptr<fake_call>& call, std::size_t next, std::uint32_t tries);
  void End(const std::shared_ptr<fake_call>& call, run_result result);
  void Cancel(const std::shared_ptr<fake_attempt>& attempt);
  void Reply(const std::shared_ptr<fake_call>& call, reply what);
  static std::int64_t Bucket(instant when) { return ToMicros(when) / kBucketMicros; }

  random_source random_;
  instant now_ = FromMicros(1'000'000);
  std::uint64_t order_ = 0;
  call_key next_key_ = 1;
  bool ticking_ = false;
  std::priority_queue<event> events_;
  std::map<std::string, table_shard> shards_;
  std::map<std::string, std::vector<fake_row>> rows_;
  std::vector<std::unique_ptr<fake_node>> nodes_;
};

}  // namespace cuminferry::testing
