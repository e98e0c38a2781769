#include "queue_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminferry::testing {
namespace {

constexpr instant kStart = FromMicros(1'000'000);
// Counted from this time on: the gate knows the mean service time and the shares of the arrivals
// by then.
constexpr duration kSettlingTime = std::chrono::seconds(2);
constexpr duration kExpiryPeriod = std::chrono::milliseconds(5);
// Bounds on the share of the most important rows. Nested calls among them, which wait up to their
// deadlines, offer less than the slots at three times the load.
constexpr double kMaxTopShare = 0.7;
constexpr double kMaxNestedTopShare = 0.28;

duration Scaled(duration span, double factor) {
  return duration(static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
}

}  // namespace

queue_world::queue_world(const settings& how, std::vector<queue_row> rows)
    : settings_(how),
      rows_(std::move(rows)),
      counts_(rows_.size()),
      random_(how.seed),
      events_(kStart),
      gate_(how.slots) {
  gate_.SetOrder(how.order);
}

void queue_world::Run(duration span) {
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    ScheduleArrival(row);
  }
  Step();
  events_.RunUntil(kStart + kSettlingTime + span);
}

queue_row_count queue_world::CountWhere(const std::function<bool(const queue_row&)>& holds) const {
  queue_row_count sum;
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    if (holds(rows_[row])) {
      sum.offered += counts_[row].offered;
      sum.served += counts_[row].served;
      sum.in_time += counts_[row].in_time;
    }
  }
  return sum;
}

double queue_world::useful_utilization() const {
  const duration counted = events_.now() - kStart - kSettlingTime;
  return useful_micros_ / (static_cast<double>(counted.count()) * gate_.limit());
}

void queue_world::ScheduleArrival(std::size_t row) {
  const double interval = static_cast<double>(rows_[row].run_time.count()) /
                          (rows_[row].load_share * settings_.load * gate_.limit());
  const double gap = -std::log(1.0 - random_.Fraction()) * interval;
  events_.ScheduleAfter(duration(static_cast<duration::rep>(gap)), [this, row] {
    Arrive(row);
    ScheduleArrival(row);
  });
}

void queue_world::Arrive(std::size_t row) {
  const std::uint64_t id = ++last_id_;
  const queue_row& kind = rows_[row];
  requests_[id] = {.row = row, .arrived = events_.now()};
  counts_[row].offered += events_.now() - kStart >= kSettlingTime ? 1 : 0;
  const slot_verdict verdict = gate_.Offer({.id = id,
                                            .priority = kind.priority,
                                            .nested = kind.nested,
                                            .deadline_left = kind.deadline,
                                            .objective_left = kind.objective,
                                            .objective = kind.objective,
                                            .run_time = kind.run_time},
                                           events_.now());
  if (verdict == slot_verdict::kStart) {
    Start(id);
  } else if (verdict != slot_verdict::kWait) {
    requests_.erase(id);
  }
  OnQueueChanged();
}

void queue_world::Start(std::uint64_t id) {
  const request started = requests_[id];
  const duration ran = Scaled(rows_[started.row].run_time, 0.5 + random_.Fraction());
  events_.ScheduleAfter(ran, [this, id, started, ran] {
    const queue_row& row = rows_[started.row];
    const duration took = events_.now() - started.arrived;
    gate_.Finish(ran);
    requests_.erase(id);
    if (started.arrived - kStart >= kSettlingTime) {
      ++counts_[started.row].served;
      counts_[started.row].in_time += took <= row.objective ? 1 : 0;
    }
    if (events_.now() - kStart >= kSettlingTime) {
      useful_micros_ += took <= (row.nested ? row.deadline : row.objective)
                            ? static_cast<double>(ran.count())
                            : 0.0;
    }
    OnQueueChanged();
  });
}

void queue_world::OnQueueChanged() {
  for (const std::uint64_t id : gate_.TakeExpired(events_.now())) {
    requests_.erase(id);
  }
  while (const auto displaced = gate_.TakeDisplaced()) {
    requests_.erase(*displaced);
  }
  while (const auto next = gate_.StartNext(events_.now())) {
    Start(*next);
  }
}

// Learning of the slots is left out: it would change what the load is measured by.
void queue_world::Step() {
  gate_.Displace(events_.now());
  OnQueueChanged();
  events_.ScheduleAfter(kExpiryPeriod, [this] { Step(); });
}

std::vector<queue_row> RandomRows(random_source& random) {
  const auto between = [&](double low, double high) {
    return low + (high - low) * random.Fraction();
  };
  std::vector<queue_row> rows(3 + random.Below(4));
  for (std::size_t at = 0; at < rows.size(); ++at) {
    queue_row& row = rows[at];
    row.priority = at == 0 ? 0 : static_cast<std::uint32_t>(random.Below(4));
    row.nested = random.Below(2) == 0;
    row.run_time = Scaled(std::chrono::milliseconds(1), between(5.0, 40.0));
    row.objective = Scaled(row.run_time, between(4.0, 20.0));
    row.deadline = Scaled(row.objective, between(2.0, 4.0));
    row.load_share = between(0.1, 1.0);
  }
  double top = 0.0;
  double others = 0.0;
  for (const queue_row& row : rows) {
    (row.priority == 0 ? top : others) += row.load_share;
  }
  if (others == 0.0) {
    rows.back().priority = 1;
    others = rows.back().load_share;
    top -= others;
  }
  const bool has_nested_top = std::ranges::any_of(
      rows, [](const queue_row& row) { return row.priority == 0 && row.nested; });
  const double top_share = between(0.05, has_nested_top ? kMaxNestedTopShare : kMaxTopShare);
  for (queue_row& row : rows) {
    row.load_share *= row.priority == 0 ? top_share / top : (1.0 - top_share) / others;
  }
  return rows;
}

}  // namespace cuminferry::testing
