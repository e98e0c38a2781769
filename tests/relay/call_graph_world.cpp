#include "relay/call_graph_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
// One way between two nodes.
constexpr duration kWay = microseconds(500);

}  // namespace

/** One backend server and the decisions of the node beside it. */
struct call_graph_world::node {
  node(std::string name, std::uint32_t slots) : service(std::move(name)), gate(slots) {}

  std::string service;
  row_causes causes;
  row_origins origins;
  running_work running;
  call_demand demand;
  entry_admission admission;
  slot_gate gate;
  admission_level level;
  row_times times;
  std::unordered_map<std::uint64_t, std::shared_ptr<call>> waiting;
};

struct call_graph_world::call {
  std::uint64_t id = 0;
  const graph_row* row = nullptr;
  node* from = nullptr;
  node* target = nullptr;
  bool nested = false;
  instant sent;
  instant entered;
  instant deadline;
  instant began;
  double stands_for = 1.0;
  std::optional<double> share;
  int calls_left = 0;
  end_hook on_end;
};

call_graph_world::call_graph_world(std::vector<graph_service> services, std::vector<graph_row> rows,
                                   std::uint64_t seed)
    : services_(std::move(services)), rows_(std::move(rows)), random_(seed), now_(kStart) {
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
  After(admission_level::kPeriod, [this] { StepLevels(); });
}

call_graph_world::~call_graph_world() = default;

void call_graph_world::Run(duration span) {
  for (const instant end = now_ + span; !events_.empty() && events_.top().at < end;) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.act();
  }
}

graph_count call_graph_world::Count(const std::string& row, duration from, duration to) const {
  graph_count sum;
  for (std::int64_t second = from / seconds(1); second < to / seconds(1); ++second) {
    const auto at = counts_.find({row, second});
    if (at != counts_.end()) {
      sum.sent += at->second.sent;
      sum.served += at->second.served;
      sum.refused += at->second.refused;
      sum.failed += at->second.failed;
    }
  }
  return sum;
}

double call_graph_world::LevelOf(const std::string& service) const {
  double lowest = 1.0;
  for (const auto& each : nodes_) {
    lowest = each->service == service ? std::min(lowest, each->level.share()) : lowest;
  }
  return lowest;
}

double call_graph_world::CallsPerRun(const std::string& row, const std::string& called) const {
  double most = 0.0;
  for (const auto& each : nodes_) {
    most = std::max(most, each->causes.CallsPerRun(row, called));
  }
  return most;
}

void call_graph_world::After(duration span, std::function<void()> act) {
  events_.push({now_ + span, ++order_, std::move(act)});
}

const graph_row& call_graph_world::RowOf(const std::string& name) const {
  return *std::find_if(rows_.begin(), rows_.end(),
                       [&](const graph_row& row) { return row.name == name; });
}

call_graph_world::node& call_graph_world::AnyNode(const std::string& service) {
  std::vector<node*> found;
  for (const auto& each : nodes_) {
    if (each->service == service) {
      found.push_back(each.get());
    }
  }
  return *found[random_.Below(found.size())];
}

void call_graph_world::ScheduleClient(const graph_row& row) {
  const double gap = -std::log(1.0 - random_.Fraction()) / row.per_second * 1e6;
  After(duration(static_cast<duration::rep>(gap)), [this, &row] {
    SendByClient(row);
    ScheduleClient(row);
  });
}

void call_graph_world::SendByClient(const graph_row& row) {
  graph_count& count = counts_[{row.name, (now_ - kStart) / seconds(1)}];
  ++count.sent;
  Send(
      *nodes_[random_.Below(nodes_.size())], row, now_ + row.deadline,
      [&count](bool served) { ++(served ? count.served : count.failed); },
      [&count] { ++count.refused; });
}

// What an entry does with a request of a client or a call of its own backend server.
void call_graph_world::Send(node& from, const graph_row& row, instant deadline,
                            const end_hook& on_end, const std::function<void()>& on_refused) {
  auto made = std::make_shared<call>();
  made->id = ++last_id_;
  made->row = &row;
  made->from = &from;
  made->sent = now_;
  made->entered = now_;
  made->deadline = std::min(deadline, now_ + row.deadline);
  made->on_end = on_end;
  made->nested = !from.admission.ComesFromClients(row.name);
  if (!made->nested) {
    from.admission.OnRequest(row.name, row.priority, now_);
    if (!from.admission.Admits(row.name, row.priority, random_.Fraction(), now_)) {
      on_refused();
      return;
    }
  } else if (from.running.any()) {
    from.causes.OnCall(row.name, now_);
    made->stands_for = from.demand.OnCall(row.name);
    made->entered = now_ - from.running.MeanAge(now_);
  }
  made->share = from.admission.ShareInForce(row.name, now_);
  made->target = &AnyNode(row.service);
  After(kWay, [this, made] { Arrive(made); });
}

