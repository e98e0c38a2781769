#include "customers/share_fleet.h"

#include <algorithm>
#include <cmath>

#include "cuminferry_relay/path/peer_message.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr duration kReplyTimeout = milliseconds(200);
constexpr duration kSilentTime = std::chrono::seconds(1);
constexpr duration kCutNoticed = milliseconds(400);
constexpr duration kReturnNoticed = std::chrono::seconds(1);
constexpr share_pool kPool{.service = "leaf", .rank = 7};

}  // namespace

share_fleet::share_fleet(const options& chosen)
    : options_(chosen),
      random_(chosen.seed),
      cut_(chosen.domains, false),
      cut_noticed_(chosen.domains, false) {
  for (std::size_t node = 0; node < chosen.nodes; ++node) {
    nodes_.push_back({.limits = customer_limits(chosen.bounds, random_.Fraction()),
                      .limit_sums = customer_coordinator(chosen.bounds)});
    nodes_.back().limits.SetNodes(chosen.nodes);
    picker_.AddNode({.backend = AddressOf(node), .failure_domain = DomainOf(node)});
  }
}

void share_fleet::Set(const load& wanted) {
  loads_[wanted.who.name] = wanted;
  std::vector<customer> customers;
  for (const auto& [name, of] : loads_) {
    customers.push_back(of.who);
  }
  weights_.SetCustomers(customers);
}

void share_fleet::CutDomain(std::size_t domain, bool cut) {
  cut_[domain] = cut;
  At(cut ? kCutNoticed : kReturnNoticed, [this, domain] { cut_noticed_[domain] = cut_[domain]; });
}

void share_fleet::SetDown(std::size_t node, bool down) {
  nodes_[node].down = down;
  Restart(node);
  At(down ? kDelistTime : duration::zero(), [this, node, down] {
    if (nodes_[node].down != down) {
      return;
    }
    if (down) {
      picker_.RemoveNode(AddressOf(node), now_);
    } else {
      picker_.AddNode({.backend = AddressOf(node), .failure_domain = DomainOf(node)});
    }
  });
}

void share_fleet::Restart(std::size_t node) {
  const std::uint64_t incarnation = nodes_[node].incarnation + 1;
  const bool down = nodes_[node].down;
  nodes_[node] = {.limits = customer_limits(options_.bounds, random_.Fraction()),
                  .limit_sums = customer_coordinator(options_.bounds),
                  .down = down,
                  .incarnation = incarnation};
  nodes_[node].limits.SetNodes(options_.nodes);
}

bool share_fleet::Reaches(std::size_t from, std::size_t to) const {
  const std::size_t from_domain = from % options_.domains;
  const std::size_t to_domain = to % options_.domains;
  return !nodes_[from].down && !nodes_[to].down &&
         (from_domain == to_domain || (!cut_[from_domain] && !cut_[to_domain]));
}

bool share_fleet::SeesCut(std::size_t node, std::string_view domain) const {
  const auto other = static_cast<std::size_t>(std::stoul(std::string(domain)));
  const std::size_t own = node % options_.domains;
  return other != own && (cut_noticed_[other] || cut_noticed_[own]);
}

void share_fleet::At(duration delay, std::function<void()> action) {
  events_.emplace(now_ + delay, std::move(action));
}

duration share_fleet::NetworkDelay() {
  return duration(1 + static_cast<duration::rep>(random_.Below(
                          static_cast<std::uint64_t>(options_.max_network_delay.count()))));
}

std::size_t share_fleet::Poisson(double mean) {
  std::size_t count = 0;
  for (double product = random_.Fraction(); product > std::exp(-mean);
       product *= random_.Fraction()) {
    ++count;
  }
  return count;
}

