#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

struct graph_service {
  std::string name;
  int nodes = 1;
  std::uint32_t slots = 1;
};

struct graph_row {
  std::string name;
  std::string service;
  std::uint32_t priority = 0;
  /** Requests of clients a second, at all nodes together; none for a row that is only called. */
  double per_second = 0.0;
  /** Work of one run besides its calls. */
  duration work{};
  /** The row that a run calls, one call after the other. */
  std::string called;
  int calls = 0;
  duration objective{};
  duration deadline{};
};

/** What became of clients' requests. */
struct graph_count {
  int sent = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;

  double ServedPart() const { return sent == 0 ? 1.0 : static_cast<double>(served) / sent; }
};

/** A whole call graph in virtual time: a node's decisions beside each backend server, clients at
   all nodes. All nodes have just started and know nothing. */
class call_graph_world {
 public:
  call_graph_world(std::vector<graph_service> services, std::vector<graph_row> rows,
                   std::uint64_t seed);
  ~call_graph_world();
  call_graph_world(const call_graph_world&) = delete;
  call_graph_world& operator=(const call_graph_world&) = delete;

  /** Plays on for so long. */
  void Run(duration span);

  /** Requests of this row that clients sent in this span since the start. */
  graph_count Count(const std::string& row, duration from, duration to) const;
  /** Lowest level at a node of this service. */
  double LevelOf(const std::string& service) const;
  /** Most calls to `called` that a node takes a run of `row` to make. */
  double CallsPerRun(const std::string& row, const std::string& called) const;

 private:
  struct node;
  struct call;
  using end_hook = std::function<void(bool served)>;
  struct event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  void After(duration span, std::function<void()> act);
  const graph_row& RowOf(const std::string& name) const;
  node& AnyNode(const std::string& service);
  void ScheduleClient(const graph_row& row);
  void SendByClient(const graph_row& row);
  void Send(node& from, const graph_row& row, instant deadline, const end_hook& on_end,
            const std::function<void()>& on_refused);
  void Arrive(const std::shared_ptr<call>& made);
  void Start(const std::shared_ptr<call>& made);
  void GoOn(const std::shared_ptr<call>& made);
  void End(const std::shared_ptr<call>& made, bool served);
  void Answer(const std::shared_ptr<call>& made, bool served);
  void StartWaiting(node& at);
  void StepLevels();

  std::vector<graph_service> services_;
  std::vector<graph_row> rows_;
  random_source random_;
  std::vector<std::unique_ptr<node>> nodes_;
  instant now_;
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<event> events_;
  // By row and second.
  std::map<std::pair<std::string, std::int64_t>, graph_count> counts_;
};

}  // namespace cuminferry::testing
