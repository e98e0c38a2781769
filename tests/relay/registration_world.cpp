#include "relay/registration_world.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000'000);
constexpr duration kRenewInterval = milliseconds(1'500);
constexpr duration kExpiryTime = 3 * kRenewInterval;
constexpr duration kMinNews = milliseconds(100);
constexpr duration kMaxNews = seconds(1);
constexpr duration kOneWayDelay = milliseconds(1);
constexpr duration kAnswerTimeout = milliseconds(180);
constexpr duration kTick = milliseconds(50);
constexpr duration kMinProbePause = milliseconds(100);
constexpr duration kAddressPause = seconds(2);
constexpr duration kQueryPeriod = seconds(1);
constexpr duration kInitialQueryDelay = milliseconds(500);
constexpr std::size_t kQueriesPerPeriod = 3;
constexpr duration kBlanketTime = seconds(10);
constexpr double kSilentPart = 0.8;
// A caller that has just started first copies the items.
constexpr duration kStartTime = milliseconds(500);
constexpr std::size_t kMaxTargets = 3;
constexpr std::size_t kViolationTextLimit = 600;

duration Times(double factor, duration span) {
  return duration(static_cast<duration::rep>(factor * static_cast<double>(span.count())));
}

double InSeconds(instant at) { return ToSeconds(at - kStart); }

}  // namespace

/** One run of a backend server process. */
struct registration_world::backend_run {
  service_instance instance;
  bool is_alive = true;
  bool is_leaving = false;
  /** It leaves and was never listed as draining. */
  bool is_silent = false;
  instant leaves_at{};
  /** When its entry was last removed or listed as draining; none while it is listed as ready. */
  std::optional<instant> withdrawn_at;
  std::optional<instant> listed_at;
};

/** A machine with its node; backend servers use its address one after the other. */
struct registration_world::machine {
  std::size_t number = 0;
  endpoint address;
  shared_run run;
  instant cut_until{};
  // The node.
  int process = 0;
  bool is_up = true;
  instant started_at{};
  std::unique_ptr<departure_check> check;
  std::map<std::string, service_instance> listed;
  std::size_t revision = 0;
  std::string known_id;
  bool is_probing = false;
  instant probed_at{};
  std::vector<std::function<void()>> after_probe;
};

struct registration_world::caller {
  std::size_t number = 0;
  bool is_up = true;
  instant started_at{};
  instance_list list;
  std::map<std::string, service_instance> items;
  std::size_t revision = 0;
  std::map<std::string, std::vector<service_instance>> targets;
  std::map<std::string, instant> requested_at;
  std::map<std::string, instant> confirmed_at;
  std::map<std::string, instant> asked_at;
  std::map<std::string, std::vector<instant>> queried_at;
  std::set<std::string> unlisted;
  std::optional<instant> query_due;
  std::map<std::string, instant> gap_since;
};

struct registration_world::stored_entry {
  shared_run run;
  service_instance instance;
  instant renewed_at;
};

struct registration_world::logged_change {
  instance_change change;
  endpoint address;
};

