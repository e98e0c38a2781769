#include "soak/soak_ledger.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace cuminferry::testing {
namespace {

// A node may close an idle connection while a request is in transit on it.
constexpr duration kCloseRaceTime = std::chrono::milliseconds(200);
// Added to the time bound of an edit while the store is failing.
constexpr duration kStoreFaultSlack = std::chrono::seconds(5);
// After the effect of an edit was observed, an older table may still answer for this long.
constexpr duration kOlderTableSlack = std::chrono::milliseconds(250);
constexpr duration kWindowStep = std::chrono::milliseconds(500);
constexpr double kMinServedShare = 0.9;
// A request that was sent this long before the end of a window arrives within it.
constexpr duration kRequestSlack = std::chrono::milliseconds(300);
constexpr std::size_t kMinRequestsPerPeriod = 10;
// Part of a row's timeout. An answer that was lost later than this counts as timed out.
constexpr double kTimeoutShare = 0.7;

constexpr std::array<std::string_view, 8> kOutcomeNames{"open",   "answered", "refused",  "unknown",
                                                        "no_row", "broken",   "not_sent", "left"};

std::string Describe(const sent_request& request) {
  return fmt::format("{} {} of node {} at {:.3f} s: {} {} after {:.3f} s", request.row, request.id,
                     request.node, ToSeconds(request.sent.time_since_epoch()),
                     kOutcomeNames[static_cast<std::size_t>(request.outcome)], request.status,
                     ToSeconds(request.ended - request.sent));
}

}  // namespace

void soak_ledger::OnViolation(std::string text) {
  const std::scoped_lock lock(mutex_);
  violations_.push_back(std::move(text));
}

sent_request& soak_ledger::OnSent(sent_request request) {
  const std::string id = request.id;
  const std::scoped_lock lock(mutex_);
  return requests_.emplace(id, std::move(request)).first->second;
}

observed_run& soak_ledger::OnArrival(observed_run run) {
  const std::scoped_lock lock(mutex_);
  runs_.push_back(std::make_unique<observed_run>(std::move(run)));
  runs_by_id_[runs_.back()->id].push_back(runs_.back().get());
  return *runs_.back();
}

void soak_ledger::OnToldOf(declared_period::kind type, std::size_t target,
                           const sent_request& answered, instant now) {
  for (declared_period& declared : declared_) {
    if (declared.type == type && declared.target == target && now >= declared.begin) {
      declared.told.try_emplace({answered.node, answered.incarnation}, now);
    }
  }
}

const std::vector<const observed_run*>& soak_ledger::RunsOf(const std::string& id) const {
  static const std::vector<const observed_run*> none;
  const auto found = runs_by_id_.find(id);
  return found == runs_by_id_.end() ? none : found->second;
}

bool soak_ledger::WasDisturbed(disturbance::kind type, std::size_t node, instant from,
                               instant to) const {
  return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const disturbance& seen) {
    const bool here =
        node == disturbance::kAllNodes || seen.node == disturbance::kAllNodes || seen.node == node;
    return seen.type == type && here && seen.begin <= to && seen.end + kRecoveryMargin >= from;
  });
}

bool soak_ledger::WasStoreDisturbed(instant from, instant to) const {
  return std::ranges::any_of(disturbances_, [&](const disturbance& seen) {
    return seen.type == disturbance::kind::kStore && seen.node == disturbance::kAllNodes &&
           seen.begin <= to && seen.end + kRecoveryMargin >= from;
  });
}

bool soak_ledger::WasWithoutFault(const sent_request& request) const {
  return !WasDisturbed(disturbance::kind::kFault, disturbance::kAllNodes, request.sent,
                       request.ended);
}

std::vector<std::string> soak_ledger::Check() const {
  violations found = violations_;
  CheckSenders(found);
  const at_most_once_breaches breaches = CheckAtMostOnce();
  found.insert(found.end(), breaches.ran_twice.begin(), breaches.ran_twice.end());
  found.insert(found.end(), breaches.refused_and_ran.begin(), breaches.refused_and_ran.end());
  found.insert(found.end(), breaches.refused_and_ran_idempotent.begin(),
               breaches.refused_and_ran_idempotent.end());
  CheckCallers(found);
  CheckLostAnswers(found);
  CheckLateAnswers(found);
  CheckEdits(found);
  CheckRegression(found);
  CheckDraining(found);
  CheckDeclaredRates(found);
  CheckDeclaredLeaving(found);
  CheckLeftUnlisted(found);
  CheckServiceTargets(found);
  CheckRepeats(found);
  CheckFaultFreePeriods(found);
  return found;
}

