#include "relay/declared_rate_world.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr duration kOneWayDelay = milliseconds(1);
constexpr duration kAnswerTimeout = milliseconds(180);
constexpr duration kObjective = seconds(1);
constexpr duration kDeadline = seconds(3);
constexpr std::size_t kMaxPlacements = 4;
constexpr int kDomains = 3;
constexpr int kMaxSends = 3;
constexpr char kService[] = "service";

duration Times(double factor, duration span) {
  return duration(static_cast<duration::rep>(factor * static_cast<double>(span.count())));
}

}  // namespace

/** What the process beside a target knows, and what it knows as an ingress node. */
struct declared_rate_world::node {
  explicit node(std::uint32_t slots) : gate(slots) {}

  target_picker picker;
  ingress_admission admission;
  call_attribution attribution;
  slot_gate gate;
  rate_control rates;
  admission_level level;
  row_run_times times;
  std::unordered_map<std::uint64_t, shared_request> waiting;
  bool has_turn_event = false;
  int process = 0;
  instant down_until{};
  instant frozen_until{};
  instant cut_until{};
};

struct declared_rate_world::target {
  std::string id;
  int run = 0;
  std::optional<double> rate;
  // What was declared from which time on.
  std::vector<std::pair<instant, std::optional<double>>> history;
  std::vector<arrival> arrivals;
  // When each ingress node passed on an answer with a rate.
  std::map<int, instant> told;
};

struct declared_rate_world::request {
  std::uint64_t id = 0;
  std::string row;
  std::uint32_t rank = 0;
  int ingress = 0;
  int ingress_process = 0;
  instant sent_at;
  std::optional<double> share;
  std::set<std::string> tried;
  std::size_t placements = 0;
  int target = 0;
  int target_process = 0;
  int target_run = 0;
  picked_target picked;
  int sends = 0;
  instant sent_to_target;
  instant started;
  bool is_counted = false;
  bool is_done = false;
};

declared_rate_world::declared_rate_world(const options& chosen)
    : options_(chosen), random_(chosen.seed), events_(kStart) {
  for (int number = 0; number < options_.targets; ++number) {
    targets_.push_back(std::make_unique<target>());
    targets_.back()->id = "t" + std::to_string(number);
  }
  std::vector<double> weights;
  double sum = 0.0;
  for (int number = 0; number < options_.nodes; ++number) {
    nodes_.push_back(std::make_unique<node>(options_.slots));
    for (int target = 0; target < options_.targets; ++target) {
      nodes_.back()->picker.SetTarget(Published(target));
    }
    weights.push_back(1.0 + (options_.unevenness - 1.0) * random_.Fraction());
    sum += weights.back();
  }
  for (int number = 0; number < options_.nodes; ++number) {
    ScheduleClient(number, options_.load * weights[static_cast<std::size_t>(number)] / sum);
  }
  events_.ScheduleAfter(rate_control::kPeriod, [this] { Step(); });
}

declared_rate_world::~declared_rate_world() = default;

published_target declared_rate_world::Published(int target) const {
  const auto& of = *targets_[static_cast<std::size_t>(target)];
  return {.id = of.id,
          .started_millis = 1 + of.run,
          .backend = {},
          .failure_domain = std::to_string(target % kDomains),
          .slots = options_.slots};
}

//==============================================================================
void declared_rate_world::Declare(int target, std::optional<double> rate) {
  auto& of = *targets_[static_cast<std::size_t>(target)];
  of.rate = rate;
  of.history.emplace_back(events_.now(), rate);
}

void declared_rate_world::RestartNode(int node_number, duration outage) {
  auto& ending = nodes_[static_cast<std::size_t>(node_number)];
  const int process = ending->process + 1;
  const instant cut_until = ending->cut_until;
  ending = std::make_unique<node>(options_.slots);
  ending->process = process;
  ending->cut_until = cut_until;
  ending->down_until = events_.now() + outage;
  for (int target = 0; target < options_.targets; ++target) {
    ending->picker.SetTarget(Published(target));
    targets_[static_cast<std::size_t>(target)]->told.erase(node_number);
  }
}

