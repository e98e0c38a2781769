#include "cuminferry_fleet/agent/fleet_agent.h"

#include <algorithm>
#include <functional>
#include <map>

#include "cuminferry_fleet/members/followed_members.h"
#include "cuminferry_fleet/members/source_planner.h"
#include "cuminferry_fleet/tables/content_fetcher.h"
#include "cuminferry_fleet/tables/initial_shards.h"
#include "cuminferry_fleet/tables/value_store.h"
#include "cuminferry_fleet/tables/waiting_requests.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Maximum time between two ticks unless the process is paused. */
constexpr milliseconds kMaxTickPeriod{250};
/** Time between two ticks from which on the process counts as paused. */
constexpr milliseconds kPauseThreshold{1'500};
constexpr seconds kMaxCatchUp{3};
constexpr seconds kProbePeriod{5};
constexpr seconds kIsolatedAfter{5};
/** Platform reads for contents that change together are spread so that the readers of all
    regions together stay near this rate. */
constexpr double kContentReadsPerSecond = 400.0;
constexpr double kReadersPerValue = 5.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr seconds kStaleAfter{10};
/** Time for which other contents wait for this node's own instance list after the start. */
constexpr milliseconds kOwnListWait{1'500};

}  // namespace

class fleet_agent::state {
 public:
  state(options chosen, instant now, random_source random)
      : options_(std::move(chosen)),
        random_(random),
        gossip_({options_.self, options_.incarnation},
                {options_.self, options_.failure_domain, options_.seeds}),
        reader_(ReaderOptions(), now, random_),
        planner_({options_.self, options_.service, options_.region, options_.seeds}),
        members_(MemberHooks()),
        last_tick_(now),
        last_received_(now) {
    Follow(options_.service, now);
  }

  //============================================================================
  bool Follow(std::string_view service, instant now) {
    if (members_.Follows(service) || members_.size() >= kMaxFollowedServices) {
      return false;
    }
    members_.Follow(service);
    initial_shards_.Follow(service, now);
    const std::string list = InstancesName(service);
    store_.Follow(service);
    store_.Follow(list);
    gossip_.FollowList(list);
    reader_.Follow(list);
    WantNewest(list, 1, now);
    WantNewest(std::string(service), 1, now + OwnListDelay());
    return true;
  }

  void OnTick(instant now) {
    DetectPause(now);
    if (gossip_.directory().table_version() > 0) {
      reader_.SetFleetSize(FleetSize());
    }
    reader_.SetIsolated(now - last_received_ > kIsolatedAfter);
    for (fetch_attempt& attempt : fetch_.OnTick(now, random_)) {
      Attempt(attempt, now);
    }
    if (!actions_.platform_read.has_value()) {
      actions_.platform_read = reader_.OnTick(now, random_);
    }
    if (!actions_.platform_watch.has_value()) {
      actions_.platform_watch = reader_.NextWatch(now);
    }
    for (outgoing_digest& digest : gossip_.OnTick(now, random_)) {
      Send(std::move(digest));
    }
    ReleaseFirstCopies(now);
    if (now >= next_probe_) {
      next_probe_ = now + kProbePeriod;
      Probe();
      members_.RemoveExpired(now);
      waiting_.OnTick(now);
    }
    catching_up_ = catching_up_ && now < caught_up_at_;
  }

  void OnDigest(const gossip_digest& digest, instant now) {
    ++digests_received_;
    last_received_ = now;
    members_.OnReceived(digest.from, digest.incarnation, now);
    digest_outcome outcome = gossip_.OnDigest(digest, now);
    for (outgoing_digest& answer : outcome.answer) {
      Send(std::move(answer));
    }
    if (outcome.changes.gap) {
      fetch_.Want(kIndexName, digest.table_version, {digest.from, content_source()}, now);
    }
    Apply(outcome.changes, now);
    catching_up_ = false;
  }

  void OnContentRequest(const content_request& request, endpoint from, instant now) {
    if (KindOf(request.name) == value_kind::kIndex) {
      ReplyIndex(request, from);
      return;
    }
    if (store_.VersionOf(request.name) > request.newer_than) {
      Reply(request.name, from);
      return;
    }
    if (store_.Follows(request.name) && DeferRequest(request, from, now)) {
      return;
    }
    actions_.replies.push_back({from, request.name, 0, {}});
  }

  void OnContentReply(const content_reply& reply, endpoint from, instant now) {
    if (reply.text.empty()) {
      fetch_.OnNoNewerValue(reply.name, from, now);
      return;
    }
    Take(reply.name, reply.text, from, now);
  }

  void OnUnreachable(endpoint peer, instant now) {
    for (const auto& [name, queried_peer] : queried_peers_) {
      if (queried_peer == peer) {
        fetch_.OnNoNewerValue(name, peer, now);
      }
    }
  }

  void OnPlatformRead(std::string_view name, read_outcome outcome, std::string_view value,
                      instant now) {
    const bool was_reachable = reader_.reachable();
    reader_.OnRead(outcome, now, random_);
    RecordReachability(was_reachable, now);
    if (outcome == read_outcome::kValue) {
      Take(std::string(name), value, std::nullopt, now);
    } else {
      fetch_.OnNoNewerValue(name, std::nullopt, now);
    }
  }

  void OnPlatformWatched(std::string_view name, read_outcome outcome, std::string_view value,
                         instant now) {
    reader_.OnWatched(outcome, now, random_);
    if (outcome == read_outcome::kValue) {
      Take(std::string(name), value, std::nullopt, now);
    }
  }

  //============================================================================
  std::uint64_t InForceVersion(std::string_view service) const {
    return initial_shards_.Awaits(service) ? 0 : store_.VersionOf(service);
  }

  instant next_due(instant now) const {
    instant due = std::min({gossip_.next_due(), reader_.next_due(), fetch_.next_due(), next_probe_,
                            now + kMaxTickPeriod});
    return std::max(due, now);
  }

  fleet_status status(instant now) const {
    fleet_status result;
    result.table_version = gossip_.directory().table_version();
    result.fleet_size = gossip_.fleet_size();
    result.in_force = store_.InForce();
    result.peers = gossip_.peers().size();
    result.directory_entries = gossip_.directory().size();
    result.wanted_contents = fetch_.wanted();
    result.platform_reachable = reader_.reachable();
    result.platform_stale = stale_since_.has_value() && now - *stale_since_ > kStaleAfter;
    result.platform_reads = reader_.reads();
    result.platform_failed_reads = reader_.failed_reads();
    result.digests_sent = digests_sent_;
    result.digests_received = digests_received_;
    result.rejected = rejected_;
    result.conflicts = conflicts_;
    result.catching_up = catching_up_;
    result.watching = watching_;
    return result;
  }

  const options options_;
  random_source random_;
  version_gossip gossip_;
  value_store store_;
  platform_reader reader_;
  source_planner planner_;
  fleet_actions actions_;
  followed_members members_;

 private:
  platform_reader::options ReaderOptions() const {
    platform_reader::options reads = options_.reads;
    reads.own_list = InstancesName(options_.service);
    return reads;
  }

  followed_members::hooks MemberHooks() {
    return {.on_change = [this](const std::string& service) { MarkMembersChanged(service); },
            .on_event = [this](event_kind kind, result_code code,
                               const std::string& subject) { AddEvent(kind, code, subject, 0); }};
  }

  std::uint32_t FleetSize() const {
    // A published size that is too low would make the fleet read too often.
    return std::max(gossip_.fleet_size(), static_cast<std::uint32_t>(gossip_.peers().size()));
  }

  void RecordReachability(bool was_reachable, instant now) {
    const bool reachable = reader_.reachable();
    if (reachable && !was_reachable) {
      fetch_.OnSourceRecovered(now);
    } else if (!reachable && was_reachable) {
      fetch_.OnSourceUnreachable(std::nullopt, now);
    }
    if (reachable != was_reachable) {
      AddEvent(reachable ? event_kind::kPlatformBack : event_kind::kPlatformLost,
               reachable ? result_code::kOk : result_code::kPlatformUnreachable, "platform",
               static_cast<std::int64_t>(reader_.reads()));
    }
  }

  // Detects a pause of this process. During a pause, peers may have waited for this node in
  // vain, and its contents may have become outdated. After it, this node queries peers and the
  // platform, and does not count the pause as silence of its peers.
  void DetectPause(instant now) {
    const duration gap = now - last_tick_;
    last_tick_ = now;
    if (gap < kPauseThreshold) {
      return;
    }
    AddEvent(event_kind::kPauseNoticed, result_code::kOk, options_.instance,
             std::chrono::duration_cast<milliseconds>(gap).count());
    actions_.pause = gap;
    members_.OnPause(gap);
    last_received_ += gap;
    gossip_.OnProcessResumed(now);
    reader_.OnProcessResumed(now, random_);
    catching_up_ = true;
    caught_up_at_ = now + kMaxCatchUp;
  }

  void Probe() {
    for (const endpoint& instance : members_.NextProbes()) {
      Send(gossip_.Probe(instance));
    }
  }

  void Send(outgoing_digest digest) {
    ++digests_sent_;
    actions_.digests.push_back(std::move(digest));
  }

  //============================================================================
  // Fetches the followed values that changed in the directory.
  void Apply(const directory_changes& changes, instant now) {
    for (const value_version& conflict : changes.conflicts) {
      RecordConflict(conflict);
    }
    for (const value_version& newer : changes.newer) {
      if (store_.Follows(newer.name)) {
        WantNewest(newer.name, changes.newer.size(), now);
        WantFirstList(newer.name, now);
      }
    }
    if (changes.table_newer) {
      reader_.OnIndexFromPeer(now, random_);
      Finish(kIndexName, gossip_.directory().table_version());
    }
  }

  // Fetches the instance list of a service that was not in the index before.
  void WantFirstList(const std::string& shard, instant now) {
    const std::string list = InstancesName(shard);
    if (store_.Follows(list) && store_.VersionOf(list) == 0 && !fetch_.Wants(list)) {
      WantNewest(list, 1, now);
    }
  }

  // Whether the known index lacks a service. A backend server may call services that do not
  // exist; repeated queries to all peers and the platform for them would cost more than
  // those for existing services.
  bool IsInNoIndex(std::string_view service) const {
    return service != options_.service && gossip_.directory().table_version() > 0 &&
           gossip_.directory().Find(service) == nullptr;
  }

  void WantNewest(const std::string& name, std::size_t changed_at_once, instant now) {
    const value_version* const known = gossip_.directory().Find(name);
    const bool not_needed = known != nullptr && (known->version <= store_.VersionOf(name) ||
                                                 store_.IsKnownInvalid(*known));
    if (not_needed || IsInNoIndex(ServiceOf(name))) {
      fetch_.Done(name);
      return;
    }
    const std::uint64_t version = known == nullptr ? 1 : known->version;
    fetch_.Want(name, version, SourcesOf(name, version), now + RandomDelay(name, changed_at_once));
  }

  // Returns the delay of other contents until this node's own instance list, which contains
  // the peers to query, is known. Without it, a failure domain whose nodes all start at once
  // would read all contents from the platform.
  duration OwnListDelay() const {
    const bool known = store_.VersionOf(InstancesName(options_.service)) > 0;
    return known ? duration::zero() : duration(kOwnListWait);
  }

  // Returns a random delay that grows with the number of changed values. If one edit changes
  // hundreds of values, their readers would together exceed the platform's read rate and be
  // refused.
  duration RandomDelay(const std::string& name, std::size_t changed_at_once) {
    const bool first_copy = store_.VersionOf(name) == 0;
    const std::size_t count = first_copy ? members_.size() : changed_at_once;
    const double longest = static_cast<double>(count) * kReadersPerValue / kContentReadsPerSecond;
    return duration(static_cast<std::int64_t>(longest * random_.Fraction() * kMicrosPerSecond));
  }

  //============================================================================
  std::vector<content_source> SourcesOf(const std::string& name, std::uint64_t version) {
    return planner_.SourcesOf(name, version, members_.MembersOf(options_.service),
                              members_.MembersOf(ServiceOf(name)), random_);
  }

  void Attempt(fetch_attempt& attempt, instant now) {
    if (KindOf(attempt.name) != value_kind::kIndex && IsInNoIndex(ServiceOf(attempt.name))) {
      fetch_.Done(attempt.name);
      return;
    }
    if (!attempt.source.has_value()) {
      QueryPlatform(attempt.name, now);
      return;
    }
    const std::uint64_t newer_than = KindOf(attempt.name) == value_kind::kIndex
                                         ? gossip_.directory().table_version()
                                         : store_.VersionOf(attempt.name);
    queried_peers_[attempt.name] = *attempt.source;
    actions_.requests.push_back({*attempt.source, std::move(attempt.name), newer_than});
  }

  // Queues a read, or moves on to the next source where the platform does not answer, as a
  // peer may have the value.
  void QueryPlatform(const std::string& name, instant now) {
    if (reader_.reachable()) {
      reader_.Want(name);
    } else {
      fetch_.OnNoNewerValue(name, std::nullopt, now);
    }
  }

  // Ends the fetch of a value that was received in this version, unless a newer one exists.
  void Finish(const std::string& name, std::uint64_t version) {
    const value_version* const known = gossip_.directory().Find(name);
    if (known == nullptr || known->version <= version) {
      fetch_.Done(name);
      reader_.Unwant(name);
      queried_peers_.erase(name);
    }
  }

  //============================================================================
  void Take(const std::string& name, std::string_view text, const content_source& source,
            instant now) {
    if (KindOf(name) == value_kind::kIndex) {
      TakeIndex(text, source, now);
      return;
    }
    offer_result result = store_.Offer(name, text, gossip_.directory().Find(name));
    switch (result.outcome) {
      case offer_outcome::kAccepted:
        OnTaken(result, now);
        break;  // The next source is queried where a newer version is known.
      case offer_outcome::kConflict:
        RecordConflict(result.version);
        break;
      case offer_outcome::kInvalid:
        ++rejected_;
        AddEvent(event_kind::kTableRejected, CodeOf(result.status), name,
                 static_cast<std::int64_t>(result.version.version));
        Finish(name, result.version.version);
        return;
      case offer_outcome::kDamaged:
        ++rejected_;
        break;
      case offer_outcome::kNotNewer:
        break;
    }
    fetch_.OnNoNewerValue(name, source, now);
  }

  void TakeIndex(std::string_view text, const content_source& source, instant now) {
    const absl::StatusOr<published_index> index = published_index::Parse(text);
    if (!index.ok()) {
      ++rejected_;
      AddEvent(event_kind::kTableRejected, CodeOf(index.status()), "index", 0);
      fetch_.OnNoNewerValue(kIndexName, source, now);
      return;
    }
    if (!source.has_value()) {
      RecordStaleness(index->version, now);
      catching_up_ = false;
    }
    Apply(gossip_.OnIndex(*index, now), now);
    fetch_.OnNoNewerValue(kIndexName, source, now);
  }

  // Records whether the platform's index is outdated. Such an index has no effect here, but
  // the status shows it to operators.
  void RecordStaleness(std::uint64_t version, instant now) {
    if (version >= gossip_.directory().table_version()) {
      stale_since_.reset();
    } else if (!stale_since_.has_value()) {
      stale_since_ = now;
    }
  }

  void OnTaken(offer_result& result, instant now) {
    const std::string& name = result.version.name;
    Apply(gossip_.OnValue(result.version, now), now);
    Finish(name, result.version.version);
    if (result.shard.has_value()) {
      PutInForce(*std::move(result.shard));
    } else if (result.instances.has_value()) {
      UpdateList(*result.instances, now);
    }
    for (const endpoint peer : waiting_.Take(name)) {
      Reply(name, peer);
    }
  }

  void PutInForce(table_shard shard) {
    if (initial_shards_.Awaits(shard.service.name)) {
      initial_shards_.Hold(std::move(shard));
      return;
    }
    AddEvent(event_kind::kTableInForce, result_code::kOk, shard.service.name,
             static_cast<std::int64_t>(shard.version));
    actions_.in_force.push_back(std::move(shard));
  }

  void ReleaseFirstCopies(instant now) {
    const bool has_received_digest = digests_received_ > 0;
    for (table_shard& shard :
         initial_shards_.Release(gossip_.directory(), has_received_digest, now)) {
      PutInForce(std::move(shard));
    }
  }

  // Plans the fetches of missing contents again, as a new list may contain peers to query.
  void ReplanMissing(const std::string& listed, instant now) {
    for (const std::string& service : members_.services()) {
      const bool concerned = listed == options_.service || listed == service;
      for (const std::string& name : {service, InstancesName(service)}) {
        if (concerned && store_.VersionOf(name) == 0) {
          fetch_.Done(name);
          reader_.Unwant(name);
          WantNewest(name, 1, now);
        }
      }
    }
  }

  void UpdateList(const published_instances& list, instant now) {
    if (!members_.UpdateList(list, now)) {
      return;
    }
    gossip_.peers().UpdateList(list.service, list.instances);
    if (list.service == options_.service) {
      watching_ = planner_.IsWatcher(members_.MembersOf(options_.service));
      reader_.SetWatching(watching_);
    }
    ReplanMissing(list.service, now);
    actions_.self_draining =
        actions_.self_draining ||
        std::any_of(list.instances.begin(), list.instances.end(), [this](const auto& one) {
          return one.instance == options_.instance && one.peer == options_.self && one.draining;
        });
  }

  //============================================================================
  void Reply(const std::string& name, endpoint to) {
    actions_.replies.push_back(
        {to, name, store_.VersionOf(name), std::string(store_.TextOf(name))});
  }

  // Stores a request until its value arrives. The requesting peer knows a newer version, which
  // this node may not know yet; this node then queries that peer for its versions. An empty
  // reply would make the peer read the platform.
  bool DeferRequest(const content_request& request, endpoint from, instant now) {
    if (!waiting_.Add(request.name, from, now)) {
      return false;
    }
    if (!fetch_.Wants(request.name)) {
      Send(gossip_.Probe(from));
    }
    return true;
  }

  void ReplyIndex(const content_request& request, endpoint from) {
    const published_index newer =
        gossip_.directory().IndexSince(request.newer_than, gossip_.fleet_size());
    const bool any = newer.version > request.newer_than;
    actions_.replies.push_back(
        {from, request.name, newer.version, any ? newer.ToJson() : std::string()});
  }

  void MarkMembersChanged(const std::string& service) {
    std::vector<std::string>& changed = actions_.changed_services;
    if (std::find(changed.begin(), changed.end(), service) == changed.end()) {
      changed.push_back(service);
    }
  }

  // Reports a conflict once per version and content. Otherwise the ring buffer of events would
  // soon hold no others.
  void RecordConflict(const value_version& conflict) {
    if (conflict == last_conflict_) {
      return;
    }
    last_conflict_ = conflict;
    ++conflicts_;
    AddEvent(event_kind::kTableRejected, result_code::kTableVersionConflict, conflict.name,
             static_cast<std::int64_t>(conflict.version));
  }

  void AddEvent(event_kind kind, result_code code, std::string subject, std::int64_t value) {
    timeline_event event;
    event.kind = kind;
    event.code = code;
    event.subject = std::move(subject);
    event.value = value;
    actions_.events.push_back(std::move(event));
  }

  content_fetcher fetch_;
  std::map<std::string, endpoint> queried_peers_;
  initial_shards initial_shards_;
  waiting_requests waiting_;
  instant last_tick_;
  instant last_received_;
  instant next_probe_;
  instant caught_up_at_;
  bool catching_up_ = false;
  bool watching_ = false;
  std::optional<instant> stale_since_;
  value_version last_conflict_;
  std::uint64_t digests_sent_ = 0;
  std::uint64_t digests_received_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t conflicts_ = 0;
};

fleet_agent::fleet_agent(options chosen, instant now, random_source random)
    : state_(std::make_unique<state>(std::move(chosen), now, random)) {}

fleet_agent::~fleet_agent() = default;

bool fleet_agent::Follow(std::string_view service, instant now) {
  return state_->Follow(service, now);
}

void fleet_agent::OnTick(instant now) { state_->OnTick(now); }

void fleet_agent::OnDigest(const gossip_digest& digest, instant now) {
  state_->OnDigest(digest, now);
}

void fleet_agent::OnContentRequest(const content_request& request, endpoint from, instant now) {
  state_->OnContentRequest(request, from, now);
}

void fleet_agent::OnContentReply(const content_reply& reply, endpoint from, instant now) {
  state_->OnContentReply(reply, from, now);
}

void fleet_agent::OnUnreachable(endpoint peer, instant now) { state_->OnUnreachable(peer, now); }

void fleet_agent::OnPlatformRead(std::string_view name, read_outcome outcome,
                                 std::string_view value, instant now) {
  state_->OnPlatformRead(name, outcome, value, now);
}

void fleet_agent::OnPlatformWatched(std::string_view name, read_outcome outcome,
                                    std::string_view value, instant now) {
  state_->OnPlatformWatched(name, outcome, value, now);
}

void fleet_agent::OnHello(std::string_view service, const member_hello& hello, instant now) {
  state_->members_.OnHello(service, hello, now);
}

void fleet_agent::OnPeerDraining(endpoint peer, incarnation_id incarnation, instant now) {
  state_->members_.OnDraining(peer, incarnation, now);
}

void fleet_agent::OnPeerLost(endpoint peer, instant now) { state_->members_.OnLost(peer, now); }

fleet_actions fleet_agent::TakeActions() { return std::exchange(state_->actions_, {}); }

instant fleet_agent::next_due(instant now) const { return state_->next_due(now); }

std::uint64_t fleet_agent::table_version() const {
  return state_->gossip_.directory().table_version();
}

std::uint64_t fleet_agent::shard_version(std::string_view service) const {
  return state_->InForceVersion(service);
}

std::vector<member> fleet_agent::members(std::string_view service) const {
  return state_->members_.MembersOf(service);
}

fleet_status fleet_agent::status(instant now) const { return state_->status(now); }

}  // namespace cuminferry
