#include "customers/limit_fleet.h"

#include <algorithm>
#include <cmath>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;

constexpr duration kTick = milliseconds(5);
constexpr duration kReplyTimeout = milliseconds(200);
constexpr duration kSilentTime = std::chrono::seconds(1);

}  // namespace

limit_fleet::limit_fleet(const options& chosen)
    : options_(chosen),
      random_(chosen.seed),
      domain_cut_(chosen.domains, false),
      cut_noticed_(chosen.domains, false) {
  for (std::size_t node = 0; node < chosen.nodes; ++node) {
    nodes_.push_back({.limits = customer_limits(chosen.bounds, random_.Fraction()),
                      .coordinator = customer_coordinator(chosen.bounds)});
    nodes_.back().limits.SetNodes(chosen.nodes);
    coordinators_.AddNode({.backend = AddressOf(node), .failure_domain = DomainOf(node)});
  }
}

std::string limit_fleet::DomainOf(std::size_t node) const {
  return std::to_string(node % options_.domains);
}

endpoint limit_fleet::AddressOf(std::size_t node) const {
  return {.address = 0x0A000000 + static_cast<std::uint32_t>(node), .port = 80};
}

void limit_fleet::Set(const load& wanted) { loads_[wanted.who.name] = wanted; }

void limit_fleet::CutDomain(std::size_t domain, bool cut) {
  domain_cut_[domain] = cut;
  At(now_ + (cut ? kCutNoticed : kReturnNoticed),
     [this, domain] { cut_noticed_[domain] = domain_cut_[domain]; });
}

void limit_fleet::CutNode(std::size_t node, bool cut) { nodes_[node].cut = cut; }

void limit_fleet::Restart(std::size_t node) {
  node_state& state = nodes_[node];
  state.limits = customer_limits(options_.bounds, random_.Fraction());
  state.limits.SetNodes(options_.nodes);
  state.coordinator = customer_coordinator(options_.bounds);
  state.waiting.clear();
  state.silent_until.clear();
  ++state.incarnation;
}

bool limit_fleet::Reaches(std::size_t from, std::size_t to) const {
  if (from == to) {
    return true;
  }
  const std::size_t from_domain = from % options_.domains;
  const std::size_t to_domain = to % options_.domains;
  return !options_.equal_shares_only && !nodes_[from].cut && !nodes_[to].cut &&
         (from_domain == to_domain || (!domain_cut_[from_domain] && !domain_cut_[to_domain]));
}

bool limit_fleet::SeesCut(std::size_t node, std::string_view domain) const {
  if (domain == DomainOf(node)) {
    return false;
  }
  const auto other = static_cast<std::size_t>(std::stoul(std::string(domain)));
  return cut_noticed_[other] || cut_noticed_[node % options_.domains];
}

duration limit_fleet::NetworkDelay() {
  return duration(1 + static_cast<duration::rep>(random_.Below(
                          static_cast<std::uint64_t>(options_.max_network_delay.count()))));
}