//==============================================================================
registration_world::registration_world(const options& chosen)
    : chosen_(chosen), random_(chosen.seed), events_(kStart) {
  drain_ = Draw(0.5) ? milliseconds(2'500) : Between(seconds(2), seconds(4));
  loss_ = Draw(0.5) ? 0.0 : 0.05 * random_.Fraction();
  false_health_ = Draw(0.5) ? 0.0 : 0.2 * random_.Fraction();
  stray_close_ = Draw(0.5) ? 0.0 : 0.002 * random_.Fraction();
  const std::size_t services = 1 + DrawIndex(4);
  for (std::size_t number = 0; number < services; ++number) {
    services_.push_back(fmt::format("service-{}", number));
  }
  const std::size_t machines = services + DrawIndex(20);
  for (std::size_t number = 0; number < machines; ++number) {
    auto made = std::make_unique<machine>();
    made->number = number;
    made->address = {.address = static_cast<std::uint32_t>(number + 1), .port = 1};
    made->check = std::make_unique<departure_check>(drain_);
    machines_.push_back(std::move(made));
  }
  const std::size_t callers = 2 + DrawIndex(3);
  for (std::size_t number = 0; number < callers; ++number) {
    auto made = std::make_unique<caller>();
    made->number = number;
    callers_.push_back(std::move(made));
  }
  for (const auto& at : callers_) {
    RestartCaller(*at, {});
  }
  for (std::size_t number = 0; number < machines; ++number) {
    StartBackend(*machines_[number], services_[number < services ? number : DrawIndex(services)],
                 "");
  }
}

registration_world::~registration_world() = default;

duration registration_world::Between(duration least, duration most) {
  return least + Times(random_.Fraction(), most - least);
}

registration_world::machine& registration_world::MachineOf(const service_instance& instance) {
  return *machines_.at(instance.backend.address - 1);
}

void registration_world::Violate(const std::string& text) {
  if (violations_.size() < kViolationTextLimit) {
    violations_ += fmt::format("  {:.3f} s: {}\n", InSeconds(now()), text);
  }
}

const registration_world::figures& registration_world::Run() {
  ScheduleFaults();
  for (const auto& from : callers_) {
    for (const std::string& service : services_) {
      const double rate = 0.1 * std::pow(200.0, random_.Fraction());
      SendRequests(*from, service, Times(1.0 / rate, seconds(1)));
      // The fleet has been in use before.
      After(kOneWayDelay, [&from, &service] { from->requested_at[service] = kStart; });
    }
  }
  Tick();
  events_.RunUntil(kStart + kSimulatedTime);
  return figures_;
}

//==============================================================================
// Faults.

void registration_world::ScheduleFaults() {
  const duration first = seconds(4);
  const duration last = kSimulatedTime - seconds(5);
  const auto repeat = [&](std::uint64_t least, std::uint64_t most,
                          const std::function<void()>& act) {
    for (std::uint64_t left = least + random_.Below(most - least + 1); left > 0; --left) {
      After(Between(first, last), act);
    }
  };
  const auto any_machine = [this]() -> machine& { return *machines_[DrawIndex(machines_.size())]; };
  repeat(1, 3, [this] {
    const double share = random_.Fraction();
    const instant until = now() + Between(seconds(2), seconds(12));
    for (const auto& each : machines_) {
      if (Draw(share)) {
        each->cut_until = std::max(each->cut_until, until);
      }
    }
  });
  repeat(1, 8, [this, any_machine] { Leave(any_machine(), Draw(0.5)); });
  repeat(0, 2, [this, any_machine] { EndBackend(any_machine()); });
  repeat(0, 2, [this, any_machine] {
    RestartNode(any_machine(), Between(milliseconds(200), seconds(2)));
  });
  repeat(0, 2, [this] {
    RestartCaller(*callers_[DrawIndex(callers_.size())], Between(milliseconds(200), seconds(2)));
  });
}

void registration_world::StartBackend(machine& on, const std::string& service,
                                      const std::string& id) {
  auto run = std::make_shared<backend_run>();
  run->instance = {.id = id.empty() ? fmt::format("i-{}", ++last_id_) : id,
                   .started_millis = ++last_started_,
                   .service = service,
                   .backend = on.address,
                   .failure_domain = "domain",
                   .slots = 10};
  on.run = run;
  After(Between({}, milliseconds(200)), [this, &on, run] { Renew(on, run); });
}

// The process ends. Its entry expires, and mostly another backend server uses its address.
void registration_world::EndBackend(machine& on) {
  const shared_run ended = std::exchange(on.run, nullptr);
  if (!ended) {
    return;
  }
  ended->is_alive = false;
  if (!Draw(0.7)) {
    return;
  }
  const bool same_id = Draw(0.3);
  const std::string service =
      same_id || Draw(0.5) ? ended->instance.service : services_[DrawIndex(services_.size())];
  After(kAddressPause + Between({}, seconds(3)),
        [this, &on, service, id = same_id ? ended->instance.id : ""] {
          if (!on.run) {
            StartBackend(on, service, id);
          }
        });
}

void registration_world::Leave(machine& on, bool is_silent) {
  const shared_run run = on.run;
  if (!run || run->is_leaving) {
    return;
  }
  const bool is_cut = now() < on.cut_until;
  run->is_leaving = true;
  run->is_silent = is_silent || is_cut;
  run->leaves_at = now();
  run->instance.draining = true;
  figures_.silent_leavers += run->is_silent ? 1 : 0;
  if (!run->is_silent) {
    Write(on, run);
  } else if (!is_cut) {
    Remove(run->instance.id);
  }
  const duration longer = Draw(0.2) ? Between({}, seconds(15)) : Between({}, seconds(1));
  After(drain_ + longer, [this, &on, run] {
    if (on.run == run) {
      EndBackend(on);
      if (now() >= on.cut_until) {
        Remove(run->instance.id);
      }
    }
  });
}

void registration_world::RestartNode(machine& on, duration outage) {
  if (!on.is_up) {
    return;
  }
  ++on.process;
  on.is_up = false;
  on.is_probing = false;
  on.after_probe.clear();
  on.check = std::make_unique<departure_check>(drain_);
  on.listed.clear();
  on.known_id.clear();
  After(outage, [this, &on] {
    on.is_up = true;
    on.started_at = now();
    on.revision = log_.size();
    for (const auto& [id, entry] : store_) {
      if (entry.instance.backend == on.address) {
        on.listed[id] = entry.instance;
      }
    }
    if (!on.listed.empty()) {
      ShowListed(on);
    }
  });
}

// A caller that starts copies the items of another one, and the instances that it retains.
void registration_world::RestartCaller(caller& of, duration outage) {
  of.is_up = false;
  of.gap_since.clear();
  After(outage, [this, &of] {
    if (of.is_up) {
      return;
    }
    const auto source =
        std::ranges::find_if(callers_, [](const auto& each) { return each->is_up; });
    of.list = {};
    if (chosen_.mode == retention_mode::kConfirmed) {
      of.list.SetUnlistedRetention(unlisted_retention::ForDrainTime(drain_));
    } else if (chosen_.mode == retention_mode::kBlanket) {
      of.list.SetUnlistedRetention({.unconfirmed = kBlanketTime, .confirmed = kBlanketTime});
    }
    of.is_up = true;
    of.started_at = now();
    of.items.clear();
    of.unlisted.clear();
    of.confirmed_at.clear();
    of.asked_at.clear();
    of.requested_at.clear();
    of.query_due.reset();
    std::vector<instance_change> changes;
    std::vector<instance_change> removals;
    if (source == callers_.end()) {
      of.revision = log_.size();
      for (const auto& [id, entry] : store_) {
        of.items[id] = entry.instance;
      }
    } else {
      of.revision = (*source)->revision;
      of.items = (*source)->items;
      if (!Draw(loss_)) {
        for (const std::string& id : (*source)->unlisted) {
          changes.push_back({.id = id, .listed = *(*source)->list.Find(id)});
          removals.push_back({.id = id, .listed = std::nullopt, .is_item_gone = true});
        }
      }
    }
    for (const auto& [id, item] : of.items) {
      changes.push_back({.id = id, .listed = item});
    }
    ApplyAt(of, std::move(changes));
    ApplyAt(of, std::move(removals));
    After(kMaxNews, [this, &of, revision = log_.size()] { Advance(of, revision); });
  });
}

//==============================================================================
// The store, and its news.

void registration_world::Renew(machine& on, const shared_run& run) {
  if (!run->is_alive || (run->is_leaving && run->is_silent)) {
    return;
  }
  if (now() >= on.cut_until) {
    Write(on, run);
  }
  After(kRenewInterval, [this, &on, run] { Renew(on, run); });
}

void registration_world::Write(machine& on, const shared_run& run) {
  stored_entry& entry = store_[run->instance.id];
  entry.renewed_at = now();
  const bool is_known = entry.run == run && entry.instance.draining == run->instance.draining;
  entry.run = run;
  if (is_known) {
    return;
  }
  run->instance.revision = log_.size() + 1;
  run->instance.created =
      run->instance.created == 0 ? run->instance.revision : run->instance.created;
  entry.instance = run->instance;
  if (run->instance.draining) {
    run->withdrawn_at = run->withdrawn_at.value_or(now());
  } else {
    run->withdrawn_at.reset();
    run->listed_at = run->listed_at.value_or(now());
  }
  log_.push_back({.change = {}, .address = on.address});
  Publish({.id = run->instance.id, .listed = run->instance});
}

void registration_world::Remove(const std::string& id) {
  const auto removed = store_.extract(id);
  if (removed.empty()) {
    return;
  }
  const stored_entry& entry = removed.mapped();
  entry.run->withdrawn_at = entry.run->withdrawn_at.value_or(now());
  entry.run->instance.created = 0;
  log_.push_back({.change = {}, .address = entry.instance.backend});
  Publish({.id = id, .listed = std::nullopt, .is_item_gone = true});
}

void registration_world::ExpireEntries() {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : store_) {
    if (now() - entry.renewed_at > kExpiryTime) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    Remove(id);
  }
}

