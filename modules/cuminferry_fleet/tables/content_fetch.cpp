#include "cuminferry_fleet/tables/content_fetch.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

// Peers hold a request until they have the value themselves; this is how long
// the next source waits for that.
constexpr milliseconds kPeerWait{400};
constexpr milliseconds kPlatformWait{3000};
constexpr milliseconds kFirstPause{500};
constexpr milliseconds kLongestPause{30'000};

struct wanted_value {
  std::uint64_t version = 0;
  std::vector<content_source> sources;
  std::size_t next_source = 0;
  instant due;
  duration pause = kFirstPause;
};

}  // namespace

class content_fetch::state {
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

  void OnNothing(std::string_view name, const content_source& source, instant now) {
    const auto found = wanted_.find(name);
    if (found != wanted_.end()) {
      GoOn(found->second, source, now);
    }
  }

  void OnSourceGone(const content_source& source, instant now) {
    for (auto& [name, wanted] : wanted_) {
      GoOn(wanted, source, now);
    }
  }

  std::vector<fetch_attempt> OnTick(instant now, random_source& random) {
    std::vector<fetch_attempt> attempts;
    for (auto& [name, wanted] : wanted_) {
      if (wanted.due > now) {
        continue;
      }
      if (wanted.next_source == wanted.sources.size()) {
        BeginAgain(wanted, now, random);
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
  static void GoOn(wanted_value& wanted, const content_source& source, instant now) {
    if (wanted.next_source > 0 && wanted.sources[wanted.next_source - 1] == source) {
      wanted.due = std::min(wanted.due, now);
    }
  }

  // Without growing pauses a fleet that lacks one value, because the platform is
  // down, would ask all its peers for ever at full speed.
  static void BeginAgain(wanted_value& wanted, instant now, random_source& random) {
    wanted.next_source = 0;
    wanted.due = now + duration(static_cast<std::int64_t>(
                           static_cast<double>(wanted.pause.count()) * (0.5 + random.Fraction())));
    wanted.pause = std::min<duration>(wanted.pause * 2, kLongestPause);
  }
};

content_fetch::content_fetch() : state_(std::make_unique<state>()) {}

content_fetch::~content_fetch() = default;

void content_fetch::Want(std::string_view name, std::uint64_t version,
                         std::vector<content_source> sources, instant not_before) {
  state_->Want(name, version, std::move(sources), not_before);
}

void content_fetch::Done(std::string_view name) {
  const auto found = state_->wanted_.find(name);
  if (found != state_->wanted_.end()) {
    state_->wanted_.erase(found);
  }
}

void content_fetch::OnNothing(std::string_view name, const content_source& source, instant now) {
  state_->OnNothing(name, source, now);
}

void content_fetch::OnSourceGone(const content_source& source, instant now) {
  state_->OnSourceGone(source, now);
}

void content_fetch::OnSourceBack(instant now) {
  for (auto& [name, wanted] : state_->wanted_) {
    wanted.next_source = 0;
    wanted.pause = kFirstPause;
    wanted.due = std::min(wanted.due, now);
  }
}

std::vector<fetch_attempt> content_fetch::OnTick(instant now, random_source& random) {
  return state_->OnTick(now, random);
}

bool content_fetch::Wants(std::string_view name) const { return state_->wanted_.contains(name); }

std::size_t content_fetch::wanted() const { return state_->wanted_.size(); }

instant content_fetch::next_due() const {
  instant due = instant::max();
  for (const auto& [name, wanted] : state_->wanted_) {
    due = std::min(due, wanted.due);
  }
  return due;
}

}  // namespace cuminferry
