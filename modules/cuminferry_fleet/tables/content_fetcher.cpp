#include "cuminferry_fleet/tables/content_fetcher.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

// A peer delays its reply until it has the value itself. After this time the next source is
// queried.
constexpr milliseconds kPeerWait{400};
constexpr milliseconds kPlatformWait{5000};
constexpr milliseconds kFirstPause{500};
constexpr milliseconds kMaxPause{30'000};

struct wanted_value {
  std::uint64_t version = 0;
  std::vector<content_source> sources;
  std::size_t next_source = 0;
  instant due;
  duration pause = kFirstPause;
};

}  // namespace

class content_fetcher::state {
 public:
  void Want(std::string_view name, std::uint64_t version, std::vector<content_source> sources,
            instant not_before) {
    wanted_value& wanted = wanted_[std::string(name)];
    if (wanted.version >= version && !wanted.sources.empty()) {
      return;
    }
    wanted = {.version = version, .sources = std::move(sources), .due = not_before};
    if (wanted.sources.empty()) {
      wanted.sources.emplace_back();
    }
  }

  void OnNoNewerValue(std::string_view name, const content_source& source, instant now) {
    const auto found = wanted_.find(name);
    if (found != wanted_.end()) {
      SkipSource(found->second, source, now);
    }
  }

  void OnSourceUnreachable(const content_source& source, instant now) {
    for (auto& [name, wanted] : wanted_) {
      SkipSource(wanted, source, now);
    }
  }

  std::vector<fetch_attempt> OnTick(instant now, random_source& random) {
    std::vector<fetch_attempt> attempts;
    for (auto& [name, wanted] : wanted_) {
      if (wanted.due > now) {
        continue;
      }
      if (wanted.next_source == wanted.sources.size()) {
        RestartFetch(wanted, now, random);
        continue;
      }
      const content_source& source = wanted.sources[wanted.next_source++];
      wanted.due = now + (source.has_value() ? kPeerWait : kPlatformWait);
      attempts.push_back({name, source});
    }
    return attempts;
  }

  std::map<std::string, wanted_value, std::less<>> wanted_;

 private:
  static void SkipSource(wanted_value& wanted, const content_source& source, instant now) {
    if (wanted.next_source > 0 && wanted.sources[wanted.next_source - 1] == source) {
      wanted.due = std::min(wanted.due, now);
    }
  }

  // The pause grows with each round. Otherwise, when the platform is down and a value is
  // missing in the whole fleet, every node would query all its peers at full rate.
  static void RestartFetch(wanted_value& wanted, instant now, random_source& random) {
    wanted.next_source = 0;
    wanted.due = now + duration(static_cast<std::int64_t>(
                           static_cast<double>(wanted.pause.count()) * (0.5 + random.Fraction())));
    wanted.pause = std::min<duration>(wanted.pause * 2, kMaxPause);
  }
};

content_fetcher::content_fetcher() : state_(std::make_unique<state>()) {}

content_fetcher::~content_fetcher() = default;

void content_fetcher::Want(std::string_view name, std::uint64_t version,
                           std::vector<content_source> sources, instant not_before) {
  state_->Want(name, version, std::move(sources), not_before);
}

void content_fetcher::Done(std::string_view name) {
  const auto found = state_->wanted_.find(name);
  if (found != state_->wanted_.end()) {
    state_->wanted_.erase(found);
  }
}

void content_fetcher::OnNoNewerValue(std::string_view name, const content_source& source,
                                     instant now) {
  state_->OnNoNewerValue(name, source, now);
}

void content_fetcher::OnSourceUnreachable(const content_source& source, instant now) {
  state_->OnSourceUnreachable(source, now);
}

void content_fetcher::OnSourceRecovered(instant now) {
  for (auto& [name, wanted] : state_->wanted_) {
    wanted.next_source = 0;
    wanted.pause = kFirstPause;
    wanted.due = std::min(wanted.due, now);
  }
}

std::vector<fetch_attempt> content_fetcher::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

bool content_fetcher::Wants(std::string_view name) const { return state_->wanted_.contains(name); }

std::size_t content_fetcher::wanted() const { return state_->wanted_.size(); }

instant content_fetcher::next_due() const {
  instant due = instant::max();
  for (const auto& [name, wanted] : state_->wanted_) {
    due = std::min(due, wanted.due);
  }
  return due;
}

}  // namespace cuminferry