void soak_ledger::CheckSenders(violations& into) const {
  for (const auto& [id, runs] : runs_by_id_) {
    if (!requests_.contains(id)) {
      into.push_back("a backend server received a request that no client sent: " + id);
    }
  }
}

std::string soak_ledger::DescribeArrivals(const sent_request& request) const {
  std::string text = Describe(request);
  for (const observed_run* run : RunsOf(request.id)) {
    text += fmt::format(" [target {} after {:.3f} s, ", run->target,
                        ToSeconds(run->arrived - request.sent));
    text += run->ran
                ? fmt::format("ran from {:.3f} to {:.3f} s]", ToSeconds(run->began - request.sent),
                              ToSeconds(run->ended - request.sent))
                : "did not run]";
  }
  return text;
}

at_most_once_breaches soak_ledger::CheckAtMostOnce() const {
  at_most_once_breaches found;
  for (const auto& [id, arrivals] : runs_by_id_) {
    const auto sent = requests_.find(id);
    if (sent == requests_.end()) {
      continue;
    }
    const sent_request& request = sent->second;
    const auto ran = std::ranges::count_if(arrivals, [](const auto* run) { return run->ran; });
    if (!request.idempotent && ran > 1) {
      found.ran_twice.push_back(fmt::format("ran {} times: {}", ran, DescribeArrivals(request)));
    }
    if (request.outcome == request_outcome::kRefused && ran > 0) {
      auto& refused = request.idempotent ? found.refused_and_ran_idempotent : found.refused_and_ran;
      refused.push_back("refused, but it ran: " + DescribeArrivals(request));
    }
  }
  return found;
}

void soak_ledger::CheckCallers(violations& into) const {
  for (const auto& run : runs_) {
    const auto sent = requests_.find(run->id);
    if (sent == requests_.end()) {
      continue;
    }
    if (run->ran && run->service != sent->second.service) {
      into.push_back("run by " + run->service + ": " + Describe(sent->second));
    }
    // Nodes with even numbers serve "maps", the others "permits".
    const std::string expected = sent->second.node % 2 == 0 ? "maps" : "permits";
    if (run->ran && run->caller_service != expected) {
      into.push_back("reported caller " + run->caller_service + ": " + Describe(sent->second));
    }
  }
}

void soak_ledger::CheckLostAnswers(violations& into) const {
  for (const auto& [id, request] : requests_) {
    if (request.outcome != request_outcome::kConnectionLost || !WasWithoutFault(request)) {
      continue;
    }
    const auto& runs = RunsOf(id);
    const bool answer_damaged =
        std::any_of(runs.begin(), runs.end(), [](const auto* run) { return run->answer_damaged; });
    const duration took = request.ended - request.sent;
    const bool timed_out =
        took >= std::chrono::duration_cast<duration>(kTimeoutShare * request.timeout);
    if (!answer_damaged && !timed_out && (!runs.empty() || took > kCloseRaceTime)) {
      into.push_back("answer lost: " + Describe(request));
    }
  }
}

void soak_ledger::CheckLateAnswers(violations& into) const {
  for (const auto& [id, request] : requests_) {
    const bool ended = request.outcome != request_outcome::kPending;
    if (ended && request.ended - request.sent > request.timeout + kAnswerSlack &&
        WasWithoutFault(request)) {
      into.push_back("answered late: " + Describe(request));
    }
  }
}

// The row of an edit answers 404 before that edit is in force and after the next edit is.
void soak_ledger::CheckEdits(violations& into) const {
  for (const auto& [id, request] : requests_) {
    if (request.edit == 0 || request.outcome == request_outcome::kPending ||
        WasDisturbed(disturbance::kind::kFault, disturbance::kAllNodes, request.sent,
                     request.ended)) {
      continue;
    }
    const bool store = WasDisturbed(disturbance::kind::kStore, disturbance::kAllNodes, request.sent,
                                    request.ended);
    const duration bound = kMaxPropagationTime + (store ? kStoreFaultSlack : duration::zero());
    const instant added = edits_.at(request.edit);
    const auto next = edits_.find(request.edit + 1);
    const bool stands = next == edits_.end() || request.ended < next->second;
    if (request.outcome == request_outcome::kNoRow && request.sent > added + bound && stands) {
      into.push_back("edit not in force: " + Describe(request));
    }
    if (request.outcome == request_outcome::kAnswered && next != edits_.end() &&
        request.sent > next->second + bound) {
      into.push_back("edit still in force: " + Describe(request));
    }
  }
}