void call_graph_world::Arrive(const std::shared_ptr<call>& made) {
  node& at = *made->target;
  const graph_row& row = *made->row;
  at.origins.OnArrival(row.name, made->from->service);
  const duration run_time = at.times.MeanOf(row.name, at.gate.service_time());
  const double work = made->stands_for * static_cast<double>(run_time.count());
  at.level.OnArrival(now_ - made->entered, duration(static_cast<duration::rep>(work)), made->share);
  const slot_verdict verdict = at.gate.Offer({.id = made->id,
                                              .priority = row.priority,
                                              .nested = made->nested,
                                              .deadline_left = made->deadline - now_,
                                              .objective_left = made->sent + row.objective - now_,
                                              .objective = row.objective,
                                              .run_time = run_time},
                                             now_);
  switch (verdict) {
    case slot_verdict::kStart:
      Start(made);
      break;
    case slot_verdict::kWait:
      at.waiting.emplace(made->id, made);
      break;
    case slot_verdict::kRefuse:
      Answer(made, false);
      break;
  }
}

void call_graph_world::Start(const std::shared_ptr<call>& made) {
  node& at = *made->target;
  made->began = now_;
  made->calls_left = made->row->calls;
  at.causes.OnRunStart(made->row->name, now_);
  at.running.OnStart(made->entered, 0.0);
  at.demand.OnRunStart(at.causes.CalledBy(made->row->name), made->stands_for);
  GoOn(made);
}

// A part of its work, then its next call or its end.
void call_graph_world::GoOn(const std::shared_ptr<call>& made) {
  const double part = (0.5 + random_.Fraction()) / (made->row->calls + 1);
  const auto work = static_cast<double>(made->row->work.count());
  After(duration(static_cast<duration::rep>(part * work)), [this, made] {
    if (now_ > made->deadline) {
      End(made, false);
    } else if (made->calls_left == 0) {
      End(made, true);
    } else {
      --made->calls_left;
      Send(
          *made->target, RowOf(made->row->called), made->deadline,
          [this, made](bool served) { served ? GoOn(made) : End(made, false); },
          [this, made] { End(made, false); });
    }
  });
}

void call_graph_world::End(const std::shared_ptr<call>& made, bool served) {
  node& at = *made->target;
  Answer(made, served);
  at.causes.OnRunEnd(made->row->name, made->began, now_,
                     served ? row_causes::run_fate::kWhole : row_causes::run_fate::kFailed);
  at.running.OnEnd(made->entered, 0.0);
  at.gate.Finish(now_ - made->began);
  at.times.OnRun(made->row->name, now_ - made->began);
  StartWaiting(at);
}

void call_graph_world::Answer(const std::shared_ptr<call>& made, bool served) {
  const node& at = *made->target;
  const std::string& row = made->row->name;
  const row_limit own{.share = at.level.share(),
                      .cost = at.times.MeanOf(row, at.gate.service_time()),
                      .service = at.service};
  const auto limit = LimitToTell(row, own, made->share, at.causes, at.admission, now_);
  const bool from_clients = at.origins.ComesFromClients(row, services_.size());
  After(kWay, [this, made, limit, from_clients, served] {
    made->from->admission.OnAnswer(made->row->name, limit, from_clients, now_);
    if (from_clients) {
      made->from->causes.OnSentByClients(made->row->name);
    }
    made->on_end(served);
  });
}

void call_graph_world::StartWaiting(node& at) {
  while (const auto next = at.gate.StartNext(now_)) {
    const auto found = at.waiting.extract(*next);
    Start(found.mapped());
  }
}

void call_graph_world::StepLevels() {
  for (const auto& at : nodes_) {
    for (const std::uint64_t id : at->gate.TakeExpired(now_)) {
      Answer(at->waiting.extract(id).mapped(), false);
    }
    at->level.Step(at->gate.TakeLongestWait(now_), at->gate.running(), at->gate.limit(),
                   at->gate.service_time());
  }
  After(admission_level::kPeriod, [this] { StepLevels(); });
}

}  // namespace cuminferry::testing
