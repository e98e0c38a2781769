#include "cuminferry_fleet/tables/table_spread.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNewsPeriod{100};
constexpr milliseconds kQuietPeriod{1'000};
constexpr int kNewsRounds = 4;
constexpr std::size_t kNewsFanOut = 3;
constexpr std::size_t kQuietFanOut = 1;
constexpr std::size_t kWakeUpFanOut = 3;

// Room in a datagram: with names of thirty letters all of this stays below 1,400 bytes.
constexpr std::size_t kShardsInNews = 10;
constexpr std::size_t kShardsWhenQuiet = 4;
constexpr std::size_t kRecentListsTold = 4;
constexpr std::size_t kFollowedListsTold = 2;
constexpr std::size_t kVersionBytes = 1'100;
constexpr std::size_t kBytesBesidesName = 24;

std::size_t SizeOf(const value_version& version) { return version.name.size() + kBytesBesidesName; }

}  // namespace

class table_spread::state {
 public:
  state(options chosen, gossip_peers::options peers) : options_(chosen), peers_(std::move(peers)) {}

  digest_outcome OnDigest(const spread_digest& digest, instant now) {
    peers_.OnHeard(digest.from);
    digest_outcome outcome;
    outcome.changes = directory_.MergeDigest(digest.table_version, digest.versions);
    // Without a new table version nobody can tell which size is the later one; the
    // larger one makes nodes read less often.
    const bool same_version = digest.table_version == fleet_size_version_;
    TakeFleetSize(digest.table_version,
                  same_version ? std::max(digest.fleet_size, fleet_size_) : digest.fleet_size);
    NoteNews(outcome.changes, now);
    if (digest.wants_answer || IsBehind(digest)) {
      outcome.answer.push_back({digest.from, Compose(kShardsInNews, false)});
    }
    return outcome;
  }

  directory_changes OnIndex(const published_index& index, instant now) {
    directory_changes changes = directory_.MergeIndex(index);
    TakeFleetSize(index.version, index.fleet_size);
    NoteNews(changes, now);
    return changes;
  }

  directory_changes OnValue(const value_version& version, instant now) {
    directory_changes changes = directory_.Learn(version);
    NoteNews(changes, now);
    return changes;
  }

  void OnWakeUp(instant now) {
    asks_all_ = true;
    next_round_ = now;
  }

  std::vector<outgoing_digest> OnTick(instant now, random_source& random) {
    std::vector<outgoing_digest> digests;
    if (now < next_round_) {
      return digests;
    }
    const bool news = news_rounds_ > 0;
    const std::size_t fan_out = asks_all_ ? kWakeUpFanOut : (news ? kNewsFanOut : kQuietFanOut);
    const spread_digest digest = Compose(news ? kShardsInNews : kShardsWhenQuiet, asks_all_);
    for (const endpoint to : peers_.Choose(fan_out, random)) {
      digests.push_back({to, digest});
    }
    asks_all_ = asks_all_ && digests.empty();
    news_rounds_ = std::max(news_rounds_ - 1, 0);
    const duration period = news ? kNewsPeriod : kQuietPeriod;
    next_round_ = now + period / 2 +
                  duration(static_cast<std::int64_t>(
                      random.Below(static_cast<std::uint64_t>(period.count()))));
    return digests;
  }

  // The shards come first and newest first: the receiver relies on there being
  // no newer one that is left out. So where room ends, the list is cut.
  spread_digest Compose(std::size_t shards, bool wants_answer) {
    spread_digest digest{.from = options_.self,
                         .incarnation = options_.incarnation,
                         .table_version = directory_.table_version(),
                         .fleet_size = fleet_size_,
                         .versions = {},
                         .wants_answer = wants_answer};
    std::size_t room = kVersionBytes;
    const auto recent = directory_.recent_shards();
    for (const value_version& shard : recent.first(std::min(shards, recent.size()))) {
      if (SizeOf(shard) > room) {
        return digest;
      }
      room -= SizeOf(shard);
      digest.versions.push_back(shard);
    }
    AddLists(digest, room);
    return digest;
  }

  void FollowList(std::string_view name) { followed_lists_.emplace_back(name); }

  const options options_;
  gossip_peers peers_;
  version_directory directory_;
  std::uint32_t fleet_size_ = 1;
  std::uint64_t fleet_size_version_ = 0;
  instant next_round_;

 private:
  void TakeFleetSize(std::uint64_t table_version, std::uint32_t fleet_size) {
    if (fleet_size > 0 && table_version >= fleet_size_version_) {
      fleet_size_version_ = table_version;
      fleet_size_ = fleet_size;
    }
  }

  void NoteNews(const directory_changes& changes, instant now) {
    if (!changes.any()) {
      return;
    }
    if (news_rounds_ == 0) {
      next_round_ = std::min(next_round_, now);
    }
    news_rounds_ = kNewsRounds;
  }

  bool IsBehind(const spread_digest& digest) const {
    if (digest.table_version < directory_.table_version()) {
      return true;
    }
    return std::any_of(digest.versions.begin(), digest.versions.end(), [this](const auto& one) {
      const value_version* const known = directory_.Find(one.name);
      return known != nullptr && known->version > one.version;
    });
  }

  void AddLists(spread_digest& digest, std::size_t room) {
    const auto recent = directory_.recent_lists();
    for (const std::string& name : recent.first(std::min(kRecentListsTold, recent.size()))) {
      AddList(name, digest, room);
    }
    const std::size_t turns = std::min(kFollowedListsTold, followed_lists_.size());
    for (std::size_t turn = 0; turn < turns; ++turn) {
      next_list_ = (next_list_ + 1) % followed_lists_.size();
      AddList(followed_lists_[next_list_], digest, room);
    }
  }

  void AddList(const std::string& name, spread_digest& digest, std::size_t& room) const {
    const value_version* const known = directory_.Find(name);
    const bool told = std::any_of(digest.versions.begin(), digest.versions.end(),
                                  [&](const auto& one) { return one.name == name; });
    if (known != nullptr && !told && SizeOf(*known) <= room) {
      room -= SizeOf(*known);
      digest.versions.push_back(*known);
    }
  }

  std::vector<std::string> followed_lists_;
  std::size_t next_list_ = 0;
  int news_rounds_ = 0;
  bool asks_all_ = true;
};

table_spread::table_spread(options chosen, gossip_peers::options peers)
    : state_(std::make_unique<state>(chosen, std::move(peers))) {}

table_spread::~table_spread() = default;

void table_spread::FollowList(std::string_view name) { state_->FollowList(name); }

digest_outcome table_spread::OnDigest(const spread_digest& digest, instant now) {
  return state_->OnDigest(digest, now);
}

directory_changes table_spread::OnIndex(const published_index& index, instant now) {
  return state_->OnIndex(index, now);
}

directory_changes table_spread::OnValue(const value_version& version, instant now) {
  return state_->OnValue(version, now);
}

void table_spread::OnWakeUp(instant now) { state_->OnWakeUp(now); }

std::vector<outgoing_digest> table_spread::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

outgoing_digest table_spread::Probe(endpoint to) {
  return {to, state_->Compose(kShardsWhenQuiet, true)};
}

gossip_peers& table_spread::peers() { return state_->peers_; }

const gossip_peers& table_spread::peers() const { return state_->peers_; }

const version_directory& table_spread::directory() const { return state_->directory_; }

std::uint32_t table_spread::fleet_size() const { return state_->fleet_size_; }

instant table_spread::next_due() const { return state_->next_round_; }

}  // namespace cuminferry
