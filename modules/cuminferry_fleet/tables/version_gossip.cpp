#include "cuminferry_fleet/tables/version_gossip.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPushPeriod{100};
constexpr milliseconds kIdlePeriod{1'000};
constexpr int kPushRounds = 4;
constexpr std::size_t kPushFanOut = 3;
constexpr std::size_t kIdleFanOut = 1;
constexpr std::size_t kResumeFanOut = 3;

// Limits of a datagram's content. With names of thirty letters it stays below 1,400 bytes.
constexpr std::size_t kShardsPerPush = 10;
constexpr std::size_t kShardsWhenIdle = 4;
constexpr std::size_t kMaxRecentLists = 4;
constexpr std::size_t kMaxFollowedLists = 2;
constexpr std::size_t kMaxVersionBytes = 1'100;
constexpr std::size_t kFixedBytesPerVersion = 24;

std::size_t SizeOf(const value_version& version) {
  return version.name.size() + kFixedBytesPerVersion;
}

}  // namespace

class version_gossip::state {
 public:
  state(options chosen, gossip_peers::options peers) : options_(chosen), peers_(std::move(peers)) {}

  digest_outcome OnDigest(const gossip_digest& digest, instant now) {
    peers_.OnReceived(digest.from);
    digest_outcome outcome;
    outcome.changes = directory_.MergeDigest(digest.table_version, digest.versions);
    // Two sizes with the same table version can't be ordered in time. The larger one is
    // used, as nodes then read less often.
    const bool same_version = digest.table_version == fleet_size_version_;
    UpdateFleetSize(digest.table_version,
                    same_version ? std::max(digest.fleet_size, fleet_size_) : digest.fleet_size);
    StartPush(outcome.changes, now);
    if (digest.wants_answer || IsBehind(digest)) {
      outcome.answer.push_back({digest.from, Compose(kShardsPerPush, false)});
    }
    return outcome;
  }

  directory_changes OnIndex(const published_index& index, instant now) {
    directory_changes changes = directory_.MergeIndex(index);
    UpdateFleetSize(index.version, index.fleet_size);
    StartPush(changes, now);
    return changes;
  }

  directory_changes OnValue(const value_version& version, instant now) {
    directory_changes changes = directory_.MergeVersion(version);
    StartPush(changes, now);
    return changes;
  }

  void OnProcessResumed(instant now) {
    wants_answers_ = true;
    next_round_ = now;
  }

  std::vector<outgoing_digest> OnTick(instant now, random_source& random) {
    std::vector<outgoing_digest> digests;
    if (now < next_round_) {
      return digests;
    }
    const bool pushing = push_rounds_left_ > 0;
    const std::size_t fan_out =
        wants_answers_ ? kResumeFanOut : (pushing ? kPushFanOut : kIdleFanOut);
    const gossip_digest digest =
        Compose(pushing ? kShardsPerPush : kShardsWhenIdle, wants_answers_);
    for (const endpoint to : peers_.Choose(fan_out, random)) {
      digests.push_back({to, digest});
    }
    wants_answers_ = wants_answers_ && digests.empty();
    push_rounds_left_ = std::max(push_rounds_left_ - 1, 0);
    const duration period = pushing ? kPushPeriod : kIdlePeriod;
    next_round_ = now + period / 2 +
                  duration(static_cast<std::int64_t>(
                      random.Below(static_cast<std::uint64_t>(period.count()))));
    return digests;
  }

  // The shards come first, newest first. The receiver relies on this: no shard that is left
  // out may be newer than one in the digest. The list is therefore cut at its end.
  gossip_digest Compose(std::size_t shards, bool wants_answer) {
    gossip_digest digest{.from = options_.self,
                         .incarnation = options_.incarnation,
                         .table_version = directory_.table_version(),
                         .fleet_size = fleet_size_,
                         .versions = {},
                         .wants_answer = wants_answer};
    std::size_t remaining_bytes = kMaxVersionBytes;
    const auto recent = directory_.recent_shards();
    for (const value_version& shard : recent.first(std::min(shards, recent.size()))) {
      if (SizeOf(shard) > remaining_bytes) {
        return digest;
      }
      remaining_bytes -= SizeOf(shard);
      digest.versions.push_back(shard);
    }
    AddLists(digest, remaining_bytes);
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
  void UpdateFleetSize(std::uint64_t table_version, std::uint32_t fleet_size) {
    if (fleet_size > 0 && table_version >= fleet_size_version_) {
      fleet_size_version_ = table_version;
      fleet_size_ = fleet_size;
    }
  }

  void StartPush(const directory_changes& changes, instant now) {
    if (!changes.any()) {
      return;
    }
    if (push_rounds_left_ == 0) {
      next_round_ = std::min(next_round_, now);
    }
    push_rounds_left_ = kPushRounds;
  }

  bool IsBehind(const gossip_digest& digest) const {
    if (digest.table_version < directory_.table_version()) {
      return true;
    }
    return std::any_of(digest.versions.begin(), digest.versions.end(), [this](const auto& one) {
      const value_version* const known = directory_.Find(one.name);
      return known != nullptr && known->version > one.version;
    });
  }

  void AddLists(gossip_digest& digest, std::size_t remaining_bytes) {
    const auto recent = directory_.recent_lists();
    for (const std::string& name : recent.first(std::min(kMaxRecentLists, recent.size()))) {
      AddList(name, digest, remaining_bytes);
    }
    const std::size_t turns = std::min(kMaxFollowedLists, followed_lists_.size());
    for (std::size_t turn = 0; turn < turns; ++turn) {
      next_list_ = (next_list_ + 1) % followed_lists_.size();
      AddList(followed_lists_[next_list_], digest, remaining_bytes);
    }
  }

  void AddList(const std::string& name, gossip_digest& digest, std::size_t& remaining_bytes) const {
    const value_version* const known = directory_.Find(name);
    const bool already_included = std::any_of(digest.versions.begin(), digest.versions.end(),
                                              [&](const auto& one) { return one.name == name; });
    if (known != nullptr && !already_included && SizeOf(*known) <= remaining_bytes) {
      remaining_bytes -= SizeOf(*known);
      digest.versions.push_back(*known);
    }
  }

  std::vector<std::string> followed_lists_;
  std::size_t next_list_ = 0;
  int push_rounds_left_ = 0;
  bool wants_answers_ = true;
};

version_gossip::version_gossip(options chosen, gossip_peers::options peers)
    : state_(std::make_unique<state>(chosen, std::move(peers))) {}

version_gossip::~version_gossip() = default;

void version_gossip::FollowList(std::string_view name) { state_->FollowList(name); }

digest_outcome version_gossip::OnDigest(const gossip_digest& digest, instant now) {
  return state_->OnDigest(digest, now);
}

directory_changes version_gossip::OnIndex(const published_index& index, instant now) {
  return state_->OnIndex(index, now);
}

directory_changes version_gossip::OnValue(const value_version& version, instant now) {
  return state_->OnValue(version, now);
}

void version_gossip::OnProcessResumed(instant now) { state_->OnProcessResumed(now); }

std::vector<outgoing_digest> version_gossip::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

outgoing_digest version_gossip::Probe(endpoint to) {
  return {to, state_->Compose(kShardsWhenIdle, true)};
}

gossip_peers& version_gossip::peers() { return state_->peers_; }

const gossip_peers& version_gossip::peers() const { return state_->peers_; }

const version_directory& version_gossip::directory() const { return state_->directory_; }

std::uint32_t version_gossip::fleet_size() const { return state_->fleet_size_; }

instant version_gossip::next_due() const { return state_->next_round_; }

}  // namespace cuminferry
