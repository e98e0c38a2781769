#include "policy/scenario_world.h"

#include <algorithm>
#include <cmath>

namespace cuminferry::testing {
namespace {

constexpr duration kTick{5000};
constexpr std::uint32_t kUncontrolledRetries = 3;

duration Millis(double millis) { return duration(static_cast<std::int64_t>(millis * 1000)); }

}  // namespace

/** One attempt of a caller, with its whole tree of calls. */
struct fake_attempt {
  std::uint16_t weight = 0;
  double work = 0;
  bool finished = false;
  bool succeeded = false;
  /** Ordered by key, so that runs with the same seed are identical. */
  std::map<call_key, std::shared_ptr<fake_call>> open_calls;
};

struct fake_call {
  call_key key = 0;
  fake_node* node = nullptr;
  const fake_row* row = nullptr;
  std::uint32_t row_index = 0;
  call_rank rank;
  instant deadline;
  std::shared_ptr<fake_attempt> attempt;
  std::function<void(scenario_world::reply)> done;
  bool is_in_backend = false;
  bool has_slot = false;
  bool finished = false;
};

void scenario_world::AddService(const std::string& name, std::uint32_t targets, std::uint32_t slots,
                                std::uint32_t knee) {
  shards_[name].service.name = name;
  for (std::uint32_t target = 0; target < targets; ++target) {
    auto node = std::make_unique<fake_node>();
    node->service = name;
    node->slots = slots;
    node->knee = knee;
    node->admission =
        std::make_unique<admission_controller>(admission_controller::options{control, slots, 1024});
    nodes_.push_back(std::move(node));
  }
}

void scenario_world::AddRow(const std::string& service, fake_row row) {
  shards_[service].rows.push_back(row.row);
  rows_[service].push_back(std::move(row));
  for (fake_node* node : NodesOf(service)) {
    node->admission->UseTable(shards_[service], now_);
  }
}

void scenario_world::AddLoad(const fake_load& load) {
  Schedule(load.from, [this, load] { GenerateArrivals(load); });
}

void scenario_world::Schedule(instant when, std::function<void()> action) {
  events_.push({when, next_order_++, std::move(action)});
}

std::vector<fake_node*> scenario_world::NodesOf(const std::string& service) {
  std::vector<fake_node*> found;
  for (const auto& node : nodes_) {
    if (node->service == service) {
      found.push_back(node.get());
    }
  }
  return found;
}

double scenario_world::SumBetween(const bucket_counts& counts, instant from, instant until) {
  double sum = 0;
  for (auto at = counts.lower_bound(BucketOf(from)); at != counts.lower_bound(BucketOf(until));
       ++at) {
    sum += at->second;
  }
  return sum;
}

void scenario_world::RunUntil(instant end) {
  if (!ticking_) {
    ticking_ = true;
    Tick();
  }
  while (!events_.empty() && events_.top().when <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.when;
    next.action();
  }
  now_ = end;
}

void scenario_world::Tick() {
  for (const auto& node : nodes_) {
    if (node->paused_until > now_) {
      continue;
    }
    if (!node->report.empty()) {
      node->admission->ReportBackendCap(node->report == "full" ? 0 : node->slots, now_);
    }
    node->admission->Tick(now_, node->actions);
    ApplyActions(*node);
  }
  Schedule(now_ + kTick, [this] { Tick(); });
}

void scenario_world::GenerateArrivals(const fake_load& load) {
  if (now_ >= load.until) {
    return;
  }
  offered[load.row][BucketOf(now_)] += 1;
  StartAttempt(load, BucketOf(now_), 0);
  const double gap_ms = -std::log(1.0 - random_.Fraction()) * 1000.0 / load.per_second;
  Schedule(now_ + Millis(gap_ms), [this, load] { GenerateArrivals(load); });
}

void scenario_world::StartAttempt(const fake_load& load, std::int64_t arrived,
                                  std::uint32_t tries) {
  const std::vector<fake_row>& rows = rows_[load.service];
  const fake_row& row = *std::find_if(
      rows.begin(), rows.end(), [&](const fake_row& one) { return one.row.name == load.row; });
  auto attempt = std::make_shared<fake_attempt>();
  attempt->weight = row.row.weight;
  const instant deadline = now_ + row.row.deadline;
  const auto finish = [this, load, arrived, tries, attempt](const reply& what) {
    if (attempt->finished) {
      return;
    }
    attempt->finished = true;
    attempt->succeeded = what.succeeded;
    if (what.succeeded) {
      completed[load.row][BucketOf(now_)] += 1;
      completed_of_offered[load.row][arrived] += 1;
      return;
    }
    wasted_work_seconds[BucketOf(now_)] += attempt->work;
    if (what.refused) {
      refused[attempt->weight][BucketOf(now_)] += 1;
    }
    if (tries < load.retries) {
      const double wait_ms = load.impatient_ms > 0 ? load.impatient_ms : what.retry_ms + 10;
      Schedule(now_ + Millis(wait_ms * (0.5 + random_.Fraction())),
               [this, load, arrived, tries] { StartAttempt(load, arrived, tries + 1); });
    }
  };
  Schedule(deadline, [this, attempt, finish] {
    if (!attempt->finished) {
      finish(reply{});
      Cancel(attempt);
    }
  });
  const call_rank rank(row.row.weight, false, static_cast<std::uint16_t>(random_.Next()));
  Send(load.service, load.row, rank, deadline, attempt, finish);
}

void scenario_world::Send(const std::string& service, const std::string& row, call_rank rank,
                          instant deadline, std::shared_ptr<fake_attempt> attempt,
                          std::function<void(reply)> done) {
  auto call = std::make_shared<fake_call>();
  const std::vector<fake_node*> targets = NodesOf(service);
  fake_node* one = targets[random_.Below(targets.size())];
  fake_node* other = targets[random_.Below(targets.size())];
  call->node = one->in_flight <= other->in_flight ? one : other;
  ++call->node->in_flight;
  const std::vector<fake_row>& rows = rows_[service];
  while (rows[call->row_index].row.name != row) {
    ++call->row_index;
  }
  call->row = &rows[call->row_index];
  call->key = next_key_++;
  call->rank = rank;
  call->deadline = deadline;
  call->attempt = std::move(attempt);
  call->done = std::move(done);
  Schedule(now_ + link_delay, [this, call] { Offer(*call->node, call); });
}

void scenario_world::Offer(fake_node& node, const std::shared_ptr<fake_call>& call) {
  if (node.paused_until > now_) {
    Schedule(node.paused_until, [this, &node, call] { Offer(node, call); });
    return;
  }
  node.calls[call->key] = call;
  call->attempt->open_calls.emplace(call->key, call);
  node.admission->Offer({call->key, call->row_index, call->rank, call->deadline}, now_,
                        node.actions);
  ApplyActions(node);
}

void scenario_world::ApplyActions(fake_node& node) {
  admission_actions actions;
  std::swap(actions, node.actions);
  for (const call_key key : actions.start) {
    const std::shared_ptr<fake_call> call = node.calls.at(key);
    call->is_in_backend = true;
    if (!call->rank.under_way()) {
      admitted[call->attempt->weight][BucketOf(now_)] += 1;
    }
    const auto begin = [this, call] {
      call->has_slot = true;
      RunHalfOfWork(call, false);
    };
    if (node.busy_slots < node.slots) {
      ++node.busy_slots;
      begin();
    } else {
      node.backend_queue.emplace_back(begin);
    }
  }
  node.peak_running = std::max(node.peak_running, node.admission->running());
  for (const refused_call& refusal : actions.refuse) {
    const std::shared_ptr<fake_call> call = node.calls.at(refusal.key);
    node.calls.erase(refusal.key);
    call->finished = true;
    call->attempt->open_calls.erase(call->key);
    reply what;
    what.refused = refusal.code == result_code::kRefusedOverload;
    what.retry_ms = static_cast<double>(refusal.retry_after.count());
    SendReply(call, what);
  }
}

void scenario_world::RunHalfOfWork(const std::shared_ptr<fake_call>& call, bool last) {
  const fake_node& node = *call->node;
  const double overload_ratio =
      node.knee == 0 ? 1 : std::max(1.0, 1.0 * node.busy_slots / node.knee);
  const double factor =
      node.slow_factor * std::pow(overload_ratio, 1.5) * (0.5 + random_.Fraction()) / 2;
  const double work_ms = call->row->self_ms * factor;
  Schedule(now_ + Millis(work_ms), [this, call, last, work_ms] {
    if (call->finished) {
      return;
    }
    work_seconds[BucketOf(now_)] += work_ms / 1000;
    call->attempt->work += work_ms / 1000;
    if (call->attempt->finished && !call->attempt->succeeded) {
      wasted_work_seconds[BucketOf(now_)] += work_ms / 1000;
    }
    if (last) {
      FinishCall(call, run_result::kAnswered);
    } else {
      MakeNextCall(call, 0);
    }
  });
}

void scenario_world::MakeNextCall(const std::shared_ptr<fake_call>& call, std::size_t next) {
  while (next < call->row->calls.size() &&
         random_.Fraction() >= call->row->calls[next].probability) {
    ++next;
  }
  if (next == call->row->calls.size()) {
    RunHalfOfWork(call, true);
    return;
  }
  SendCall(call, next, 0);
}

void scenario_world::SendCall(const std::shared_ptr<fake_call>& call, std::size_t next,
                              std::uint32_t tries) {
  const fake_callee& callee = call->row->calls[next];
  const bool is_uncontrolled = control == "none";
  fake_node& node = *call->node;
  node.admission->BeginWait(call->key, callee.service, now_, node.actions);
  ApplyActions(node);
  auto answered = std::make_shared<bool>(false);
  const auto done = [this, call, next, tries, is_uncontrolled, answered, &node](const reply& what) {
    if (call->finished || *answered) {
      return;
    }
    *answered = true;
    const fake_callee& callee = call->row->calls[next];
    node.admission->LearnThreshold(call->row_index, callee.service, callee.row, what.threshold,
                                   now_);
    node.admission->EndWait(call->key, now_, node.actions);
    ApplyActions(node);
    if (what.succeeded) {
      MakeNextCall(call, next + 1);
    } else if (is_uncontrolled && tries < kUncontrolledRetries) {
      SendCall(call, next, tries + 1);
    } else {
      FinishCall(call, run_result::kFailed);
    }
  };
  const instant deadline = is_uncontrolled ? now_ + call->row->row.deadline : call->deadline;
  if (is_uncontrolled) {
    Schedule(deadline, [done] { done(reply{}); });
  }
  Send(callee.service, callee.row, call->rank.ToUnderWay(), deadline, call->attempt, done);
}

void scenario_world::FinishCall(const std::shared_ptr<fake_call>& call, run_result result) {
  fake_node& node = *call->node;
  call->finished = true;
  call->attempt->open_calls.erase(call->key);
  node.calls.erase(call->key);
  if (call->has_slot) {
    --node.busy_slots;
    while (!node.backend_queue.empty() && node.busy_slots < node.slots) {
      const auto begin = node.backend_queue.front();
      node.backend_queue.pop_front();
      ++node.busy_slots;
      begin();
    }
  }
  node.admission->Finish(call->key, result, now_, node.actions);
  ApplyActions(node);
  reply what;
  what.succeeded = result == run_result::kAnswered;
  SendReply(call, what);
}

void scenario_world::Cancel(const std::shared_ptr<fake_attempt>& attempt) {
  if (control == "none") {
    return;
  }
  const auto open_calls = attempt->open_calls;
  for (const auto& [key, call] : open_calls) {
    if (call->is_in_backend) {
      FinishCall(call, run_result::kTimedOut);
    } else if (!call->finished) {
      call->node->admission->Abandon(key, now_, call->node->actions);
      ApplyActions(*call->node);
    }
  }
}

void scenario_world::SendReply(const std::shared_ptr<fake_call>& call, reply what) {
  --call->node->in_flight;
  what.threshold = call->node->admission->ThresholdOf(call->row_index, now_);
  Schedule(now_ + link_delay, [call, what] { call->done(what); });
}

}  // namespace cuminferry::testing
