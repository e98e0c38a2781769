#include "cuminferry_fleet/agent/fleet_agent.h"

#include <algorithm>
#include <functional>
#include <map>

#include "cuminferry_fleet/members/source_planner.h"
#include "cuminferry_fleet/tables/content_fetch.h"
#include "cuminferry_fleet/tables/first_copies.h"
#include "cuminferry_fleet/tables/value_store.h"
#include "cuminferry_fleet/tables/waiting_requests.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Longest time between two ticks while all is well. */
constexpr milliseconds kLongestTick{250};
/** A tick that comes this late means that the process did not run. */
constexpr milliseconds kPauseNoticed{1'500};
constexpr seconds kCatchUpAtMost{3};
constexpr seconds kProbePeriod{5};
constexpr seconds kIsolatedAfter{5};
constexpr std::size_t kProbesAtOnce = 16;
/** The platform's reads for contents that changed at one moment are spread so
    that the readers of all regions together stay near this rate. */
constexpr double kContentReadsPerSecond = 400.0;
constexpr double kReadersPerValue = 5.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr seconds kStaleAfter{10};
/** How long contents wait for the own list of instances after the start. */
constexpr milliseconds kListComesFirst{1'500};

}  // namespace

class fleet_agent::state {
 public:
  state(options chosen, instant now, random_source random)
      : options_(std::move(chosen)),
        random_(random),
        spread_({options_.self, options_.incarnation},
                {options_.self, options_.failure_domain, options_.seeds}),
        reader_(ReaderOptions(), now, random_),
        planner_({options_.self, options_.service, options_.region, options_.seeds}),
        last_tick_(now),
        heard_at_(now) {
    Follow(options_.service, now);
  }

  //============================================================================
  bool Follow(std::string_view service, instant now) {
    if (views_.contains(service) || views_.size() >= kFollowedBound) {
      return false;
    }
    views_.emplace(std::string(service), member_view(std::string(service)));
    first_copies_.Follow(service, now);
    const std::string list = InstancesName(service);
    store_.Follow(service);
    store_.Follow(list);
    spread_.FollowList(list);
    reader_.Follow(list);
    WantNewest(list, 1, now);
    WantNewest(std::string(service), 1, now + ListComesFirst());
    return true;
  }

  void OnTick(instant now) {
    NoticePause(now);
    if (spread_.directory().table_version() > 0) {
      reader_.UseFleetSize(FleetSize());
    }
    reader_.UseIsolated(now - heard_at_ > kIsolatedAfter);
    for (fetch_attempt& attempt : fetch_.OnTick(now, random_)) {
      Attempt(attempt, now);
    }
    if (!actions_.platform_read.has_value()) {
      actions_.platform_read = reader_.OnTick(now, random_);
    }
    if (!actions_.platform_watch.has_value()) {
      actions_.platform_watch = reader_.NextWatch(now);
    }
    for (outgoing_digest& digest : spread_.OnTick(now, random_)) {
      Send(std::move(digest));
    }
    ReleaseFirstCopies(now);
    if (now >= next_probe_) {
      next_probe_ = now + kProbePeriod;
      Probe();
      ForgetOld(now);
    }
    catching_up_ = catching_up_ && now < caught_up_at_;
  }

  void OnDigest(const spread_digest& digest, instant now) {
    ++digests_received_;
    heard_at_ = now;
    for (auto& [service, view] : views_) {
      if (view.OnHeard(digest.from, digest.incarnation, now)) {
        NoteMembers(service);
      }
    }
    digest_outcome outcome = spread_.OnDigest(digest, now);
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
    if (store_.Follows(request.name) && Park(request, from, now)) {
      return;
    }
    actions_.replies.push_back({from, request.name, 0, {}});
  }

  void OnContentReply(const content_reply& reply, endpoint from, instant now) {
    if (reply.text.empty()) {
      fetch_.OnNothing(reply.name, from, now);
      return;
    }
    Take(reply.name, reply.text, from, now);
  }

  void OnUnreachable(endpoint peer, instant now) {
    for (const auto& [name, asked] : asked_) {
      if (asked == peer) {
        fetch_.OnNothing(name, peer, now);
      }
    }
  }

  void OnPlatformRead(std::string_view name, read_end end, std::string_view value, instant now) {
    const bool was_reachable = reader_.reachable();
    reader_.OnRead(end, now, random_);
    NoteReachable(was_reachable, now);
    if (end == read_end::kValue) {
      Take(std::string(name), value, std::nullopt, now);
    } else {
      fetch_.OnNothing(name, std::nullopt, now);
    }
  }

  void OnPlatformWatched(std::string_view name, read_end end, std::string_view value, instant now) {
    reader_.OnWatched(end, now, random_);
    if (end == read_end::kValue) {
      Take(std::string(name), value, std::nullopt, now);
    }
  }

  //============================================================================
  void OnHello(std::string_view service, const member_hello& hello, instant now) {
    const auto found = views_.find(service);
    if (found != views_.end() && found->second.OnHello(hello, now)) {
      AddEvent(hello.info.leaving ? event_kind::kMemberLeaving : event_kind::kMemberUp,
               result_code::kOk, hello.info.instance, 0);
      NoteMembers(found->first);
    }
  }

  void OnPeerLeaving(endpoint peer, incarnation_id incarnation, instant now) {
    for (auto& [service, view] : views_) {
      if (view.Holds(peer) && view.OnLeaving(peer, incarnation, now)) {
        AddEvent(event_kind::kMemberLeaving, result_code::kOk, peer.ToString(), 0);
        NoteMembers(service);
      }
    }
  }

  void OnPeerLost(endpoint peer, instant now) {
    for (auto& [service, view] : views_) {
      if (view.OnLost(peer, now)) {
        AddEvent(event_kind::kMemberDown, result_code::kPeerSilent, peer.ToString(), 0);
        NoteMembers(service);
      }
    }
  }

  //============================================================================
  std::uint64_t InForceVersion(std::string_view service) const {
    return first_copies_.Awaits(service) ? 0 : store_.VersionOf(service);
  }

  instant next_due(instant now) const {
    instant due = std::min({spread_.next_due(), reader_.next_due(), fetch_.next_due(), next_probe_,
                            now + kLongestTick});
    return std::max(due, now);
  }

  fleet_status status(instant now) const {
    fleet_status now_is;
    now_is.table_version = spread_.directory().table_version();
    now_is.fleet_size = spread_.fleet_size();
    now_is.in_force = store_.InForce();
    now_is.peers = spread_.peers().size();
    now_is.directory_entries = spread_.directory().size();
    now_is.wanted_contents = fetch_.wanted();
    now_is.platform_reachable = reader_.reachable();
    now_is.platform_stale = stale_since_.has_value() && now - *stale_since_ > kStaleAfter;
    now_is.platform_reads = reader_.reads();
    now_is.platform_failed_reads = reader_.failed_reads();
    now_is.digests_sent = digests_sent_;
    now_is.digests_received = digests_received_;
    now_is.rejected = rejected_;
    now_is.conflicts = conflicts_;
    now_is.catching_up = catching_up_;
    now_is.watching = watching_;
    return now_is;
  }

  const options options_;
  random_source random_;
  table_spread spread_;
  value_store store_;
  platform_reader reader_;
  source_planner planner_;
  fleet_actions actions_;
  std::map<std::string, member_view, std::less<>> views_;

 private:
  platform_reader::options ReaderOptions() const {
    platform_reader::options reads = options_.reads;
    reads.own_list = InstancesName(options_.service);
    return reads;
  }

  std::uint32_t FleetSize() const {
    // A published size that is too low would make the fleet read too often.
    return std::max(spread_.fleet_size(), static_cast<std::uint32_t>(spread_.peers().size()));
  }

  void NoteReachable(bool was_reachable, instant now) {
    const bool reachable = reader_.reachable();
    if (reachable && !was_reachable) {
      fetch_.OnSourceBack(now);
    } else if (!reachable && was_reachable) {
      fetch_.OnSourceGone(std::nullopt, now);
    }
    if (reachable != was_reachable) {
      AddEvent(reachable ? event_kind::kPlatformBack : event_kind::kPlatformLost,
               reachable ? result_code::kOk : result_code::kPlatformUnreachable, "platform",
               static_cast<std::int64_t>(reader_.reads()));
    }
  }

  // After a pause the world has moved on: others may have waited for this node in
  // vain, and what it holds may be versions behind. It asks before it goes on, and
  // does not hold its own silence against its peers.
  void NoticePause(instant now) {
    const duration gap = now - last_tick_;
    last_tick_ = now;
    if (gap < kPauseNoticed) {
      return;
    }
    AddEvent(event_kind::kPauseNoticed, result_code::kOk, options_.instance,
             std::chrono::duration_cast<milliseconds>(gap).count());
    actions_.pause = gap;
    for (auto& [service, view] : views_) {
      view.OnPause(gap);
    }
    heard_at_ += gap;
    spread_.OnWakeUp(now);
    reader_.OnWakeUp(now, random_);
    catching_up_ = true;
    caught_up_at_ = now + kCatchUpAtMost;
  }

  void Probe() {
    for (const auto& [service, view] : views_) {
      const std::vector<endpoint> doubtful = view.doubtful();
      for (std::size_t at = 0; at < std::min(doubtful.size(), kProbesAtOnce); ++at) {
        Send(spread_.Probe(doubtful[(probe_offset_ + at) % doubtful.size()]));
      }
    }
    probe_offset_ += kProbesAtOnce;
  }

  void ForgetOld(instant now) {
    for (auto& [service, view] : views_) {
      if (view.OnTick(now)) {
        NoteMembers(service);
      }
    }
    waiting_.OnTick(now);
  }

  void Send(outgoing_digest digest) {
    ++digests_sent_;
    actions_.digests.push_back(std::move(digest));
  }

  //============================================================================
  // Follows up what changed in the directory.
  void Apply(const directory_changes& changes, instant now) {
    for (const value_version& conflict : changes.conflicts) {
      NoteConflict(conflict);
    }
    for (const value_version& newer : changes.newer) {
      if (store_.Follows(newer.name)) {
        WantNewest(newer.name, changes.newer.size(), now);
        WantFirstList(newer.name, now);
      }
    }
    if (changes.table_newer) {
      Finish(kIndexName, spread_.directory().table_version());
    }
  }

  // The list of a service that the index did not have until now.
  void WantFirstList(const std::string& shard, instant now) {
    const std::string list = InstancesName(shard);
    if (store_.Follows(list) && store_.VersionOf(list) == 0 && !fetch_.Wants(list)) {
      WantNewest(list, 1, now);
    }
  }

  // A backend server may call services that do not exist. Asking all peers and the
  // platform for them again and again would cost more than the real ones.
  bool IsInNoIndex(std::string_view service) const {
    return service != options_.service && spread_.directory().table_version() > 0 &&
           spread_.directory().Find(service) == nullptr;
  }

  void WantNewest(const std::string& name, std::size_t changed_at_once, instant now) {
    const value_version* const known = spread_.directory().Find(name);
    const bool useless = known != nullptr && (known->version <= store_.VersionOf(name) ||
                                              store_.IsKnownInvalid(*known));
    if (useless || IsInNoIndex(ServiceOf(name))) {
      fetch_.Done(name);
      return;
    }
    const std::uint64_t version = known == nullptr ? 1 : known->version;
    fetch_.Want(name, version, SourcesOf(name, version), now + Spread(name, changed_at_once));
  }

  // The own list tells which peers to ask for the rest. Without it a domain whose
  // nodes all start at once would read everything from the platform.
  duration ListComesFirst() const {
    const bool known = store_.VersionOf(InstancesName(options_.service)) > 0;
    return known ? duration::zero() : duration(kListComesFirst);
  }

  // One value is fetched at once. Where hundreds change in one edit, their readers
  // would together exceed what the platform serves and be refused.
  duration Spread(const std::string& name, std::size_t changed_at_once) {
    const bool first_copy = store_.VersionOf(name) == 0;
    const std::size_t count = first_copy ? views_.size() : changed_at_once;
    const double longest = static_cast<double>(count) * kReadersPerValue / kContentReadsPerSecond;
    return duration(static_cast<std::int64_t>(longest * random_.Fraction() * kMicrosPerSecond));
  }

  //============================================================================
  std::vector<member> MembersOf(std::string_view service) const {
    const auto found = views_.find(service);
    return found == views_.end() ? std::vector<member>() : found->second.members();
  }

  std::vector<content_source> SourcesOf(const std::string& name, std::uint64_t version) {
    return planner_.SourcesOf(name, version, MembersOf(options_.service),
                              MembersOf(ServiceOf(name)), random_);
  }

  void Attempt(fetch_attempt& attempt, instant now) {
    if (KindOf(attempt.name) != value_kind::kIndex && IsInNoIndex(ServiceOf(attempt.name))) {
      fetch_.Done(attempt.name);
      return;
    }
    if (!attempt.source.has_value()) {
      AskPlatform(attempt.name, now);
      return;
    }
    const std::uint64_t newer_than = KindOf(attempt.name) == value_kind::kIndex
                                         ? spread_.directory().table_version()
                                         : store_.VersionOf(attempt.name);
    asked_[attempt.name] = *attempt.source;
    actions_.requests.push_back({*attempt.source, std::move(attempt.name), newer_than});
  }

  // A platform that does not answer is not waited for: a peer may have the value.
  void AskPlatform(const std::string& name, instant now) {
    if (reader_.reachable()) {
      reader_.Want(name);
    } else {
      fetch_.OnNothing(name, std::nullopt, now);
    }
  }

  // The value is here in this version: nothing more to ask, unless a newer one exists.
  void Finish(const std::string& name, std::uint64_t version) {
    const value_version* const known = spread_.directory().Find(name);
    if (known == nullptr || known->version <= version) {
      fetch_.Done(name);
      reader_.Unwant(name);
      asked_.erase(name);
    }
  }

  //============================================================================
  void Take(const std::string& name, std::string_view text, const content_source& source,
            instant now) {
    if (KindOf(name) == value_kind::kIndex) {
      TakeIndex(text, source, now);
      return;
    }
    offer_result result = store_.Offer(name, text, spread_.directory().Find(name));
    switch (result.outcome) {
      case offer_outcome::kTaken:
        OnTaken(result, now);
        break;  // Perhaps not the newest yet: then the next source is asked.
      case offer_outcome::kConflict:
        NoteConflict(result.version);
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
      case offer_outcome::kOlder:
        break;
    }
    fetch_.OnNothing(name, source, now);
  }

  void TakeIndex(std::string_view text, const content_source& source, instant now) {
    const absl::StatusOr<published_index> index = published_index::Parse(text);
    if (!index.ok()) {
      ++rejected_;
      AddEvent(event_kind::kTableRejected, CodeOf(index.status()), "index", 0);
      fetch_.OnNothing(kIndexName, source, now);
      return;
    }
    if (!source.has_value()) {
      NoteStale(index->version, now);
      catching_up_ = false;
    }
    Apply(spread_.OnIndex(*index, now), now);
    fetch_.OnNothing(kIndexName, source, now);
  }

  // An old answer of the platform changes nothing here, but operators want to know.
  void NoteStale(std::uint64_t version, instant now) {
    if (version >= spread_.directory().table_version()) {
      stale_since_.reset();
    } else if (!stale_since_.has_value()) {
      stale_since_ = now;
    }
  }

  void OnTaken(offer_result& result, instant now) {
    const std::string& name = result.version.name;
    Apply(spread_.OnValue(result.version, now), now);
    Finish(name, result.version.version);
    if (result.shard.has_value()) {
      PutInForce(*std::move(result.shard));
    } else if (result.instances.has_value()) {
      UseList(*result.instances, now);
    }
    for (const endpoint peer : waiting_.Take(name)) {
      Reply(name, peer);
    }
  }

  void PutInForce(table_shard shard) {
    if (first_copies_.Awaits(shard.service.name)) {
      first_copies_.Hold(std::move(shard));
      return;
    }
    AddEvent(event_kind::kTableInForce, result_code::kOk, shard.service.name,
             static_cast<std::int64_t>(shard.version));
    actions_.in_force.push_back(std::move(shard));
  }

  void ReleaseFirstCopies(instant now) {
    const bool heard_a_peer = digests_received_ > 0;
    for (table_shard& shard : first_copies_.Release(spread_.directory(), heard_a_peer, now)) {
      PutInForce(std::move(shard));
    }
  }

  // Contents that never came are asked for anew, now that there are peers to ask.
  void ReplanMissing(const std::string& listed, instant now) {
    for (const auto& [service, view] : views_) {
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

  void UseList(const published_instances& list, instant now) {
    const auto found = views_.find(list.service);
    if (found == views_.end()) {
      return;
    }
    found->second.UseList(list, now);
    spread_.peers().UseList(list.service, list.instances);
    NoteMembers(list.service);
    if (list.service == options_.service) {
      watching_ = planner_.IsWatcher(MembersOf(options_.service));
      reader_.UseWatching(watching_);
    }
    ReplanMissing(list.service, now);
    actions_.self_leaving =
        actions_.self_leaving ||
        std::any_of(list.instances.begin(), list.instances.end(), [this](const auto& one) {
          return one.instance == options_.instance && one.peer == options_.self && one.leaving;
        });
  }

  //============================================================================
  void Reply(const std::string& name, endpoint to) {
    actions_.replies.push_back(
        {to, name, store_.VersionOf(name), std::string(store_.TextOf(name))});
  }

  // Who asks knows of a newer version. This node may not have heard of it yet: then
  // it asks back for the versions, as an empty answer would send the asker on to
  // the platform.
  bool Park(const content_request& request, endpoint from, instant now) {
    if (!waiting_.Add(request.name, from, now)) {
      return false;
    }
    if (!fetch_.Wants(request.name)) {
      Send(spread_.Probe(from));
    }
    return true;
  }

  void ReplyIndex(const content_request& request, endpoint from) {
    const published_index newer =
        spread_.directory().NewerThan(request.newer_than, spread_.fleet_size());
    const bool any = newer.version > request.newer_than;
    actions_.replies.push_back(
        {from, request.name, newer.version, any ? newer.ToJson() : std::string()});
  }

  void NoteMembers(const std::string& service) {
    std::vector<std::string>& changed = actions_.changed_services;
    if (std::find(changed.begin(), changed.end(), service) == changed.end()) {
      changed.push_back(service);
    }
  }

  // Told once per version and content, or the ring of events would hold nothing else.
  void NoteConflict(const value_version& conflict) {
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

  content_fetch fetch_;
  std::map<std::string, endpoint> asked_;
  first_copies first_copies_;
  waiting_requests waiting_;
  instant last_tick_;
  instant heard_at_;
  instant next_probe_;
  std::size_t probe_offset_ = 0;
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

void fleet_agent::OnDigest(const spread_digest& digest, instant now) {
  state_->OnDigest(digest, now);
}

void fleet_agent::OnContentRequest(const content_request& request, endpoint from, instant now) {
  state_->OnContentRequest(request, from, now);
}

void fleet_agent::OnContentReply(const content_reply& reply, endpoint from, instant now) {
  state_->OnContentReply(reply, from, now);
}

void fleet_agent::OnUnreachable(endpoint peer, instant now) { state_->OnUnreachable(peer, now); }

void fleet_agent::OnPlatformRead(std::string_view name, read_end end, std::string_view value,
                                 instant now) {
  state_->OnPlatformRead(name, end, value, now);
}

void fleet_agent::OnPlatformWatched(std::string_view name, read_end end, std::string_view value,
                                    instant now) {
  state_->OnPlatformWatched(name, end, value, now);
}

void fleet_agent::OnHello(std::string_view service, const member_hello& hello, instant now) {
  state_->OnHello(service, hello, now);
}

void fleet_agent::OnPeerLeaving(endpoint peer, incarnation_id incarnation, instant now) {
  state_->OnPeerLeaving(peer, incarnation, now);
}

void fleet_agent::OnPeerLost(endpoint peer, instant now) { state_->OnPeerLost(peer, now); }

fleet_actions fleet_agent::TakeActions() { return std::exchange(state_->actions_, {}); }

instant fleet_agent::next_due(instant now) const { return state_->next_due(now); }

std::uint64_t fleet_agent::table_version() const {
  return state_->spread_.directory().table_version();
}

std::uint64_t fleet_agent::shard_version(std::string_view service) const {
  return state_->InForceVersion(service);
}

std::vector<member> fleet_agent::members(std::string_view service) const {
  const auto found = state_->views_.find(service);
  return found == state_->views_.end() ? std::vector<member>() : found->second.members();
}

fleet_status fleet_agent::status(instant now) const { return state_->status(now); }

}  // namespace cuminferry