void registration_world::Publish(instance_change change) {
  log_.back().change = std::move(change);
  const std::size_t revision = log_.size();
  for (const auto& at : machines_) {
    if (at->address == log_.back().address) {
      After(Between(kMinNews, kMaxNews), [this, &at, revision] { Advance(*at, revision); });
    }
  }
  for (const auto& at : callers_) {
    After(Between(kMinNews, kMaxNews), [this, &at, revision] { Advance(*at, revision); });
  }
}

void registration_world::Advance(machine& at, std::size_t revision) {
  if (!at.is_up) {
    return;
  }
  for (; at.revision < revision; ++at.revision) {
    const logged_change& next = log_[at.revision];
    if (next.address != at.address) {
      continue;
    }
    if (next.change.listed) {
      at.listed[next.change.id] = *next.change.listed;
    } else {
      at.listed.erase(next.change.id);
    }
    ShowListed(at);
  }
}

// Of the entries at one address, the one that was created last counts.
void registration_world::ShowListed(machine& at) {
  const auto chosen = std::ranges::max_element(
      at.listed, {}, [](const auto& listed) { return listed.second.created; });
  if (chosen == at.listed.end()) {
    at.check->OnUnlisted(now());
    return;
  }
  at.known_id = chosen->first;
  if (chosen->second.draining) {
    at.check->OnListedAsDraining(chosen->first, chosen->second.started_millis);
  } else {
    at.check->OnListed(chosen->first, chosen->second.started_millis);
  }
}