void declared_rate_world::FreezeNode(int node_number, duration span) {
  nodes_[static_cast<std::size_t>(node_number)]->frozen_until = events_.now() + span;
  for (const auto& each : targets_) {
    each->told.erase(node_number);
  }
}

void declared_rate_world::CutNode(int node_number, duration span) {
  nodes_[static_cast<std::size_t>(node_number)]->cut_until = events_.now() + span;
  for (const auto& each : targets_) {
    each->told.erase(node_number);
  }
}

void declared_rate_world::RestartTarget(int number, bool keeps_id) {
  auto& of = *targets_[static_cast<std::size_t>(number)];
  const std::string former = of.id;
  ++of.run;
  of.id += keeps_id ? "" : "+";
  of.told.clear();
  Declare(number, std::nullopt);
  for (const auto& each : nodes_) {
    if (!keeps_id) {
      each->picker.RemoveTarget(former);
    }
    each->picker.SetTarget(Published(number));
  }
  node& beside = *nodes_[static_cast<std::size_t>(number)];
  beside.rates.Forget();
  beside.gate.SetRate(std::nullopt, events_.now());
}

//==============================================================================
void declared_rate_world::ScheduleClient(int ingress, double per_second) {
  const double gap = -std::log(1.0 - random_.Fraction()) / per_second * 1e6;
  events_.ScheduleAfter(duration(static_cast<duration::rep>(gap)), [this, ingress, per_second] {
    SendByClient(ingress);
    ScheduleClient(ingress, per_second);
  });
}

void declared_rate_world::SendByClient(int ingress) {
  node& at = *nodes_[static_cast<std::size_t>(ingress)];
  const instant now = events_.now();
  if (now < at.down_until || now < at.frozen_until) {
    return;
  }
  auto made = std::make_shared<request>();
  made->rank = random_.Below(3) == 0 ? 0 : 1;
  made->row = made->rank == 0 ? "first" : "second";
  made->ingress = ingress;
  made->ingress_process = at.process;
  made->sent_at = now;
  ++sent_[made->row];
  at.admission.OnRequest(made->row, made->rank, now);
  if (at.admission.Admits(made->row, made->rank, random_.Fraction(), now)) {
    Place(made);
  }
}

// Each placement has a copy of its own, as an earlier one may still wait at its target.
void declared_rate_world::Place(const shared_request& before) {
  const auto sent = std::make_shared<request>(*before);
  sent->id = ++last_id_;
  node& at = *nodes_[static_cast<std::size_t>(sent->ingress)];
  const instant now = events_.now();
  if (at.process != sent->ingress_process || sent->placements >= kMaxPlacements ||
      now - sent->sent_at > kDeadline) {
    return;
  }
  const std::string domain = std::to_string(sent->ingress % kDomains);
  const auto picked =
      at.picker.Pick({.tried_targets = sent->tried, .own_domain = domain}, now, random_);
  if (!picked) {
    return;
  }
  ++sent->placements;
  ++placements_;
  sent->tried.insert(picked->target.id);
  sent->picked = *picked;
  sent->share = at.admission.ShareInForce(sent->row, now);
  for (int target = 0; target < options_.targets; ++target) {
    sent->target =
        targets_[static_cast<std::size_t>(target)]->id == picked->target.id ? target : sent->target;
  }
  at.picker.OnSent(picked->target.id, now);
  const node& to = *nodes_[static_cast<std::size_t>(sent->target)];
  sent->target_process = to.process;
  sent->is_done = false;
  Deliver(sent->ingress, sent->target, [this, sent] { ArriveAtNode(sent); });
  events_.ScheduleAfter(kAnswerTimeout, [this, sent] {
    const node& beside = *nodes_[static_cast<std::size_t>(sent->target)];
    node& ingress = *nodes_[static_cast<std::size_t>(sent->ingress)];
    const bool is_lost = events_.now() < beside.cut_until || events_.now() < beside.down_until ||
                         beside.process != sent->target_process ||
                         events_.now() < ingress.cut_until || events_.now() < beside.frozen_until;
    if (is_lost && !sent->is_done) {
      sent->is_done = true;
      ingress.picker.OnDone(sent->picked.target.id);
      ingress.picker.OnUnreachable(sent->picked.target.id, events_.now());
      Place(sent);
    }
  });
}