void share_fleet::RunFor(duration span) {
  const instant end = now_ + span;
  while (now_ < end) {
    now_ += kTick;
    ++tick_;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    for (const auto& [name, of] : loads_) {
      const std::size_t used = of.nodes == 0 ? nodes_.size() : of.nodes;
      for (std::size_t left = Poisson(of.requested * ToSeconds(kTick)); left > 0; --left) {
        std::size_t node = (of.first_node + random_.Below(used)) % nodes_.size();
        while (nodes_[node].down) {
          node = (node + 1) % nodes_.size();
        }
        Arrive(node, of);
      }
    }
    if (tick_ % (admission_level::kPeriod / kTick) == 0) {
      StepLevel();
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      constexpr std::uint64_t kNoiseTicks = milliseconds(100) / milliseconds(5);
      constexpr std::uint64_t kLoadTicks = demand_coordinator::kLoadPeriod / kTick;
      constexpr std::uint64_t kReportTicks = customer_limits::kReportPeriod / kTick;
      if ((tick_ + node) % kNoiseTicks == 0) {
        nodes_[node].noise = options_.noise * (2.0 * random_.Fraction() - 1.0);
      }
      if (nodes_[node].down) {
        continue;
      }
      if ((tick_ + node) % kReportTicks == 0) {
        SendReports(node);
      }
      if ((tick_ + node) % kLoadTicks == 0) {
        SendLoads(node);
      }
    }
  }
}

// The customers of these tests stay within their limits, so that no request is refused for one.
void share_fleet::Arrive(std::size_t node, const load& of) {
  const limit_decision decision = nodes_[node].limits.DecideOn(of.who, random_.Fraction(), now_);
  if (decision == limit_decision::kQueryCoordinator) {
    nodes_[node].waiting.push_back(of.who.name);
    SendReports(node);
    return;
  }
  Finish(node, of);
}

void share_fleet::Finish(std::size_t node, const load& of) {
  const double share = std::clamp(nodes_[node].share * (1.0 + nodes_[node].noise), 0.0, 1.0);
  double admitted = share;
  if (options_.divides != division::kNone) {
    admitted =
        nodes_[node].shares.OnRequest(kPool, of.who.name, weights_.WeightOf(of.who), share, now_);
  }
  counts& counted = counts_[of.who.name][node][now_.time_since_epoch() / kBin];
  counted.requested += 1.0;
  if (random_.Fraction() < admitted) {
    counted.admitted += 1.0;
    service_.arrived += 1.0;
    service_.share_sum += share;
  } else {
    nodes_[node].limits.OnRefused(of.who);
  }
}

std::vector<std::size_t> share_fleet::CoordinatorsOf(std::size_t node,
                                                     const std::string& key) const {
  std::vector<std::size_t> found;
  for (const endpoint& at : picker_.CoordinatorsOf(
           key, [&](std::string_view domain) { return SeesCut(node, domain); })) {
    const std::size_t coordinator = at.address - 0x0A000000;
    const auto silent = nodes_[node].silent_until.find(coordinator);
    const bool is_silent = silent != nodes_[node].silent_until.end() && now_ < silent->second;
    const bool is_alone = coordinator == node && loads_.contains(key) && nodes_.size() > 1 &&
                          !nodes_[node].limit_sums.HasReportsOfOthers(key, now_) &&
                          !nodes_[node].demand.HasReportsOfOthers(key, now_);
    if (!is_silent && !is_alone) {
      found.push_back(coordinator);
    }
  }
  return found;
}

std::size_t share_fleet::CoordinatorOf(const std::string& customer) const {
  return picker_.CoordinatorsOf(customer, [](std::string_view) { return false; }).front().address -
         0x0A000000;
}

std::size_t share_fleet::LevelCoordinator() const {
  return CoordinatorOf(CoordinatorKeyOf(kPool.id()));
}

// Steps the admitted share as admission_level does: the share under which the load was admitted,
// divided by the utilization that it causes. Answers carry it to the nodes after 0.1 to 0.3 s.
void share_fleet::StepLevel() {
  constexpr double kWeight = admission_level::kLoadWeight;
  const double capacity = options_.capacity * ToSeconds(admission_level::kPeriod);
  service_.mean_arrived += kWeight * (service_.arrived - service_.mean_arrived);
  if (service_.arrived > 0.0) {
    service_.mean_share += kWeight * (service_.share_sum / service_.arrived - service_.mean_share);
  }
  service_.arrived = 0.0;
  service_.share_sum = 0.0;
  const double utilization = std::max(0.1, service_.mean_arrived / capacity);
  service_.reported_share =
      std::clamp(service_.mean_share / utilization, admission_level::kMinShare, 1.0);
  for (node_state& node : nodes_) {
    const auto spread = static_cast<duration::rep>(random_.Below(200));
    At(milliseconds(100 + spread),
       [&node, share = service_.reported_share] { node.share = share; });
  }
}