void registration_world::Advance(caller& at, std::size_t revision) {
  if (!at.is_up) {
    return;
  }
  std::vector<instance_change> changes;
  for (; at.revision < revision; ++at.revision) {
    const instance_change& change = log_[at.revision].change;
    changes.push_back(change);
    if (change.listed) {
      at.items[change.id] = *change.listed;
    } else {
      at.items.erase(change.id);
    }
  }
  ApplyAt(at, std::move(changes));
}

void registration_world::ApplyAt(caller& at, std::vector<instance_change> changes) {
  // One change at a time, as an entry may be removed and written again within one batch.
  for (instance_change& change : changes) {
    at.list.Apply({std::move(change)}, now());
  }
  RefreshTargets(at);
}

void registration_world::RefreshTargets(caller& at) {
  at.targets.clear();
  std::set<std::string> unlisted;
  for (service_instance& each : at.list.AllInstances()) {
    if (at.list.IsUnlisted(each.id)) {
      unlisted.insert(each.id);
    }
    if (!each.draining) {
      const std::string service = each.service;
      at.targets[service].push_back(std::move(each));
    }
  }
  if (HasCheck() && !std::ranges::includes(at.unlisted, unlisted)) {
    const instant due = now() + Between({}, kInitialQueryDelay);
    if (!at.query_due || due < *at.query_due) {
      at.query_due = due;
      After(due - now(), [this, &at] { Query(at); });
    }
  }
  at.unlisted = std::move(unlisted);
}