// Messages to a frozen node wait; those of a node that is cut off, or to one that is down, are
// lost.
void declared_rate_world::Deliver(int from, int to, std::function<void()> act) {
  const instant now = events_.now();
  const node& sender = *nodes_[static_cast<std::size_t>(from)];
  const node& receiver = *nodes_[static_cast<std::size_t>(to)];
  const bool is_cut = from != to && (now < sender.cut_until || now < receiver.cut_until);
  if (is_cut || now < receiver.down_until) {
    return;
  }
  const duration delay = Times(0.5 + random_.Fraction(), kOneWayDelay);
  const duration frozen = std::max<duration>(receiver.frozen_until - now, duration::zero());
  events_.ScheduleAfter(std::max(delay, frozen), std::move(act));
}

//==============================================================================
void declared_rate_world::ArriveAtNode(const shared_request& sent) {
  node& at = *nodes_[static_cast<std::size_t>(sent->target)];
  if (at.process != sent->target_process || sent->is_done) {
    return;
  }
  const instant now = events_.now();
  const target& of = *targets_[static_cast<std::size_t>(sent->target)];
  if (sent->picked.declared && sent->picked.target.started_millis == 1 + of.run) {
    at.rates.OnBelief(sent->picked.target.id, *sent->picked.declared, now);
    at.gate.SetRate(at.rates.PacedRateAt(now), now);
  }
  OfferSlot(sent);
}

void declared_rate_world::OfferSlot(const shared_request& sent) {
  node& at = *nodes_[static_cast<std::size_t>(sent->target)];
  const instant now = events_.now();
  const duration run_time = at.times.MeanOf(sent->row, at.gate.service_time());
  const slot_verdict verdict = at.gate.Offer({.id = sent->id,
                                              .priority = sent->rank,
                                              .nested = false,
                                              .deadline_left = sent->sent_at + kDeadline - now,
                                              .objective_left = sent->sent_at + kObjective - now,
                                              .objective = kObjective,
                                              .run_time = run_time,
                                              .awaits_turn = sent->picked.awaits_turn},
                                             now);
  const bool is_over_rate = verdict == slot_verdict::kOverRate;
  const double counted = std::exchange(sent->is_counted, !is_over_rate) ? 0.0 : 1.0;
  at.rates.OnArrival({.requests = counted,
                      .admitted_share = sent->share,
                      .awaits_turn = sent->picked.awaits_turn,
                      .is_over_rate = is_over_rate},
                     now);
  if (!is_over_rate) {
    at.level.OnArrival(now - sent->sent_at, Times(counted, run_time), sent->share);
  }
  switch (verdict) {
    case slot_verdict::kStart:
      StartRun(sent);
      break;
    case slot_verdict::kWait:
      at.waiting.emplace(sent->id, sent);
      ScheduleTurn(sent->target);
      break;
    case slot_verdict::kRefuse:
      Reply(sent, false, false);
      break;
    case slot_verdict::kOverRate:
      ++over_rate_;
      Reply(sent, false, true);
      break;
  }
}

void declared_rate_world::StartRun(const shared_request& started) {
  node& at = *nodes_[static_cast<std::size_t>(started->target)];
  started->started = events_.now();
  started->sends = 0;
  started->target_run = targets_[static_cast<std::size_t>(started->target)]->run;
  at.attribution.OnRunStart(started->row, events_.now());
  SendToTarget(started);
}

void declared_rate_world::SendToTarget(const shared_request& started) {
  node& at = *nodes_[static_cast<std::size_t>(started->target)];
  target& of = *targets_[static_cast<std::size_t>(started->target)];
  const instant now = events_.now();
  const auto told = of.told.find(started->ingress);
  of.arrivals.push_back(
      {.at = now, .was_told = told != of.told.end() && now >= told->second + kNoticeTime});
  started->sent_to_target = now;
  ++started->sends;
  at.rates.OnSent();
  const bool is_rejected = random_.Fraction() < options_.rejections;
  const duration run_time =
      is_rejected ? kOneWayDelay : Times(0.5 + random_.Fraction(), options_.run_time);
  events_.ScheduleAfter(run_time,
                        [this, started, is_rejected] { FinishRun(started, is_rejected); });
}