void soak_ledger::CheckRegression(violations& into) const {
  // For each process of a node: the time of the first answer under each edit.
  std::map<std::pair<std::size_t, int>, std::map<int, instant>> first_seen;
  for (const auto& [id, request] : requests_) {
    if (request.edit > 0 && request.outcome == request_outcome::kAnswered) {
      auto& at = first_seen[{request.node, request.incarnation}];
      const auto known = at.find(request.edit);
      if (known == at.end() || request.ended < known->second) {
        at[request.edit] = request.ended;
      }
    }
  }
  for (const auto& [id, request] : requests_) {
    if (request.edit == 0 || request.outcome != request_outcome::kNoRow) {
      continue;
    }
    const auto at = first_seen.find({request.node, request.incarnation});
    const auto next = edits_.find(request.edit + 1);
    if (at == first_seen.end() || (next != edits_.end() && request.ended >= next->second)) {
      continue;
    }
    const auto seen = at->second.lower_bound(request.edit);
    if (seen != at->second.end() && request.sent > seen->second + kOlderTableSlack) {
      into.push_back("older table than before: " + Describe(request));
    }
  }
}

void soak_ledger::CheckDraining(violations& into) const {
  for (const auto& run : runs_) {
    const auto left = draining_.find(run->target);
    const auto sent = requests_.find(run->id);
    if (!run->ran || left == draining_.end() || sent == requests_.end()) {
      continue;
    }
    const instant from = sent->second.sent;
    const bool disturbed =
        WasDisturbed(disturbance::kind::kFault, disturbance::kAllNodes, left->second, run->began) ||
        WasDisturbed(disturbance::kind::kStore, disturbance::kAllNodes, left->second, run->began);
    if (!disturbed && from > left->second + kMaxPropagationTime) {
      into.push_back(fmt::format("ran on target {} {:.3f} s after its drain was published: {}",
                                 run->target, ToSeconds(run->began - left->second),
                                 Describe(sent->second)));
    }
  }
}

void soak_ledger::CheckDeclaredRates(violations& into) const {
  for (const declared_period& declared : declared_) {
    if (declared.type != declared_period::kind::kRate) {
      continue;
    }
    std::vector<instant> arrivals;
    for (const auto& run : runs_) {
      const auto sent = requests_.find(run->id);
      if (run->target != declared.target || sent == requests_.end() ||
          run->arrived < declared.begin + kRateStartTime || run->arrived > declared.end) {
        continue;
      }
      const auto told = declared.told.find({sent->second.node, sent->second.incarnation});
      if (told != declared.told.end() && run->arrived >= told->second + kNoticeTime) {
        arrivals.push_back(run->arrived);
      }
    }
    const double allowed = kRateFactor * declared.rate * ToSeconds(kRateWindow) + kRateSlack;
    for (const instant begin : arrivals) {
      const auto seen = std::ranges::count_if(
          arrivals, [begin](instant at) { return at >= begin && at <= begin + kRateWindow; });
      if (static_cast<double>(seen) > allowed) {
        into.push_back(fmt::format("target {} declares {} a second and received {} from {:.3f} s",
                                   declared.target, declared.rate, seen,
                                   ToSeconds(begin.time_since_epoch())));
        break;
      }
    }
  }
}

void soak_ledger::CheckDeclaredLeaving(violations& into) const {
  for (const declared_period& declared : declared_) {
    if (declared.type != declared_period::kind::kLeaving) {
      continue;
    }
    for (const auto& run : runs_) {
      const auto sent = requests_.find(run->id);
      if (run->target != declared.target || sent == requests_.end()) {
        continue;
      }
      const auto told = declared.told.find({sent->second.node, sent->second.incarnation});
      if (told != declared.told.end() && sent->second.sent > told->second + kNoticeTime) {
        into.push_back(fmt::format("reached target {} that had declared that it leaves: {}",
                                   run->target, Describe(sent->second)));
      }
    }
  }
}

// The store and the node beside the backend server decide alone, so that faults of other nodes are
// no excuse.
void soak_ledger::CheckLeftUnlisted(violations& into) const {
  for (const unlisted_leaver& left : left_) {
    for (const auto& run : runs_) {
      if (run->target != left.target || run->arrived <= left.last_arrival ||
          WasDisturbed(disturbance::kind::kFault, left.node, left.removed, run->arrived) ||
          WasStoreDisturbed(left.removed, run->arrived)) {
        continue;
      }
      into.push_back(fmt::format("reached target {} {:.3f} s after its entry was removed: {}",
                                 run->target, ToSeconds(run->arrived - left.removed), run->id));
      break;
    }
  }
}