void share_fleet::RunWaiting(std::size_t node, const std::string& customer) {
  for (std::size_t ready = std::erase(nodes_[node].waiting, customer); ready > 0; --ready) {
    Finish(node, loads_[customer]);
  }
}

void share_fleet::SendReports(std::size_t node) {
  node_state& state = nodes_[node];
  std::map<std::size_t, share_query> queries;
  const auto add = [&](customer_report report) {
    const auto coordinators = CoordinatorsOf(node, report.limit.customer);
    if (coordinators.empty()) {
      OnUndelivered(node, report);
      return;
    }
    queries[coordinators.front()].reports.push_back(std::move(report));
  };
  for (const limit_report& report : state.limits.TakeReports(now_)) {
    add({.limit = report,
         .counts_for_limit = true,
         .pools = state.shares.TakeDemand(report.customer, now_)});
  }
  for (const std::string& name : state.shares.CustomersDue(now_)) {
    add({.limit = {.customer = name}, .pools = state.shares.TakeDemand(name, now_)});
  }
  for (auto& [to, query] : queries) {
    Send(node, to, {.query = std::move(query)});
  }
}

// Without a coordinator, the limit follows the node's equal share. A listed coordinator that no
// other node queries counts the demand itself.
void share_fleet::OnUndelivered(std::size_t node, const customer_report& report) {
  const std::string& name = report.limit.customer;
  if (report.counts_for_limit) {
    nodes_[node].limits.OnNoReply(report.limit, now_);
    RunWaiting(node, name);
  }
  const auto listed =
      picker_.CoordinatorsOf(name, [&](std::string_view domain) { return SeesCut(node, domain); });
  if (std::ranges::find(listed, AddressOf(node)) != listed.end()) {
    const share_query query{.reports = {{.limit = {.customer = name}, .pools = report.pools}}};
    OnReply(node, query, Answer(node, query, true));
  }
}

void share_fleet::SendLoads(std::size_t node) {
  if (options_.divides != division::kFleetLevel) {
    return;
  }
  for (const pool_loads& loads : nodes_[node].demand.Loads(now_)) {
    const auto coordinators = CoordinatorsOf(node, CoordinatorKeyOf(loads.pool));
    if (!coordinators.empty()) {
      Send(node, coordinators.front(),
           {.query = {.reports = {}, .loads = {loads}, .sender = AddressOf(node)},
            .is_first = true});
    }
  }
}

void share_fleet::Send(std::size_t node, std::size_t to, sent_query sent) {
  if (to == node) {
    const share_reply reply = Answer(node, sent.query, true);
    OnReply(node, sent.query, reply);
    return;
  }
  const std::uint64_t incarnation = nodes_[node].incarnation;
  if (!Reaches(node, to)) {
    CountBytes(sent.query, {});
    At(kReplyTimeout, [this, node, to, sent, incarnation] {
      if (nodes_[node].incarnation != incarnation) {
        return;
      }
      nodes_[node].silent_until[to] = now_ + kSilentTime;
      for (const pool_loads& loads : sent.query.loads) {
        const auto others = CoordinatorsOf(node, CoordinatorKeyOf(loads.pool));
        if (sent.is_first && !others.empty()) {
          Send(node, others.front(), {.query = sent.query, .is_first = false});
        }
      }
      for (const customer_report& report : sent.query.reports) {
        const auto others = CoordinatorsOf(node, report.limit.customer);
        if (sent.is_first && !others.empty()) {
          Send(node, others.back(), {.query = {.reports = {report}}, .is_first = false});
        } else {
          OnUndelivered(node, report);
        }
      }
    });
    return;
  }
  At(NetworkDelay(), [this, node, to, sent = std::move(sent), incarnation] {
    const share_reply reply = Answer(to, sent.query, false);
    CountBytes(sent.query, reply);
    At(NetworkDelay(), [this, node, sent, reply, incarnation] {
      if (nodes_[node].incarnation == incarnation) {
        OnReply(node, sent.query, reply);
      }
    });
  });
}