void declared_rate_world::FinishRun(const shared_request& run, bool was_rejected) {
  node& at = *nodes_[static_cast<std::size_t>(run->target)];
  const target& of = *targets_[static_cast<std::size_t>(run->target)];
  if (at.process != run->target_process) {
    return;
  }
  if (events_.now() < at.frozen_until) {
    events_.ScheduleAfter(at.frozen_until - events_.now(),
                          [this, run, was_rejected] { FinishRun(run, was_rejected); });
    return;
  }
  if (of.run != run->target_run) {
    at.gate.Release();
    Reply(run, false, false);
    return;
  }
  OnAnswer(run, was_rejected);
  if (was_rejected && run->sends < kMaxSends && at.gate.TryTakeTurn(events_.now())) {
    SendToTarget(run);
    return;
  }
  at.attribution.OnRunEnd(run->row, run->started, events_.now(),
                          was_rejected ? call_attribution::run_outcome::kCancelled
                                       : call_attribution::run_outcome::kCompleted);
  if (was_rejected) {
    at.gate.Release();
  } else {
    at.gate.Finish(events_.now() - run->started);
    at.times.OnRun(run->row, events_.now() - run->started);
  }
  Reply(run, !was_rejected, false);
  StartWaiting(run->target);
}

// The node takes in what the target declares with its answer.
void declared_rate_world::OnAnswer(const shared_request& run, bool was_rejected) {
  node& at = *nodes_[static_cast<std::size_t>(run->target)];
  const target& of = *targets_[static_cast<std::size_t>(run->target)];
  const instant now = events_.now();
  if (of.rate) {
    at.rates.OnDeclared(of.id, *of.rate, now);
  } else if (!was_rejected) {
    at.rates.OnNotDeclared(of.id, run->sent_to_target);
  }
  at.gate.SetRate(at.rates.PacedRateAt(now), now);
}

void declared_rate_world::Reply(const shared_request& sent, bool was_served, bool is_over_rate) {
  const node& at = *nodes_[static_cast<std::size_t>(sent->target)];
  const instant now = events_.now();
  const row_limit own{
      .share = std::min(at.level.share(), at.rates.BeliefAt(now) ? at.rates.share() : 1.0),
      .cost = at.times.MeanOf(sent->row, at.gate.service_time()),
      .service = kService};
  const auto limit = LimitToReport(sent->row, own, sent->share, at.attribution, at.admission, now);
  const target_report load{.running = at.gate.running(),
                           .waiting = at.gate.waiting(),
                           .limit = at.gate.limit(),
                           .service_time = at.gate.service_time()};
  const auto rate = at.rates.ReportAt(now);
  const bool tells = targets_[static_cast<std::size_t>(sent->target)]->rate.has_value();
  const std::string id = sent->picked.target.id;
  Deliver(sent->target, sent->ingress, [=, this] {
    node& ingress = *nodes_[static_cast<std::size_t>(sent->ingress)];
    if (ingress.process != sent->ingress_process || sent->is_done) {
      return;
    }
    ingress.picker.OnReport(id, load, events_.now());
    ingress.picker.OnRateReport(id, rate, events_.now());
    ingress.admission.OnAnswer(sent->row, limit, true, events_.now());
    auto& of = *targets_[static_cast<std::size_t>(sent->target)];
    if (was_served && tells && of.id == id) {
      of.told.try_emplace(sent->ingress, events_.now());
    }
    OnReply(sent, was_served, is_over_rate);
  });
}

void declared_rate_world::OnReply(const shared_request& sent, bool was_served, bool is_over_rate) {
  node& ingress = *nodes_[static_cast<std::size_t>(sent->ingress)];
  sent->is_done = true;
  ingress.picker.OnDone(sent->picked.target.id);
  if (was_served) {
    ++served_[sent->row];
    return;
  }
  if (is_over_rate) {
    ingress.picker.OnOverRate(sent->picked.target.id, events_.now());
    sent->tried.erase(sent->picked.target.id);
  }
  Place(sent);
}

void declared_rate_world::StartWaiting(int at) {
  node& of = *nodes_[static_cast<std::size_t>(at)];
  while (const auto next = of.gate.StartNext(events_.now())) {
    StartRun(of.waiting.extract(*next).mapped());
  }
  ScheduleTurn(at);
}

