#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cuminferry_fleet/replica/tree_position.h"
#include "cuminferry_fleet/replica/watch_schedule.h"

namespace cuminferry {

/** Decides whom a node queries for updates of its replica of the published items, and whether it
    watches the platform itself.

    Two nodes of the fleet, the readers, watch the platform. Every other node queries its sources,
    the nodes above it in the dissemination tree, once in each period. Each reply states the age
    of the sender's replica, so that a node knows the age of its own replica whichever path the
    updates took. A replica on the level d of the tree usually has an age of at most
    watch_schedule::kMaxAge and d periods. What is late is therefore judged by the level:

    - A replica older than StaleAfter(d), or sources that don't reply: the node also queries its
      substitutes and then other nodes, until one has a newer replica. Each node has substitutes
      and other nodes of its own, so the queries are spread over the fleet.
    - A replica older than WatchAfter(d) at a standby: the node watches the platform itself until
      a reader, or a standby before it, is current again. The standbys begin in the order of
      their ranks, in pairs: if a pair gets updates, the next ones receive these and don't begin.
      After the first few, the delay doubles with each pair, so that an outage of the platform
      leads to a number of watching nodes that grows with the logarithm of its duration.
    - No reply of any source, and none of any watching node, at the first pair of a failure
      domain: the node watches at once, in the order of the ranks. A failure domain that is cut
      off from the readers would otherwise not learn which instances are drained.
    - No reply of any node: the node watches the platform itself.

    A node without a replica, or whose replica lists no other instance yet, queries the seeds or the
    nodes to which a seed refers it.

    The class does no I/O and has no clock; its owner passes the time.
    @see dissemination_tree, start_referrals
*/
class refresh_planner {
 public:
  /** Period in which a node queries its sources. An update takes half of it for each level of
      the tree, on average. */
  static constexpr duration kQueryPeriod = std::chrono::milliseconds(250);
  /** Time beyond the usual age at which a replica counts as stale. */
  static constexpr duration kStaleMargin = std::chrono::milliseconds(150);
  /** Time beyond the usual age at which a standby watches the platform. Drains must take effect
      within two seconds after the platform publishes them. */
  static constexpr duration kWatchMargin = std::chrono::milliseconds(200);
  /** Standbys that begin within a few tenths of a second, in pairs. The platform may refuse a
      third of the nodes, and eight with the readers are then not all refused. */
  static constexpr std::size_t kQuickStandbys = 6;
  /** Delay of the second pair of standbys after the first; doubles with the third. */
  static constexpr duration kQuickDelay = std::chrono::milliseconds(100);
  /** Delay of the first pair after the quick ones; doubles with each further pair. */
  static constexpr duration kSlowDelay = std::chrono::seconds(3);
  /** Maximum delay of a node whose sources don't reply. */
  static constexpr duration kMaxUnreachableDelay = std::chrono::milliseconds(300);
  /** Time without a reply of any node, or of any watching node at the second pair of a failure
      domain, after which a node watches the platform itself. */
  static constexpr duration kIsolatedAfter = std::chrono::milliseconds(1'500);
  /** Time in which a node that has just started waits for a replica from its seeds: where all
      nodes start at once, the seeds have none at first. */
  static constexpr duration kFirstReplicaWait = std::chrono::milliseconds(600);
  /** Time to wait where the seeds reply but have no replica: the platform refuses them, but
      perhaps not this node. */
  static constexpr duration kEmptySeedsWait = std::chrono::milliseconds(2'000);
  /** Time after which a node that is referred to others and still has no place in the tree queries
      the seeds again. */
  static constexpr duration kReferralPatience = std::chrono::seconds(1);
  /** Maximum number of queries in one period of a node whose replica is stale. As the queried
      nodes query others in turn, updates reach a fleet of thousands of nodes within a few
      periods. */
  static constexpr std::size_t kMaxQueriesPerPeriod = 8;
  /** Substitutes queried in one period: the first ones always, as they are the first to watch,
      and the others in turn. */
  static constexpr std::size_t kMaxSubstitutesPerPeriod = 4;
  static constexpr std::size_t kSubstitutesAlwaysQueried = 2;
  /** After this time the platform probably gives no node an update. Fewer nodes are queried then:
      the sources, and one substitute and one other node in turn. */
  static constexpr duration kLongOutage = std::chrono::seconds(4);
  static constexpr std::size_t kMaxQueriesInOutage = 4;
  /** Time for which a node that didn't reply is not queried again. In a failure domain that is cut
      off, waiting for nodes outside would otherwise take the time to query those inside. */
  static constexpr duration kAvoidTime = std::chrono::seconds(1);
  /** Nodes besides sources and substitutes that a node queries, drawn at random for each node. A
      node that queried all others in turn would open a connection to each of them. */
  static constexpr std::size_t kOtherPeers = 16;

  /** Age above which a replica on this level of the tree is stale. */
  static constexpr duration StaleAfter(std::size_t depth) { return UsualAge(depth) + kStaleMargin; }
  /** Age above which a standby on this level watches the platform. */
  static constexpr duration WatchAfter(std::size_t depth) { return UsualAge(depth) + kWatchMargin; }

  /** What the node knows of its own replica. */
  struct replica_view {
    /** Revision up to which the replica is complete; 0 before the first one. */
    std::uint64_t complete_to = 0;
    /** Upper bound of its age, whoever confirmed it. */
    std::optional<duration> age;
    /** The latest revision that the answer of another node reported. */
    std::uint64_t reported_revision = 0;
    bool platform_answers = false;
  };

  /** The kind of address that a query goes to. */
  enum class address_kind : std::uint8_t {
    /** The address at which a seed is queried. */
    kSeed,
    /** The address of the backend server beside the queried node. */
    kBackend,
    /** The address at which nodes query each other. */
    kPeer,
    /** The node that reported the latest revision. */
    kReporter,
  };
  struct query {
    address_kind kind = address_kind::kBackend;
    endpoint node;
  };

  struct reply {
    instant queried_at;
    /** Age of the sender's replica when it replied; nothing where it has none. */
    std::optional<duration> age;
    /** The sender watches the platform, whether or not it gets answers. */
    bool is_watching = false;
    /** A node that watches the platform has just replied to the sender. */
    bool reached_watcher = false;
    /** Age of the sender's replica according to its own watch alone; nothing where it has none.
        A replica that only other nodes confirm may have been confirmed by this node. */
    std::optional<duration> watch_age;
    /** Nodes to query in place of the sender, by their peer addresses. */
    std::vector<endpoint> referrals;
  };

  /** @param seed     address at which this node is queried as a seed
      @param now      start of the node
      @param random   used until the planner is destroyed */
  refresh_planner(const endpoint& seed, instant now, random_source& random);

  //============================================================================
  void SetSeeds(std::vector<endpoint> seeds) { seeds_ = std::move(seeds); }
  void SetPosition(tree_position position) { position_ = std::move(position); }
  /** Sets the peer addresses of all other nodes; the planner copies kOtherPeers of them. */
  void SetPeers(const std::vector<endpoint>& peers);

  /** Begins a period. Returns whether the node queries anybody in it. */
  bool BeginPeriod(const replica_view& replica, instant now);
  /** Returns the next query of this period; nothing if no other node is known. */
  std::optional<query> NextQuery(const replica_view& replica, instant now);
  /** Takes in the reply to the last query. Returns whether to send another one at once. */
  bool OnReply(const reply& received, const replica_view& replica, instant now);
  /** Records that the last query had no reply. Returns whether to send another one at once. */
  bool OnNoReply(const replica_view& replica, instant now);

  /** Decides anew whether the node watches the platform, and returns the decision. */
  bool UpdateWatching(const replica_view& replica, instant now);
  bool is_watching() const { return is_watching_; }
  /** Whether a node that watches the platform has replied within kIsolatedAfter. */
  bool ReachedWatcher(instant now) const { return now - watcher_replied_at_ <= kIsolatedAfter; }
  /** Whether the node reads the platform for the fleet. */
  bool IsReader() const;
  /** Whether a queried node may refer this one to other nodes: it has no place in the tree, as its
      replica lists no other instance yet or it has none. */
  bool AcceptsReferrals() const { return SeedsAreSources(); }
  const tree_position& position() const { return position_; }
  /** Queries that sources left unanswered since one replied. */
  std::size_t unanswered_by_sources() const { return unanswered_by_sources_; }

 private:
  /** What a queried node is to this one; its reply is judged by that. */
  enum class role : std::uint8_t { kSource, kReferral, kSubstitute, kOther };

  static constexpr duration UsualAge(std::size_t depth) {
    return watch_schedule::kMaxAge + static_cast<int>(depth) * kQueryPeriod;
  }

  bool SeedsAreSources() const { return !has_replica_ || position_.is_alone(); }
  bool IsSeed() const;
  std::size_t SourceCount() const;
  bool IsFresh(const replica_view& replica) const;
  bool OthersHaveLaterRevision() const;
  static bool IsLongOutage(const replica_view& replica);
  bool ShouldAskAgain(const replica_view& replica) const;
  bool IsAvoided(const endpoint& node, instant now) const;
  std::optional<query> NextSource(instant now);
  std::optional<query> NextSubstitute(const replica_view& replica, instant now);
  std::optional<query> NextOther(instant now);
  bool IsSuperior(const reply& received) const;
  bool AreSourcesUnreachable() const { return unreachable_since_ != instant{}; }
  bool MustWatchWithoutReplica(instant now) const;
  duration StandbyDelay() const;
  bool MustReplaceReaders(instant now) const;
  bool IsReplacedByOthers(instant now) const;

  endpoint seed_;
  random_source& random_;
  instant started_at_;
  std::vector<endpoint> seeds_;
  tree_position position_;
  std::vector<endpoint> other_peers_;
  // Nodes to which a seed, or another of these nodes, referred this one; queried in turn.
  std::vector<endpoint> referrals_;
  std::size_t next_referral_ = 0;
  instant referred_at_{};

  bool has_replica_ = false;
  bool is_watching_ = false;
  // The node watches in place of readers that bring nothing new.
  bool replaces_readers_ = false;
  std::uint32_t periods_behind_ = 0;

  // Counts of this period.
  std::size_t queries_sent_ = 0;
  std::size_t sources_queried_ = 0;
  std::size_t substitutes_queried_ = 0;
  std::size_t first_source_ = 0;
  std::size_t next_substitute_ = 0;
  std::size_t next_other_ = 0;
  role last_role_ = role::kSource;
  endpoint last_node_;
  std::size_t last_substitute_ = 0;
  // Nodes that didn't reply.
  std::map<endpoint, instant> avoided_until_;

  std::size_t unanswered_by_sources_ = 0;
  // When the last source failed to reply; unset where one replies.
  instant unreachable_since_{};
  // Latest moment at which the replica was complete according to other nodes.
  instant complete_at_;
  instant last_reply_at_{};
  // Latest reply of a node that watches the platform, and of one that had reached such a node.
  instant watcher_replied_at_{};
  instant watcher_reported_at_{};
  // Latest moment as of which a node that watches in preference to this one had a complete replica.
  instant superior_complete_at_{};
  // Latest reply of such a node.
  instant superior_replied_at_{};
};

}  // namespace cuminferry