share_reply share_fleet::Answer(std::size_t node, const share_query& query, bool is_own) {
  node_state& state = nodes_[node];
  const double reachable = picker_.ReachableShare(
      [this, node](std::string_view domain) { return SeesCut(node, domain); }, now_);
  share_reply reply;
  for (const customer_report& report : query.reports) {
    const customer& who = loads_[report.limit.customer].who;
    customer_figures figures;
    if (report.counts_for_limit) {
      figures.share = state.limit_sums.OnReport(report.limit, who, reachable, is_own, now_).share;
    }
    figures.rates =
        state.demand.OnReport(who.name, weights_.WeightOf(who), report.pools, is_own, now_);
    reply.figures.push_back(std::move(figures));
  }
  reply.levels = query.loads.empty() ? state.demand.LevelsFor(reply.figures, now_)
                                     : state.levels.OnLoads(query.sender, query.loads, now_);
  return reply;
}

void share_fleet::OnReply(std::size_t node, const share_query& query, const share_reply& reply) {
  node_state& state = nodes_[node];
  for (const pool_level& level : reply.levels) {
    if (query.loads.empty()) {
      state.shares.OnLevel(level, now_);
    } else {
      state.demand.OnLevel(level, now_);
    }
  }
  for (std::size_t at = 0; at < reply.figures.size(); ++at) {
    const customer_report& report = query.reports[at];
    for (const pool_rate& rate : reply.figures[at].rates) {
      state.shares.OnRate(report.limit.customer, rate, now_);
    }
    if (report.counts_for_limit) {
      state.limits.OnReply({.customer = report.limit.customer, .share = reply.figures[at].share},
                           now_);
      RunWaiting(node, report.limit.customer);
    }
  }
}

// Without shares, the bytes are those of /relay/limits.
void share_fleet::CountBytes(const share_query& query, const share_reply& reply) {
  ++messages_;
  if (options_.divides != division::kNone) {
    bytes_ += EncodeMessage(query).size() + EncodeMessage(reply).size();
    return;
  }
  std::vector<limit_report> reports;
  std::vector<limit_reply> replies;
  for (std::size_t at = 0; at < query.reports.size(); ++at) {
    reports.push_back(query.reports[at].limit);
    replies.push_back({.customer = query.reports[at].limit.customer});
  }
  bytes_ += EncodeMessage(reports).size() + EncodeMessage(replies).size();
}

std::vector<share_fleet::result> share_fleet::Results(
    duration span, const std::function<bool(std::size_t)>& counts_domain) const {
  const std::int64_t first = (now_ - span).time_since_epoch() / kBin;
  std::vector<result> results;
  std::vector<fair_demand> demands;
  std::vector<double> saturations;
  double admitted = 0.0;
  for (const auto& [name, nodes] : counts_) {
    result sum{.name = name, .weight = weights_.WeightOf(loads_.at(name).who)};
    for (const auto& [node, bins] : nodes) {
      if (!counts_domain(node % options_.domains)) {
        continue;
      }
      for (auto at = bins.upper_bound(first); at != bins.end(); ++at) {
        sum.requested += at->second.requested;
        sum.admitted += at->second.admitted;
      }
    }
    const double saturation = sum.requested / sum.weight;
    demands.push_back({.requested = sum.requested, .saturation = saturation});
    saturations.push_back(saturation);
    admitted += sum.admitted;
    results.push_back(sum);
  }
  const double level = FairLevel(demands, admitted);
  for (std::size_t at = 0; at < results.size(); ++at) {
    results[at].level = level;
    results[at].expected = loads_.at(results[at].name).requested * ToSeconds(span);
    results[at].fair = results[at].requested * ShareAtLevel(level, saturations[at]);
  }
  return results;
}

double share_fleet::AdmittedAt(std::size_t node, const std::string& customer, duration span) const {
  const std::int64_t first = (now_ - span).time_since_epoch() / kBin;
  counts sum;
  const auto& bins = counts_.at(customer).at(node);
  for (auto at = bins.upper_bound(first); at != bins.end(); ++at) {
    sum.requested += at->second.requested;
    sum.admitted += at->second.admitted;
  }
  return sum.requested > 0.0 ? sum.admitted / sum.requested : 0.0;
}

}  // namespace cuminferry::testing