void soak_ledger::CheckServiceTargets(violations& into) const {
  std::map<std::string, std::vector<instant>> arrivals;
  for (const auto& run : runs_) {
    arrivals[run->service].push_back(run->arrived);
  }
  std::map<std::string, std::vector<instant>> sent;
  for (const auto& [id, request] : requests_) {
    if (request.edit == 0 && !WasDisturbed(disturbance::kind::kFault, request.node, request.sent,
                                           request.sent + kTargetWindow)) {
      sent[request.service].push_back(request.sent);
    }
  }
  const auto count = [](const std::vector<instant>& times, instant begin, instant end) {
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](instant at) { return at >= begin && at < end; }));
  };
  for (const serving_period& serving : serving_) {
    instant begin = serving.begin + kRecoveryMargin;
    // Nodes may not have heard of the entry. Later faults of the store are no excuse.
    if (WasStoreDisturbed(serving.begin, begin)) {
      continue;
    }
    for (; begin + kTargetWindow <= serving.end; begin += kWindowStep) {
      const instant end = begin + kTargetWindow;
      if (!WasDisturbed(disturbance::kind::kFault, serving.node, begin, end) &&
          count(arrivals[serving.service], begin, end) == 0 &&
          count(sent[serving.service], begin, end - kRequestSlack) >= kMinRequestsPerWindow) {
        into.push_back(fmt::format("{} got no request from {:.3f} s for {:.1f} s; target {} served",
                                   serving.service, ToSeconds(begin.time_since_epoch()),
                                   ToSeconds(kTargetWindow), serving.target));
        break;
      }
    }
  }
}

std::vector<soak_ledger::repeat_use> soak_ledger::LargestRepeatUses() const {
  std::map<std::string, std::vector<instant>> requests;
  std::map<std::string, std::vector<instant>> repeats;
  for (const auto& [id, request] : requests_) {
    requests[request.service].push_back(request.sent);
    const auto& runs = RunsOf(id);
    for (std::size_t later = 1; later < runs.size(); ++later) {
      repeats[request.service].push_back(runs[later]->began);
    }
  }
  const auto count = [](const std::vector<instant>& times, instant begin) {
    return std::count_if(times.begin(), times.end(),
                         [begin](instant at) { return at >= begin && at < begin + kRepeatWindow; });
  };
  std::vector<repeat_use> uses;
  for (const auto& [service, times] : repeats) {
    repeat_use largest{.service = service};
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    for (instant begin = *first; begin <= *last; begin += kWindowStep) {
      const auto most = std::max({count(requests[service], begin),
                                  count(requests[service], begin - kRepeatWindow),
                                  count(requests[service], begin - kRepeatWindow / 2)});
      const auto seen = count(times, begin);
      const double share = static_cast<double>(seen) /
                           (kRepeatRatio * static_cast<double>(most) + repeat_allowance_);
      if (share > largest.share) {
        largest = {.service = service, .repeats = seen, .requests = most, .share = share};
      }
    }
    uses.push_back(std::move(largest));
  }
  return uses;
}

void soak_ledger::CheckRepeats(violations& into) const {
  for (const repeat_use& use : LargestRepeatUses()) {
    if (use.share > 1.0) {
      into.push_back(fmt::format("{} repeats at {} within one window of {} requests", use.repeats,
                                 use.service, use.requests));
    }
  }
}

void soak_ledger::CheckFaultFreePeriods(violations& into) const {
  for (const auto& [begin, end] : fault_free_periods_) {
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& [id, request] : requests_) {
      const bool counts =
          !request.nested && request.edit == 0 && request.outcome != request_outcome::kAbandoned;
      if (counts && request.sent >= begin && request.sent + request.timeout <= end) {
        ++all;
        served += request.outcome == request_outcome::kAnswered && request.status == 200 ? 1 : 0;
      }
    }
    if (all < kMinRequestsPerPeriod ||
        static_cast<double>(served) < kMinServedShare * static_cast<double>(all)) {
      into.push_back(fmt::format("fault-free period from {:.3f} s: {} of {} requests served",
                                 ToSeconds(begin.time_since_epoch()), served, all));
    }
  }
}

std::string soak_ledger::CountOutcomes() const {
  std::array<std::size_t, kOutcomeNames.size()> counts{};
  for (const auto& [id, request] : requests_) {
    ++counts[static_cast<std::size_t>(request.outcome)];
  }
  std::string text = fmt::format("{} requests, {} arrivals:", requests_.size(), runs_.size());
  for (std::size_t i = 0; i < counts.size(); ++i) {
    text += fmt::format(" {} {}", kOutcomeNames[i], counts[i]);
  }
  return text;
}

std::string soak_ledger::Summary() const {
  std::string text = CountOutcomes();
  for (const repeat_use& use : LargestRepeatUses()) {
    text += fmt::format(", {:.2f} of the bound on repeats used at {}", use.share, use.service);
  }
  return text;
}

}  // namespace cuminferry::testing
