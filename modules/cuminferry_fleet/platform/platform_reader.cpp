#include "cuminferry_fleet/platform/platform_reader.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "cuminferry_fleet/tables/value_version.h"

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

constexpr double kMicrosPerSecond = 1e6;
// Spreads the first reads of nodes that start together, such as those of one failure domain.
// The platform would refuse reads beyond its rate, and the nodes would repeat them.
constexpr milliseconds kStartSpread{1'200};
constexpr milliseconds kMinPeriod{200};
constexpr milliseconds kFirstBackOff{250};
constexpr milliseconds kMinBackOffLimit{1'000};
constexpr milliseconds kMaxBackOffLimit{30'000};
constexpr std::size_t kMaxWanted = 1024;

duration Seconds(double seconds) {
  return duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

duration Scaled(duration length, double factor) {
  return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

// Returns a random duration between 0.5 and 1.5 times the given one.
duration Jittered(duration mean, random_source& random) {
  return Scaled(mean, 0.5 + random.Fraction());
}

// A periodic read. Its due time is computed from the current period: an earlier period, from
// a larger assumed fleet or from before this node was isolated, may be minutes long, and
// an isolated node would use an old table for that time.
struct regular_read {
  std::optional<instant> last;
  double factor = 1.0;

  // Randomizes the wait. Otherwise nodes that start together, for example after a power
  // failure, would always read at the same moment. The first wait is drawn from the whole
  // period: with a minimum of half a period, none of these nodes would read for minutes.
  void Restart(instant now, random_source& random) {
    factor = last.has_value() ? 0.5 + random.Fraction() : random.Fraction();
    last = now;
  }

  instant Due(duration period) const {
    return last.has_value() ? *last + Scaled(period, factor) : instant::min();
  }
};

}  // namespace

class platform_reader::state {
 public:
  state(options chosen, instant now, random_source& random)
      : options_(std::move(chosen)), tokens_(options_.content_burst), refilled_at_(now) {
    not_before_ = now + Scaled(kStartSpread, random.Fraction());
    own_list_.Restart(now, random);
    other_list_.Restart(now, random);
  }

  void Want(std::string_view name) {
    const bool known = std::find(wanted_.begin(), wanted_.end(), name) != wanted_.end();
    if (!known && wanted_.size() < kMaxWanted) {
      wanted_.emplace_back(name);
    }
  }

  void OnProcessResumed(instant now, random_source& random) {
    index_.last.reset();
    not_before_ = now + Scaled(kStartSpread, random.Fraction());
    under_way_.reset();
  }

  std::optional<std::string> OnTick(instant now, random_source& random) {
    Refill(now);
    if (under_way_.has_value() || now < not_before_) {
      return std::nullopt;
    }
    under_way_ = Next(now, random);
    if (under_way_.has_value()) {
      ++reads_;
    }
    return under_way_;
  }

  std::optional<std::string> NextWatch(instant now) {
    if (!watching_ || watch_under_way_ || failures_ > 0 || now < not_before_) {
      return std::nullopt;
    }
    watch_under_way_ = true;
    ++reads_;
    return options_.own_list;
  }

  void OnWatched(read_outcome outcome, instant now, random_source& random) {
    watch_under_way_ = false;
    if (outcome == read_outcome::kRefused || outcome == read_outcome::kUnreachable) {
      RecordFailure(now, random);
    }
  }

  void OnRead(read_outcome outcome, instant now, random_source& random) {
    under_way_.reset();
    reachable_ = outcome != read_outcome::kUnreachable;
    if (outcome == read_outcome::kValue || outcome == read_outcome::kNoSuchKey) {
      failures_ = 0;
      return;
    }
    RecordFailure(now, random);
  }

  instant next_due() const {
    if (under_way_.has_value()) {
      return instant::max();
    }
    instant due = std::min({index_.Due(IndexPeriod()), own_list_.Due(OwnListPeriod()),
                            other_list_.Due(OtherListPeriod())});
    if (!wanted_.empty()) {
      due = tokens_ >= 1.0 ? not_before_ : std::min(due, refilled_at_ + ContentPeriod());
    }
    return std::max(due, not_before_);
  }

  const options options_;
  // Assumed until the index is known. With too low a value, the nodes of a starting fleet
  // would exceed the read rate of the platform.
  std::uint32_t fleet_size_ = 64;
  bool isolated_ = false;
  bool watching_ = false;
  bool reachable_ = true;
  std::uint64_t reads_ = 0;
  std::uint64_t failed_reads_ = 0;
  std::deque<std::string> wanted_;
  std::vector<std::string> lists_;
  regular_read index_;

 private:
  duration Period(double reads_per_second) const {
    const double factor = isolated_ ? options_.isolated_factor : 1.0;
    return std::max<duration>(Seconds(fleet_size_ / (reads_per_second * factor)), kMinPeriod);
  }

  duration IndexPeriod() const { return Period(options_.index_reads_per_second); }
  duration OwnListPeriod() const { return Period(options_.list_reads_per_second); }
  duration OtherListPeriod() const { return Period(options_.other_list_reads_per_second); }

  duration ContentPeriod() const {
    return Seconds(fleet_size_ / options_.content_reads_per_second);
  }

  // The maximum grows with the fleet, as the platform bears the sum over all nodes.
  duration BackOff() const {
    const duration longest = std::clamp<duration>(Period(options_.index_reads_per_second),
                                                  kMinBackOffLimit, kMaxBackOffLimit);
    const int doublings = std::min(failures_ - 1, 10);
    return std::min<duration>(kFirstBackOff * (1 << doublings), longest);
  }

  void RecordFailure(instant now, random_source& random) {
    ++failures_;
    ++failed_reads_;
    // Queued reads keep waiting, and the next read is the index: one read then shows that
    // the platform answers again and which versions changed in the meantime.
    not_before_ = now + Jittered(BackOff(), random);
    index_.last.reset();
  }

  void Refill(instant now) {
    const double passed = static_cast<double>((now - refilled_at_).count()) / kMicrosPerSecond;
    const double gained = passed * options_.content_reads_per_second / fleet_size_;
    tokens_ = std::min(tokens_ + gained, options_.content_burst);
    refilled_at_ = now;
  }

  std::optional<std::string> Next(instant now, random_source& random) {
    if (now >= index_.Due(IndexPeriod())) {
      index_.Restart(now, random);
      return kIndexName;
    }
    if (failures_ > 0) {
      return std::nullopt;
    }
    if (!wanted_.empty() && tokens_ >= 1.0) {
      tokens_ -= 1.0;
      std::string name = std::move(wanted_.front());
      wanted_.pop_front();
      return name;
    }
    return NextList(now, random);
  }

  std::optional<std::string> NextList(instant now, random_source& random) {
    if (now >= own_list_.Due(OwnListPeriod())) {
      own_list_.Restart(now, random);
      return options_.own_list;
    }
    if (now >= other_list_.Due(OtherListPeriod())) {
      other_list_.Restart(now, random);
      if (!lists_.empty()) {
        next_list_ = (next_list_ + 1) % lists_.size();
        return lists_[next_list_];
      }
    }
    return std::nullopt;
  }

  regular_read own_list_;
  regular_read other_list_;
  instant not_before_ = instant::min();
  std::optional<std::string> under_way_;
  bool watch_under_way_ = false;
  int failures_ = 0;
  double tokens_;
  instant refilled_at_;
  std::size_t next_list_ = 0;
};

platform_reader::platform_reader(options chosen, instant now, random_source& random)
    : state_(std::make_unique<state>(std::move(chosen), now, random)) {}

platform_reader::~platform_reader() = default;

void platform_reader::SetFleetSize(std::uint32_t nodes) {
  state_->fleet_size_ = std::max<std::uint32_t>(nodes, 1);
}

void platform_reader::SetIsolated(bool isolated) { state_->isolated_ = isolated; }

void platform_reader::Follow(std::string_view list) {
  if (list != state_->options_.own_list &&
      std::find(state_->lists_.begin(), state_->lists_.end(), list) == state_->lists_.end()) {
    state_->lists_.emplace_back(list);
  }
}

void platform_reader::SetWatching(bool watching) { state_->watching_ = watching; }

std::optional<std::string> platform_reader::NextWatch(instant now) {
  return state_->NextWatch(now);
}

void platform_reader::OnWatched(read_outcome outcome, instant now, random_source& random) {
  state_->OnWatched(outcome, now, random);
}

void platform_reader::OnIndexFromPeer(instant now, random_source& random) {
  const bool none_read_yet = state_->reads_ == 0 && !state_->index_.last.has_value();
  if (none_read_yet) {
    state_->index_.Restart(now, random);
  }
}

void platform_reader::Want(std::string_view name) { state_->Want(name); }

void platform_reader::Unwant(std::string_view name) { std::erase(state_->wanted_, name); }

void platform_reader::OnProcessResumed(instant now, random_source& random) {
  state_->OnProcessResumed(now, random);
}

std::optional<std::string> platform_reader::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

void platform_reader::OnRead(read_outcome outcome, instant now, random_source& random) {
  state_->OnRead(outcome, now, random);
}

bool platform_reader::reachable() const { return state_->reachable_; }

std::uint64_t platform_reader::reads() const { return state_->reads_; }

std::uint64_t platform_reader::failed_reads() const { return state_->failed_reads_; }

instant platform_reader::next_due() const { return state_->next_due(); }

}  // namespace cuminferry
