#include "relay/call_graph_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
// Network delay of one message between two nodes.
constexpr duration kOneWayDelay = microseconds(500);

}  // namespace

/** One backend server and the decision state of its node. */
struct call_graph_world::node {
  node(std::string name, std::uint32_t slots) : service(std::move(name)), gate(slots) {}

  std::string service;
  call_attribution attribution;
  row_origins origins;
  running_work running;
  call_demand demand;
  ingress_admission admission;
  slot_gate gate;
  admission_level level;
  row_run_times times;
  std::unordered_map<std::uint64_t, std::shared_ptr<call>> waiting;
};

struct call_graph_world::call {
  std::uint64_t id = 0;
  const graph_row* row = nullptr;
  node* from = nullptr;
  node* target = nullptr;
  bool nested = false;
  instant sent;
  instant admitted_at;
  instant deadline;
  instant started;
  double stands_for = 1.0;
  std::optional<double> share;
  int calls_left = 0;
  completion_handler on_completed;
};

call_graph_world::call_graph_world(std::vector<graph_service> services, std::vector<graph_row> rows,
                                   std::uint64_t seed)
    : services_(std::move(services)), rows_(std::move(rows)), random_(seed), events_(kStart) {
  for (const graph_service& service : services_) {
    for (int i = 0; i < service.nodes; ++i) {
      nodes_.push_back(std::make_unique<node>(service.name, service.slots));
    }
  }
  for (const graph_row& row : rows_) {
    if (row.per_second > 0.0) {
      ScheduleClient(row);
    }
  }
  events_.ScheduleAfter(admission_level::kPeriod, [this] { StepLevels(); });
}

call_graph_world::~call_graph_world() = default;

void call_graph_world::Run(duration span) { events_.RunUntil(events_.now() + span); }

graph_count call_graph_world::Count(const std::string& row, duration from, duration to) const {
  graph_count sum;
  for (std::int64_t second = from / seconds(1); second < to / seconds(1); ++second) {
    const auto found = counts_.find({row, second});
    if (found != counts_.end()) {
      sum.sent += found->second.sent;
      sum.served += found->second.served;
      sum.refused += found->second.refused;
      sum.failed += found->second.failed;
    }
  }
  return sum;
}

double call_graph_world::LowestShareOf(const std::string& service) const {
  double lowest = 1.0;
  for (const auto& each_node : nodes_) {
    lowest = each_node->service == service ? std::min(lowest, each_node->level.share()) : lowest;
  }
  return lowest;
}

double call_graph_world::CallsPerRun(const std::string& row, const std::string& called) const {
  double highest = 0.0;
  for (const auto& each_node : nodes_) {
    highest = std::max(highest, each_node->attribution.CallsPerRun(row, called));
  }
  return highest;
}

const graph_row& call_graph_world::RowOf(const std::string& name) const {
  return *std::find_if(rows_.begin(), rows_.end(),
                       [&](const graph_row& row) { return row.name == name; });
}

call_graph_world::node& call_graph_world::RandomNodeOf(const std::string& service) {
  std::vector<node*> found;
  for (const auto& each_node : nodes_) {
    if (each_node->service == service) {
      found.push_back(each_node.get());
    }
  }
  return *found[random_.Below(found.size())];
}

void call_graph_world::ScheduleClient(const graph_row& row) {
  const double gap = -std::log(1.0 - random_.Fraction()) / row.per_second * 1e6;
  events_.ScheduleAfter(duration(static_cast<duration::rep>(gap)), [this, &row] {
    SendByClient(row);
    ScheduleClient(row);
  });
}

void call_graph_world::SendByClient(const graph_row& row) {
  graph_count& count = counts_[{row.name, (events_.now() - kStart) / seconds(1)}];
  ++count.sent;
  Send(
      *nodes_[random_.Below(nodes_.size())], row, events_.now() + row.deadline,
      [&count](bool served) { ++(served ? count.served : count.failed); },
      [&count] { ++count.refused; });
}

// Admits and sends a client request, or a call of the node's own backend server, as an ingress or
// calling node does.
void call_graph_world::Send(node& from, const graph_row& row, instant deadline,
                            const completion_handler& on_completed,
                            const std::function<void()>& on_refused) {
  auto current_call = std::make_shared<call>();
  current_call->id = ++last_id_;
  current_call->row = &row;
  current_call->from = &from;
  current_call->sent = events_.now();
  current_call->admitted_at = events_.now();
  current_call->deadline = std::min(deadline, events_.now() + row.deadline);
  current_call->on_completed = on_completed;
  current_call->nested = !from.admission.ComesFromClients(row.name);
  if (!current_call->nested) {
    from.admission.OnRequest(row.name, row.priority, events_.now());
    if (!from.admission.Admits(row.name, row.priority, random_.Fraction(), events_.now())) {
      on_refused();
      return;
    }
  } else if (from.running.has_runs()) {
    from.attribution.OnCall(row.name, events_.now());
    current_call->stands_for = from.demand.OnCall(row.name);
    current_call->admitted_at = events_.now() - from.running.MeanAge(events_.now());
  }
  current_call->share = from.admission.ShareInForce(row.name, events_.now());
  current_call->target = &RandomNodeOf(row.service);
  events_.ScheduleAfter(kOneWayDelay, [this, current_call] { ArriveAtTarget(current_call); });
}