//==============================================================================
// Queries, probes and requests.

void registration_world::Probe(machine& at, std::function<void()> on_end) {
  at.after_probe.push_back(std::move(on_end));
  if (at.is_probing) {
    return;
  }
  ++figures_.probes;
  at.is_probing = true;
  at.probed_at = now();
  at.check->OnProbeSent(now());
  const shared_run run = at.run;
  const duration span = run ? Between(milliseconds(1), milliseconds(20)) : duration(kOneWayDelay);
  After(span, [this, &at, run, process = at.process, sent = now()] {
    if (process != at.process) {
      return;
    }
    at.is_probing = false;
    if (run && run->is_alive) {
      const bool is_false = Draw(false_health_);
      const bool hides_close = is_false && chosen_.false_health_hides_close;
      const bool closes = (run->is_leaving && !hides_close) || Draw(stray_close_);
      at.known_id = run->instance.id;
      at.check->OnHealth(run->instance.id, run->is_leaving == is_false, closes, sent, now());
    }
    for (const auto& act : std::exchange(at.after_probe, {})) {
      act();
    }
  });
}

void registration_world::Query(caller& from) {
  if (!from.is_up || !from.query_due || now() < *from.query_due) {
    return;
  }
  from.query_due.reset();
  std::map<std::string, std::vector<const service_instance*>> asked;
  std::set<std::string> services_listed;
  for (const auto& [service, targets] : from.targets) {
    for (const service_instance& target : targets) {
      if (!from.unlisted.contains(target.id)) {
        services_listed.insert(service);
      } else if (!from.confirmed_at.contains(target.id) ||
                 now() - from.confirmed_at[target.id] >= kQueryPeriod) {
        asked[service].push_back(&target);
      }
    }
  }
  for (auto& [service, targets] : asked) {
    const auto requested = from.requested_at.find(service);
    if (services_listed.contains(service) &&
        (requested == from.requested_at.end() || now() - requested->second > seconds(60))) {
      continue;
    }
    std::ranges::stable_sort(targets, {}, [&](const auto* each) {
      return std::pair(from.confirmed_at[each->id], from.asked_at[each->id]);
    });
    std::vector<instant>& queried = from.queried_at[service];
    std::erase_if(queried, [this](instant at) { return now() - at >= kQueryPeriod; });
    for (const service_instance* target : targets) {
      if (queried.size() < kQueriesPerPeriod) {
        queried.push_back(now());
        from.asked_at[target->id] = now();
        SendQuery(from, *target, *from.list.UnlistedSince(target->id));
      }
    }
  }
  if (!from.unlisted.empty()) {
    from.query_due = now() + kQueryPeriod;
    After(kQueryPeriod, [this, &from] { Query(from); });
  }
}

void registration_world::SendQuery(caller& from, const service_instance& target, instant unlisted) {
  ++figures_.queries;
  if (Draw(loss_)) {
    return;
  }
  machine& at = MachineOf(target);
  After(kOneWayDelay, [this, &from, &at, unlisted, id = target.id, run = target.started_millis] {
    if (!at.is_up) {
      return;
    }
    at.check->OnCaller(id, run, unlisted, now());
    const auto reply = [this, &from, &at, id] {
      const registration_state state = at.check->StateOf(id, now());
      outcome result = outcome::kUnconfirmed;
      std::optional<std::int64_t> confirmed;
      if (state == registration_state::kServing || state == registration_state::kListed) {
        confirmed = at.check->started_millis();
      } else if (state == registration_state::kLeaving) {
        result = outcome::kLeaving;
      } else if (!at.known_id.empty() && at.known_id != id) {
        result = outcome::kOther;
      }
      if (!Draw(loss_)) {
        After(kOneWayDelay,
              [this, &from, id, result, confirmed] { OnReply(from, id, result, confirmed); });
      }
    };
    if (chosen_.query_waits_for_probe && at.check->IsProbeDue(now())) {
      Probe(at, reply);
    } else {
      reply();
    }
  });
}