void limit_fleet::At(instant when, std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void limit_fleet::RunEvents() {
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
}

std::size_t limit_fleet::Poisson(double mean) {
  std::size_t count = 0;
  for (double product = random_.Fraction(); product > std::exp(-mean);
       product *= random_.Fraction()) {
    ++count;
  }
  return count;
}

void limit_fleet::RunFor(duration span) {
  const instant end = now_ + span;
  constexpr std::uint64_t kTicksInPeriod = customer_limits::kReportPeriod / kTick;
  while (now_ < end) {
    now_ += kTick;
    ++tick_;
    RunEvents();
    for (const auto& [name, of] : loads_) {
      const std::size_t node_count = of.nodes == 0 ? nodes_.size() : of.nodes;
      const double mean = of.requested * static_cast<double>(kTick.count()) / 1e6;
      for (std::size_t remaining = Poisson(mean); remaining > 0; --remaining) {
        Arrive(random_.Below(node_count), of);
      }
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      // The report periods of the nodes are offset from each other.
      if ((tick_ + node) % kTicksInPeriod == 0) {
        SendReports(node);
      }
    }
  }
}

void limit_fleet::Arrive(std::size_t node, const load& of) {
  ++outcomes_[of.who.name].requested;
  const limit_decision decision = nodes_[node].limits.DecideOn(of.who, random_.Fraction(), now_);
  if (decision == limit_decision::kQueryCoordinator) {
    nodes_[node].waiting.push_back({.customer = of.who.name, .since = now_});
    SendReports(node);
    return;
  }
  FinishRequest(node, of, decision == limit_decision::kWithinLimit, now_);
}

void limit_fleet::FinishRequest(std::size_t node, const load& of, bool admitted, instant since) {
  outcome& result = outcomes_[of.who.name];
  result.longest_wait = std::max(result.longest_wait, now_ - since);
  if (!admitted) {
    ++result.over_limit;
  } else if (random_.Fraction() < of.refused_downstream) {
    nodes_[node].limits.OnRefused(of.who);
  } else {
    result.ran.push_back(now_);
  }
}

std::vector<std::size_t> limit_fleet::CoordinatorsOf(std::size_t node,
                                                     const std::string& customer) const {
  std::vector<std::size_t> coordinators;
  const auto is_cut_off = [&](std::string_view domain) { return SeesCut(node, domain); };
  for (const endpoint& coordinator : coordinators_.CoordinatorsOf(customer, is_cut_off)) {
    const std::size_t found = coordinator.address - 0x0A000000;
    if (found == node && nodes_.size() > 1 &&
        !nodes_[node].coordinator.HasReportsOfOthers(customer, now_)) {
      continue;
    }
    const auto silent = nodes_[node].silent_until.find(found);
    if (silent == nodes_[node].silent_until.end() || now_ >= silent->second) {
      coordinators.push_back(found);
    }
  }
  return coordinators;
}

void limit_fleet::SendReports(std::size_t node) {
  for (const limit_report& report : nodes_[node].limits.TakeReports(now_)) {
    SendReport(node, report, true);
  }
}

void limit_fleet::SendReport(std::size_t node, const limit_report& report, bool first) {
  const std::vector<std::size_t> coordinators = CoordinatorsOf(node, report.customer);
  if (coordinators.empty() || (options_.equal_shares_only && coordinators.front() != node)) {
    OnNoReply(node, report);
    return;
  }
  const std::size_t coordinator = coordinators.front();
  const customer who = loads_[report.customer].who;
  const std::uint64_t incarnation = nodes_[node].incarnation;
  const auto count_report = [this, coordinator, node, who, report] {
    const double reachable_share = coordinators_.ReachableShare(
        [this, coordinator](std::string_view domain) { return SeesCut(coordinator, domain); },
        now_);
    return nodes_[coordinator].coordinator.OnReport(report, who, reachable_share,
                                                    coordinator == node, now_);
  };
  if (coordinator == node) {
    OnReply(node, count_report());
    return;
  }
  ++messages_;
  if (!Reaches(node, coordinator)) {
    At(now_ + kReplyTimeout, [this, node, coordinator, report, first, incarnation] {
      if (nodes_[node].incarnation != incarnation) {
        return;
      }
      nodes_[node].silent_until[coordinator] = now_ + kSilentTime;
      if (first) {
        SendReport(node, report, false);
      } else {
        OnNoReply(node, report);
      }
    });
    return;
  }
  At(now_ + NetworkDelay(), [this, node, incarnation, count_report] {
    const limit_reply reply = count_report();
    At(now_ + NetworkDelay(), [this, node, incarnation, reply] {
      if (nodes_[node].incarnation == incarnation) {
        OnReply(node, reply);
      }
    });
  });
}

void limit_fleet::OnReply(std::size_t node, const limit_reply& reply) {
  nodes_[node].limits.OnReply(reply, now_);
  RunWaiting(node, reply.customer);
}

void limit_fleet::OnNoReply(std::size_t node, const limit_report& report) {
  nodes_[node].limits.OnNoReply(report, now_);
  RunWaiting(node, report.customer);
}

void limit_fleet::RunWaiting(std::size_t node, const std::string& customer) {
  std::vector<waiting_request> ready;
  std::erase_if(nodes_[node].waiting, [&](const waiting_request& request) {
    if (request.customer != customer) {
      return false;
    }
    ready.push_back(request);
    return true;
  });
  const load& of = loads_[customer];
  for (const waiting_request& request : ready) {
    FinishRequest(node, of, nodes_[node].limits.AdmitsAfterQuery(of.who, random_.Fraction(), now_),
                  request.since);
  }
}

std::size_t limit_fleet::MaxInWindow(const std::string& customer) const {
  const auto at = outcomes_.find(customer);
  if (at == outcomes_.end()) {
    return 0;
  }
  const std::vector<instant>& ran = at->second.ran;
  std::size_t maximum = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < ran.size(); ++last) {
    while (ran[last] - ran[first] > options_.bounds.window) {
      ++first;
    }
    maximum = std::max(maximum, last - first + 1);
  }
  return maximum;
}

double limit_fleet::Bound(const customer& of) const {
  const double window = static_cast<double>(options_.bounds.window.count()) / 1e6;
  return (of.rate * window + of.burst) * (1.0 + options_.bounds.excess) + options_.bounds.allowance;
}

}  // namespace cuminferry::testing