void call_graph_world::ArriveAtTarget(const std::shared_ptr<call>& current_call) {
  node& target_node = *current_call->target;
  const graph_row& row = *current_call->row;
  target_node.origins.OnArrival(row.name, current_call->from->service);
  const duration run_time = target_node.times.MeanOf(row.name, target_node.gate.service_time());
  const double work = current_call->stands_for * static_cast<double>(run_time.count());
  target_node.level.OnArrival(events_.now() - current_call->admitted_at,
                              duration(static_cast<duration::rep>(work)), current_call->share);
  const slot_verdict verdict =
      target_node.gate.Offer({.id = current_call->id,
                              .priority = row.priority,
                              .nested = current_call->nested,
                              .deadline_left = current_call->deadline - events_.now(),
                              .objective_left = current_call->sent + row.objective - events_.now(),
                              .objective = row.objective,
                              .run_time = run_time},
                             events_.now());
  switch (verdict) {
    case slot_verdict::kStart:
      StartRun(current_call);
      break;
    case slot_verdict::kWait:
      target_node.waiting.emplace(current_call->id, current_call);
      break;
    case slot_verdict::kRefuse:
    case slot_verdict::kOverRate:
      SendAnswer(current_call, false);
      break;
  }
}

void call_graph_world::StartRun(const std::shared_ptr<call>& current_call) {
  node& target_node = *current_call->target;
  current_call->started = events_.now();
  current_call->calls_left = current_call->row->calls;
  target_node.attribution.OnRunStart(current_call->row->name, events_.now());
  target_node.running.OnStart(current_call->admitted_at, 0.0);
  target_node.demand.OnRunStart(target_node.attribution.CalleesOf(current_call->row->name),
                                current_call->stands_for);
  RunNextStep(current_call);
}

// Runs a part of the work, then makes the next call or completes the run.
void call_graph_world::RunNextStep(const std::shared_ptr<call>& current_call) {
  const double part = (0.5 + random_.Fraction()) / (current_call->row->calls + 1);
  const auto work = static_cast<double>(current_call->row->work.count());
  events_.ScheduleAfter(duration(static_cast<duration::rep>(part * work)), [this, current_call] {
    if (events_.now() > current_call->deadline) {
      CompleteRun(current_call, false);
    } else if (current_call->calls_left == 0) {
      CompleteRun(current_call, true);
    } else {
      --current_call->calls_left;
      Send(
          *current_call->target, RowOf(current_call->row->called), current_call->deadline,
          [this, current_call](bool served) {
            served ? RunNextStep(current_call) : CompleteRun(current_call, false);
          },
          [this, current_call] { CompleteRun(current_call, false); });
    }
  });
}

void call_graph_world::CompleteRun(const std::shared_ptr<call>& current_call, bool served) {
  node& target_node = *current_call->target;
  SendAnswer(current_call, served);
  target_node.attribution.OnRunEnd(
      current_call->row->name, current_call->started, events_.now(),
      served ? call_attribution::run_outcome::kCompleted : call_attribution::run_outcome::kFailed);
  target_node.running.OnEnd(current_call->admitted_at, 0.0);
  target_node.gate.Finish(events_.now() - current_call->started);
  target_node.times.OnRun(current_call->row->name, events_.now() - current_call->started);
  StartWaiting(target_node);
}

void call_graph_world::SendAnswer(const std::shared_ptr<call>& current_call, bool served) {
  const node& target_node = *current_call->target;
  const std::string& row = current_call->row->name;
  const row_limit own{.share = target_node.level.share(),
                      .cost = target_node.times.MeanOf(row, target_node.gate.service_time()),
                      .service = target_node.service};
  const auto limit = LimitToReport(row, own, current_call->share, target_node.attribution,
                                   target_node.admission, events_.now());
  const bool from_clients = target_node.origins.ComesFromClients(row, services_.size());
  events_.ScheduleAfter(kOneWayDelay, [this, current_call, limit, from_clients, served] {
    current_call->from->admission.OnAnswer(current_call->row->name, limit, from_clients,
                                           events_.now());
    if (from_clients) {
      current_call->from->attribution.OnSentByClients(current_call->row->name);
    }
    if (current_call->nested) {
      current_call->from->attribution.OnCallEnd(current_call->row->name, !served);
    }
    current_call->on_completed(served);
  });
}

void call_graph_world::StartWaiting(node& target_node) {
  while (const auto next = target_node.gate.StartNext(events_.now())) {
    const auto found = target_node.waiting.extract(*next);
    StartRun(found.mapped());
  }
}

void call_graph_world::StepLevels() {
  for (const auto& each_node : nodes_) {
    for (const std::uint64_t id : each_node->gate.TakeExpired(events_.now())) {
      SendAnswer(each_node->waiting.extract(id).mapped(), false);
    }
    each_node->level.Step(each_node->gate.TakeLongestWait(events_.now()), each_node->gate.running(),
                          each_node->gate.limit(), each_node->gate.service_time());
  }
  events_.ScheduleAfter(admission_level::kPeriod, [this] { StepLevels(); });
}

}  // namespace cuminferry::testing