void registration_world::SendRequests(caller& from, const std::string& service, duration interval) {
  After(Between(duration(1), 2 * interval), [this, &from, service, interval] {
    if (from.is_up && now() - from.started_at >= kStartTime) {
      ++figures_.requests;
      from.requested_at[service] = now();
      SendRequest(from, service, {});
    }
    SendRequests(from, service, interval);
  });
}

void registration_world::SendRequest(caller& from, const std::string& service,
                                     std::vector<std::string> tried) {
  std::vector<const service_instance*> available;
  for (const service_instance& target : from.targets[service]) {
    if (std::ranges::find(tried, target.id) == tried.end()) {
      available.push_back(&target);
    }
  }
  if (available.empty() || tried.size() >= kMaxTargets || !from.is_up) {
    return;
  }
  const service_instance& target = *available[DrawIndex(available.size())];
  tried.push_back(target.id);
  const auto on_reply = [this, &from, service, tried, id = target.id](
                            outcome result, std::optional<std::int64_t> confirmed) {
    OnReply(from, id, result, confirmed);
    if (result == outcome::kServed) {
      ++figures_.served;
    } else {
      SendRequest(from, service, tried);
    }
  };
  if (Draw(loss_)) {
    After(kAnswerTimeout, [on_reply] { on_reply(outcome::kUnreachable, std::nullopt); });
    return;
  }
  const reply_function reply = [this, on_reply](outcome result,
                                                std::optional<std::int64_t> confirmed) {
    const bool is_lost = Draw(loss_);
    After(is_lost ? kAnswerTimeout : kOneWayDelay, [on_reply, result, confirmed, is_lost] {
      on_reply(is_lost ? outcome::kUnreachable : result, is_lost ? std::nullopt : confirmed);
    });
  };
  After(kOneWayDelay, [this, &at = MachineOf(target), id = target.id, run = target.started_millis,
                       unlisted = from.list.UnlistedSince(target.id),
                       reply] { ArriveAtNode(at, id, run, unlisted, reply); });
}

void registration_world::ArriveAtNode(machine& at, const std::string& id,
                                      std::int64_t started_millis, std::optional<instant> unlisted,
                                      const reply_function& reply) {
  if (!at.is_up) {
    reply(outcome::kUnreachable, std::nullopt);
    return;
  }
  if (!HasCheck()) {
    ArriveAtBackend(at, id, reply);
    return;
  }
  if (unlisted) {
    at.check->OnCaller(id, started_millis, *unlisted, now());
  }
  // The node may not have heard yet of an instance that the caller lists; the backend server
  // compares the id.
  const bool is_unknown = !unlisted && at.known_id != id;
  if (!is_unknown && !at.check->Accepts(id, now())) {
    const bool is_leaving = at.check->StateOf(id, now()) == registration_state::kLeaving;
    const bool is_other = !at.known_id.empty() && at.known_id != id;
    reply(is_leaving ? outcome::kLeaving
          : is_other ? outcome::kOther
                     : outcome::kUnconfirmed,
          std::nullopt);
    return;
  }
  ArriveAtBackend(
      at, id,
      [this, &at, id, unlisted, reply, sent = now(), process = at.process](
          outcome result, std::optional<std::int64_t>) {
        if (process != at.process) {
          reply(outcome::kUnreachable, std::nullopt);
          return;
        }
        if (result == outcome::kServed) {
          const bool is_leaving = at.run && at.run->is_leaving;
          at.check->OnAnswer(id, is_leaving || Draw(stray_close_), sent, now());
        }
        const registration_state state = at.check->StateOf(id, now());
        const bool is_confirmed =
            unlisted && result == outcome::kServed &&
            (state == registration_state::kServing || state == registration_state::kListed);
        reply(result, is_confirmed ? std::optional(at.check->started_millis()) : std::nullopt);
      });
}

void registration_world::ArriveAtBackend(machine& at, const std::string& id,
                                         const reply_function& reply) {
  const shared_run run = at.run;
  if (!run || run->instance.id != id) {
    reply(run ? outcome::kOther : outcome::kUnreachable, std::nullopt);
    return;
  }
  RecordArrival(*run);
  After(Between(milliseconds(5), milliseconds(100)), [run, reply] {
    reply(run->is_alive ? outcome::kServed : outcome::kUnreachable, std::nullopt);
  });
}