void declared_rate_world::ScheduleTurn(int at) {
  node& of = *nodes_[static_cast<std::size_t>(at)];
  const auto turn = of.gate.NextTurn(events_.now());
  if (!turn || std::exchange(of.has_turn_event, true)) {
    return;
  }
  const duration left = std::max<duration>(*turn - events_.now(), milliseconds(1));
  events_.ScheduleAfter(left, [this, at, process = of.process] {
    node& now_at = *nodes_[static_cast<std::size_t>(at)];
    if (now_at.process == process) {
      now_at.has_turn_event = false;
      StartWaiting(at);
    }
  });
}

void declared_rate_world::Step() {
  const instant now = events_.now();
  for (std::size_t number = 0; number < targets_.size(); ++number) {
    node& each = *nodes_[number];
    if (now < each.frozen_until || now < each.down_until) {
      continue;
    }
    for (const std::uint64_t id : each.gate.TakeExpired(now)) {
      Reply(each.waiting.extract(id).mapped(), false, false);
    }
    const duration wait = each.gate.TakeLongestWait(now);
    each.rates.Step(wait, now);
    each.gate.SetRate(each.rates.PacedRateAt(now), now);
    const bool waits_for_slots = each.gate.lacks_slots() || !each.gate.has_rate();
    each.level.Step(waits_for_slots ? wait : duration::zero(), each.gate.running(),
                    each.gate.limit(), each.gate.service_time());
  }
  events_.ScheduleAfter(rate_control::kPeriod, [this] { Step(); });
}

//==============================================================================
void declared_rate_world::StartCounting() {
  sent_.clear();
  served_.clear();
  over_rate_ = 0;
  placements_ = 0;
}

int declared_rate_world::Arrivals(int target, instant from) const {
  const auto& all = targets_[static_cast<std::size_t>(target)]->arrivals;
  return static_cast<int>(
      std::ranges::count_if(all, [from](const arrival& each) { return each.at >= from; }));
}

// Requests that the declared rate allows between two moments. A rate that has just fallen counts
// from kNoticeTime after that on. Negative where none was declared, or for too short a time.
double declared_rate_world::RateAllowed(const target& of, instant from, instant to) const {
  double allowed = 0.0;
  std::optional<instant> first;
  for (std::size_t at = 0; at < of.history.size(); ++at) {
    const auto& [begin, rate] = of.history[at];
    const instant end = at + 1 < of.history.size() ? of.history[at + 1].first : to;
    if (!rate) {
      if (begin < to && end > from) {
        return -1.0;
      }
      first.reset();
      continue;
    }
    first = first.value_or(begin);
    if (begin < to && end > from && from < *first + kFirstNoticeTime) {
      return -1.0;
    }
    const bool falls = at > 0 && of.history[at - 1].second && *of.history[at - 1].second > *rate;
    const instant in_force = falls ? std::min(end, begin + kNoticeTime) : begin;
    const auto overlap = [from, to](instant a, instant b) {
      return std::max(0.0, ToSeconds(std::min(to, b) - std::max(from, a)));
    };
    allowed += *rate * overlap(in_force, end);
    allowed += falls ? *of.history[at - 1].second * overlap(begin, in_force) : 0.0;
  }
  return first && !of.history.empty() && of.history.front().first <= from ? allowed : -1.0;
}

double declared_rate_world::WorstPart() const {
  double worst = 0.0;
  for (const auto& of : targets_) {
    std::vector<instant> counted;
    for (const arrival& each : of->arrivals) {
      if (each.was_told) {
        counted.push_back(each.at);
      }
    }
    for (std::size_t first = 0, next = 0; first < counted.size(); ++first) {
      while (next < counted.size() && counted[next] <= counted[first] + kWindow) {
        ++next;
      }
      const double allowed = RateAllowed(*of, counted[first], counted[first] + kWindow);
      if (allowed >= 0.0) {
        worst = std::max(worst, static_cast<double>(next - first) / (1.5 * allowed + 5.0));
      }
    }
  }
  return worst;
}

}  // namespace cuminferry::testing
