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
constexpr milliseconds kStartSpread{200};
constexpr milliseconds kShortestPeriod{200};
constexpr milliseconds kFirstBackOff{250};
constexpr milliseconds kShortestLongestBackOff{1'000};
constexpr milliseconds kLongestBackOff{30'000};
constexpr std::size_t kWantedBound = 1024;

duration Seconds(double seconds) {
  return duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

// Between half and one and a half times as long. Nodes that began at one moment,
// after a power cut say, would otherwise read at one moment for ever.
duration Jittered(duration about, random_source& random) {
  return duration(
      static_cast<std::int64_t>(static_cast<double>(about.count()) * (0.5 + random.Fraction())));
}

}  // namespace

class platform_reader::state {
 public:
  state(options chosen, instant now, random_source& random)
      : options_(std::move(chosen)), tokens_(options_.content_burst), refilled_at_(now) {
    index_due_ = now + Jittered(kStartSpread / 2, random);
    own_list_due_ = index_due_ + Jittered(kStartSpread, random);
    other_list_due_ = own_list_due_ + Jittered(kStartSpread, random);
  }

  void Want(std::string_view name) {
    const bool known = std::find(wanted_.begin(), wanted_.end(), name) != wanted_.end();
    if (!known && wanted_.size() < kWantedBound) {
      wanted_.emplace_back(name);
    }
  }

  void OnWakeUp(instant now, random_source& random) {
    index_due_ = std::min(index_due_, now + Jittered(kStartSpread / 2, random));
    not_before_ = std::min(not_before_, index_due_);
    under_way_.reset();
  }

  std::optional<std::string> OnTick(instant now, random_source& random) {
    Refill(now);
    PullIn(now);
    if (under_way_.has_value() || now < not_before_) {
      return std::nullopt;
    }
    under_way_ = Next(now, random);
    if (under_way_.has_value()) {
      ++reads_;
    }
    return under_way_;
  }

  void OnRead(read_end end, instant now, random_source& random) {
    under_way_.reset();
    reachable_ = end != read_end::kUnreachable;
    if (end == read_end::kValue || end == read_end::kNoSuchKey) {
      failures_ = 0;
      return;
    }
    ++failures_;
    ++failed_reads_;
    // Whatever was wanted goes on waiting; the index is what tells first that the
    // platform is back, and costs one read whatever was missed meanwhile.
    not_before_ = now + Jittered(BackOff(), random);
    index_due_ = std::min(index_due_, not_before_);
  }

  instant next_due() const {
    if (under_way_.has_value()) {
      return instant::max();
    }
    instant due = std::min({index_due_, own_list_due_, other_list_due_});
    if (!wanted_.empty()) {
      due = tokens_ >= 1.0 ? not_before_ : std::min(due, refilled_at_ + ContentPeriod());
    }
    return std::max(due, not_before_);
  }

  const options options_;
  std::uint32_t fleet_size_ = 1;
  bool isolated_ = false;
  bool reachable_ = true;
  std::uint64_t reads_ = 0;
  std::uint64_t failed_reads_ = 0;
  std::deque<std::string> wanted_;
  std::vector<std::string> lists_;

 private:
  duration Period(double reads_per_second) const {
    const double factor = isolated_ ? options_.isolated_factor : 1.0;
    return std::max<duration>(Seconds(fleet_size_ / (reads_per_second * factor)), kShortestPeriod);
  }

  duration ContentPeriod() const {
    return Seconds(fleet_size_ / options_.content_reads_per_second);
  }

  // A small fleet may ask more often; it is the sum over the fleet that counts.
  duration BackOff() const {
    const duration longest = std::clamp<duration>(Period(options_.index_reads_per_second),
                                                  kShortestLongestBackOff, kLongestBackOff);
    const int doublings = std::min(failures_ - 1, 10);
    return std::min<duration>(kFirstBackOff * (1 << doublings), longest);
  }

  void Refill(instant now) {
    const double passed = static_cast<double>((now - refilled_at_).count()) / kMicrosPerSecond;
    const double gained = passed * options_.content_reads_per_second / fleet_size_;
    tokens_ = std::min(tokens_ + gained, options_.content_burst);
    refilled_at_ = now;
  }

  // A due time set while the fleet was larger, or while peers were heard of, may be
  // minutes away; a node that is alone now would serve an old table until then.
  void PullIn(instant now) {
    index_due_ = std::min(index_due_, now + Period(options_.index_reads_per_second) * 3 / 2);
    own_list_due_ = std::min(own_list_due_, now + Period(options_.list_reads_per_second) * 3 / 2);
  }

  std::optional<std::string> Next(instant now, random_source& random) {
    if (now >= index_due_) {
      index_due_ = now + Jittered(Period(options_.index_reads_per_second), random);
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
    if (now >= own_list_due_) {
      own_list_due_ = now + Jittered(Period(options_.list_reads_per_second), random);
      return options_.own_list;
    }
    if (now >= other_list_due_) {
      other_list_due_ = now + Jittered(Period(options_.other_list_reads_per_second), random);
      if (!lists_.empty()) {
        next_list_ = (next_list_ + 1) % lists_.size();
        return lists_[next_list_];
      }
    }
    return std::nullopt;
  }

  instant index_due_;
  instant own_list_due_;
  instant other_list_due_;
  instant not_before_ = instant::min();
  std::optional<std::string> under_way_;
  int failures_ = 0;
  double tokens_;
  instant refilled_at_;
  std::size_t next_list_ = 0;
};

platform_reader::platform_reader(options chosen, instant now, random_source& random)
    : state_(std::make_unique<state>(std::move(chosen), now, random)) {}

platform_reader::~platform_reader() = default;

void platform_reader::UseFleetSize(std::uint32_t nodes) {
  state_->fleet_size_ = std::max<std::uint32_t>(nodes, 1);
}

void platform_reader::UseIsolated(bool isolated) { state_->isolated_ = isolated; }

void platform_reader::Follow(std::string_view list) {
  if (list != state_->options_.own_list &&
      std::find(state_->lists_.begin(), state_->lists_.end(), list) == state_->lists_.end()) {
    state_->lists_.emplace_back(list);
  }
}

void platform_reader::Want(std::string_view name) { state_->Want(name); }

void platform_reader::Unwant(std::string_view name) { std::erase(state_->wanted_, name); }

void platform_reader::OnWakeUp(instant now, random_source& random) {
  state_->OnWakeUp(now, random);
}

std::optional<std::string> platform_reader::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

void platform_reader::OnRead(read_end end, instant now, random_source& random) {
  state_->OnRead(end, now, random);
}

bool platform_reader::reachable() const { return state_->reachable_; }

std::uint64_t platform_reader::reads() const { return state_->reads_; }

std::uint64_t platform_reader::failed_reads() const { return state_->failed_reads_; }

instant platform_reader::next_due() const { return state_->next_due(); }

}  // namespace cuminferry