void registration_world::OnReply(caller& from, const std::string& id, outcome result,
                                 std::optional<std::int64_t> confirmed) {
  if (!from.is_up) {
    return;
  }
  const bool is_unlisted = from.list.IsUnlisted(id);
  if (confirmed && is_unlisted && from.list.OnConfirmed(id, *confirmed, now())) {
    from.confirmed_at[id] = now();
  } else if (result == outcome::kLeaving || result == outcome::kOther) {
    is_unlisted ? from.list.OnDenied(id, now()) : from.list.OnInstanceAbsent(id);
    RefreshTargets(from);
  }
}

//==============================================================================
// Checks.

void registration_world::RecordArrival(const backend_run& run) {
  if (!run.is_leaving || !run.withdrawn_at) {
    return;
  }
  const duration since = now() - std::max(run.leaves_at, *run.withdrawn_at);
  const double part = ToSeconds(since) / ToSeconds(drain_);
  const bool is_late_to_silent = run.is_silent && part > kSilentPart;
  if (run.is_silent) {
    ++figures_.after_removal;
    figures_.latest_part = std::max(figures_.latest_part, part);
  }
  figures_.too_late += part > 1.0 ? 1 : 0;
  figures_.late_to_silent += is_late_to_silent ? 1 : 0;
  if (part > 1.0 || is_late_to_silent) {
    Violate(fmt::format("{} that left at {:.3f} s {} reached {:.3f} s after removal, drain {:.3f}",
                        run.instance.id, InSeconds(run.leaves_at),
                        run.is_silent ? "silently" : "as draining", ToSeconds(since),
                        ToSeconds(drain_)));
  }
}

void registration_world::Tick() {
  ExpireEntries();
  for (const auto& at : machines_) {
    if (HasCheck() && at->is_up && !at->is_probing && now() - at->probed_at >= kMinProbePause &&
        at->check->IsProbeDue(now())) {
      Probe(*at, [] {});
    }
  }
  for (const auto& at : callers_) {
    if (at->is_up && at->list.Expire(now())) {
      RefreshTargets(*at);
    }
  }
  CheckTargets();
  After(kTick, [this] { Tick(); });
}

// A backend server counts once its entry has reached all callers.
bool registration_world::IsExpected(const machine& of, const service_instance& instance) const {
  return of.run && of.is_up && !of.run->is_leaving && of.run->instance.id == instance.id &&
         of.run->listed_at && now() > *of.run->listed_at + kMaxNews + kTick;
}

void registration_world::CheckTargets() {
  std::map<std::string, std::pair<std::size_t, std::size_t>> counts;
  for (const auto& each : machines_) {
    if (each->run) {
      auto& [all, expected] = counts[each->run->instance.service];
      ++all;
      expected += IsExpected(*each, each->run->instance) ? 1 : 0;
    }
  }
  for (const auto& at : callers_) {
    if (!at->is_up || now() - at->started_at < kStartTime) {
      continue;
    }
    for (const auto& [service, count] : counts) {
      const auto& [all, expected] = count;
      const bool has_target = std::ranges::any_of(
          at->targets[service],
          [this](const service_instance& target) { return IsExpected(MachineOf(target), target); });
      if (has_target || expected == 0 || 10 * expected < all) {
        at->gap_since.erase(service);
        continue;
      }
      const auto [gap, is_new] = at->gap_since.emplace(service, now());
      figures_.without_target += kTick;
      figures_.longest_gap = std::max(figures_.longest_gap, now() - gap->second + kTick);
      if (is_new) {
        ++figures_.gaps;
        Violate(fmt::format("caller {} has no target of {}, {} of {} serve, {}, drain {:.3f}",
                            at->number, service, expected, all,
                            at->requested_at.contains(service) ? "in use" : "not in use",
                            ToSeconds(drain_)));
      }
    }
  }
}

}  // namespace cuminferry::testing
