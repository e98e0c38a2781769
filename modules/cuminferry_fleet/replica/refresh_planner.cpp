#include "cuminferry_fleet/replica/refresh_planner.h"

#include <algorithm>
#include <utility>

#include "cuminferry_fleet/replica/dissemination_tree.h"

namespace cuminferry {
namespace {

// A node that watches the platform gives its own watch this many periods to deliver an update that
// other nodes have.
constexpr std::uint32_t kWatchGracePeriods = 2;
constexpr std::size_t kStandbysPerStep = 2;

}  // namespace

refresh_planner::refresh_planner(const endpoint& seed, instant now, random_source& random)
    : seed_(seed), random_(random), started_at_(now), complete_at_(now), last_reply_at_(now) {}

void refresh_planner::SetPeers(const std::vector<endpoint>& peers) {
  std::erase_if(other_peers_,
                [&](const endpoint& peer) { return !std::ranges::binary_search(peers, peer); });
  const std::size_t wanted = std::min(kOtherPeers, peers.size());
  // A draw may hit a peer that is known already; a few more draws than wanted make up for that.
  for (std::size_t draw = 0; draw < 4 * kOtherPeers && other_peers_.size() < wanted; ++draw) {
    const endpoint& drawn = peers[random_.Below(peers.size())];
    if (std::ranges::find(other_peers_, drawn) == other_peers_.end()) {
      other_peers_.push_back(drawn);
    }
  }
}

//==============================================================================
bool refresh_planner::IsSeed() const { return std::ranges::find(seeds_, seed_) != seeds_.end(); }

bool refresh_planner::IsReader() const {
  return SeedsAreSources() ? seeds_.empty() || IsSeed() : position_.is_reader();
}

std::size_t refresh_planner::SourceCount() const {
  return SeedsAreSources() ? seeds_.size() : position_.sources.size();
}

bool refresh_planner::IsFresh(const replica_view& replica) const {
  return replica.age && *replica.age <= StaleAfter(position_.depth);
}

// The node's own watch delivers the same update within one or two periods.
bool refresh_planner::OthersHaveLaterRevision() const {
  return periods_behind_ >= (is_watching_ ? kWatchGracePeriods : 1);
}

bool refresh_planner::BeginPeriod(const replica_view& replica, instant now) {
  has_replica_ = replica.complete_to > 0;
  const bool is_behind = replica.reported_revision > replica.complete_to;
  periods_behind_ = is_behind ? periods_behind_ + 1 : 0;
  if (now - referred_at_ > kReferralPatience) {
    referrals_.clear();
  }
  queries_sent_ = 0;
  sources_queried_ = 0;
  substitutes_queried_ = 0;
  std::erase_if(avoided_until_, [now](const auto& item) { return now >= item.second; });
  first_source_ = random_.Below(std::max<std::size_t>(1, SourceCount()));
  return !IsReader() || !replica.platform_answers || !IsFresh(replica) || OthersHaveLaterRevision();
}

// In this order: the node that has a later revision than the own watch and the sources have
// delivered; the sources; substitutes; any other node.
std::optional<refresh_planner::query> refresh_planner::NextQuery(const replica_view& replica,
                                                                 instant now) {
  has_replica_ = replica.complete_to > 0;
  const bool is_first = queries_sent_++ == 0;
  last_role_ = role::kOther;
  last_node_ = {};
  if (is_first && OthersHaveLaterRevision()) {
    return query{.kind = address_kind::kReporter, .node = {}};
  }
  std::optional<query> next;
  if (SeedsAreSources() && !referrals_.empty()) {
    last_role_ = role::kReferral;
    next = query{.kind = address_kind::kPeer,
                 .node = referrals_[next_referral_++ % referrals_.size()]};
  } else if (sources_queried_ < SourceCount()) {
    last_role_ = role::kSource;
    next = NextSource(now);
  }
  if (!next && has_replica_) {
    last_role_ = role::kSubstitute;
    next = NextSubstitute(replica, now);
  }
  if (!next) {
    last_role_ = role::kOther;
    next = NextOther(now);
  }
  if (next) {
    last_node_ = next->node;
  }
  return next;
}

bool refresh_planner::IsAvoided(const endpoint& node, instant now) const {
  const auto found = avoided_until_.find(node);
  return found != avoided_until_.end() && now < found->second;
}

std::optional<refresh_planner::query> refresh_planner::NextSource(instant now) {
  const std::vector<endpoint>& sources = SeedsAreSources() ? seeds_ : position_.sources;
  while (sources_queried_ < sources.size()) {
    const endpoint& chosen = sources[(first_source_ + sources_queried_++) % sources.size()];
    if (!IsAvoided(chosen, now)) {
      return query{.kind = SeedsAreSources() ? address_kind::kSeed : address_kind::kBackend,
                   .node = chosen};
    }
  }
  return std::nullopt;
}

std::optional<refresh_planner::query> refresh_planner::NextSubstitute(const replica_view& replica,
                                                                      instant now) {
  const std::size_t count = position_.substitutes.size();
  const bool long_outage = IsLongOutage(replica);
  const std::size_t always = long_outage ? 0 : std::min(kSubstitutesAlwaysQueried, count);
  const std::size_t most = std::min(count, long_outage ? 1 : kMaxSubstitutesPerPeriod);
  while (substitutes_queried_ < most) {
    const std::size_t number = substitutes_queried_++;
    last_substitute_ = number < always ? number : always + next_substitute_++ % (count - always);
    const endpoint& chosen = position_.substitutes[last_substitute_];
    if (!IsAvoided(chosen, now)) {
      return query{.kind = address_kind::kBackend, .node = chosen};
    }
  }
  return std::nullopt;
}

std::optional<refresh_planner::query> refresh_planner::NextOther(instant now) {
  for (std::size_t tried = 0; tried < other_peers_.size(); ++tried) {
    const endpoint& chosen = other_peers_[next_other_++ % other_peers_.size()];
    if (!IsAvoided(chosen, now)) {
      return query{.kind = address_kind::kPeer, .node = chosen};
    }
  }
  if (seeds_.empty()) {
    return std::nullopt;
  }
  return query{.kind = address_kind::kSeed, .node = seeds_[random_.Below(seeds_.size())]};
}

//==============================================================================
// Whether the sender watches the platform in preference to this node: it is a reader, a standby of
// a pair before this node's, or on the path from the readers to this node. Two nodes of one pair
// both watch, as the readers do.
bool refresh_planner::IsSuperior(const reply& received) const {
  if (last_role_ == role::kSource) {
    return position_.depth > 1 || received.watch_age.has_value();
  }
  const std::size_t own_pair =
      position_.standby_rank.value_or(dissemination_tree::kMaxStandbys) / kStandbysPerStep;
  const bool is_before_this = last_substitute_ / kStandbysPerStep < own_pair;
  return last_role_ == role::kSubstitute && position_.depth == 1 && is_before_this &&
         received.watch_age.has_value();
}

bool refresh_planner::OnReply(const reply& received, const replica_view& replica, instant now) {
  has_replica_ = replica.complete_to > 0;
  last_reply_at_ = now;
  if (last_role_ == role::kSource) {
    unanswered_by_sources_ = 0;
    unreachable_since_ = instant{};
  }
  if (received.is_watching) {
    watcher_replied_at_ = now;
  }
  if (received.reached_watcher) {
    watcher_reported_at_ = now;
  }
  if (!SeedsAreSources()) {
    referrals_.clear();
  } else if (!received.referrals.empty()) {
    if (referrals_.empty()) {
      referred_at_ = now;
    }
    referrals_ = received.referrals;
    next_referral_ = 0;
  }
  if (!received.age) {
    return ShouldAskAgain(replica);
  }
  // The age is counted from the time of the query: counted from the reply, two nodes that query
  // each other would never appear stale.
  const instant sender_complete_at = received.queried_at - *received.age;
  complete_at_ = std::max(complete_at_, sender_complete_at);
  if (IsSuperior(received)) {
    const duration age = received.watch_age.value_or(*received.age);
    superior_complete_at_ = std::max(superior_complete_at_, received.queried_at - age);
    superior_replied_at_ = now;
  }
  const bool is_sender_fresh = now - sender_complete_at <= StaleAfter(position_.depth);
  const bool looks_for_superior =
      replaces_readers_ && substitutes_queried_ < kSubstitutesAlwaysQueried;
  return (!is_sender_fresh || looks_for_superior) && ShouldAskAgain(replica);
}

bool refresh_planner::OnNoReply(const replica_view& replica, instant now) {
  avoided_until_[last_node_] = now + kAvoidTime;
  if (last_role_ == role::kSource && ++unanswered_by_sources_ >= SourceCount() &&
      unreachable_since_ == instant{}) {
    unreachable_since_ = now;
  }
  if (last_role_ == role::kReferral) {
    // The seeds refer this node to another one.
    referrals_.clear();
  }
  return ShouldAskAgain(replica);
}

bool refresh_planner::IsLongOutage(const replica_view& replica) {
  return replica.age && *replica.age > kLongOutage;
}

// Queries the next source where the previous one did not help. Where no source replies, the own
// replica is stale or this node replaces the readers, other nodes are queried as well.
bool refresh_planner::ShouldAskAgain(const replica_view& replica) const {
  if (SeedsAreSources() && !referrals_.empty()) {
    return queries_sent_ <= 1;
  }
  const bool may_query_others =
      has_replica_ && (!IsFresh(replica) || AreSourcesUnreachable() || replaces_readers_);
  const std::size_t most = IsLongOutage(replica) ? kMaxQueriesInOutage : kMaxQueriesPerPeriod;
  return queries_sent_ < (may_query_others ? most : SourceCount());
}

//==============================================================================
bool refresh_planner::UpdateWatching(const replica_view& replica, instant now) {
  has_replica_ = replica.complete_to > 0;
  if (replaces_readers_) {
    replaces_readers_ = !IsReplacedByOthers(now);
  } else {
    replaces_readers_ = has_replica_ && MustReplaceReaders(now);
  }
  const bool is_isolated = has_replica_ && now - last_reply_at_ > kIsolatedAfter;
  is_watching_ = IsReader() || replaces_readers_ || is_isolated ||
                 (!has_replica_ && MustWatchWithoutReplica(now));
  return is_watching_;
}

bool refresh_planner::MustWatchWithoutReplica(instant now) const {
  if (now - referred_at_ <= kEmptySeedsWait) {
    // The nodes to which this one is referred queried a seed earlier and watch before it.
    return false;
  }
  const bool seeds_are_empty = now - last_reply_at_ <= kFirstReplicaWait;
  return now - started_at_ > (seeds_are_empty ? kEmptySeedsWait : kFirstReplicaWait);
}

duration refresh_planner::StandbyDelay() const {
  const std::size_t rank = position_.standby_rank.value_or(dissemination_tree::kMaxStandbys);
  if (rank < kQuickStandbys) {
    return kQuickDelay * ((1 << (rank / kStandbysPerStep)) - 1);
  }
  return kSlowDelay * (1 << ((rank - kQuickStandbys) / kStandbysPerStep));
}

bool refresh_planner::IsReplacedByOthers(instant now) const {
  const bool replied_since = !AreSourcesUnreachable() || superior_replied_at_ > unreachable_since_;
  return replied_since && now - superior_complete_at_ <= WatchAfter(position_.depth);
}

bool refresh_planner::MustReplaceReaders(instant now) const {
  const duration age = now - complete_at_;
  if (position_.standby_rank && age > WatchAfter(position_.depth) + StandbyDelay()) {
    return true;
  }
  if (!position_.is_domain_entry && !position_.is_domain_backup) {
    return false;
  }
  const bool is_in_first_pair =
      position_.standby_rank && *position_.standby_rank < kStandbysPerStep;
  const bool reached_no_watcher = is_in_first_pair || watcher_replied_at_ < unreachable_since_;
  if (position_.is_domain_entry && AreSourcesUnreachable() && reached_no_watcher &&
      now - unreachable_since_ >= std::min<duration>(StandbyDelay(), kMaxUnreachableDelay)) {
    return true;
  }
  const instant watcher_known_at = std::max(watcher_replied_at_, watcher_reported_at_);
  return age > kIsolatedAfter && now - watcher_known_at > kIsolatedAfter;
}

}  // namespace cuminferry
