#include "cuminferry_policy/suspects/suspect_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminferry {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

// A clearance is announced for as long as crash events that it annuls may still be in transit.
constexpr duration kClearanceRetention = std::chrono::seconds(10);

// Returns how long a request is blocked after this many crashes. Each trial after a block may
// crash another backend server, so the block grows.
duration BlockDurationFor(std::size_t crashes) {
  switch (crashes) {
    case 0:
    case 1:
    case 2:
      return minutes(1);
    case 3:
      return minutes(10);
    case 4:
      return hours(1);
    default:
      return hours(24);
  }
}

}  // namespace

instant suspect_registry::record::last_crash() const {
  instant last{};
  for (const auto& [crash_id, crash] : crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

std::size_t suspect_registry::record::isolated_crashes() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(crashes, [](const auto& item) { return item.second.isolated; }));
}

bool suspect_registry::record::is_identified() const {
  return std::ranges::any_of(crashes, [](const auto& item) { return item.second.identified; });
}

std::optional<instant> suspect_registry::BlockedUntil(const record& suspect) {
  return suspect.is_identified()
             ? std::optional(suspect.last_crash() + BlockDurationFor(suspect.crashes.size()))
             : std::nullopt;
}

// A request is tried again after its block ends, so its crashes are stored for kSuspicionTime
// after that.
instant suspect_registry::ExpiryOf(const record& suspect) {
  if (suspect.crashes.empty()) {
    return suspect.cleared.value_or(instant{}) + kClearanceRetention;
  }
  return BlockedUntil(suspect).value_or(suspect.last_crash()) + kSuspicionTime;
}

// The checksum is an XOR, so that it does not depend on the order of events. Each crash is added
// once.
void suspect_registry::ToggleChecksum(const request_digest& digest, std::uint64_t crash_id) {
  checksum_ ^= DigestOf(digest.ToText()) + crash_id * 0x9E3779B97F4A7C15;
}

bool suspect_registry::Apply(const suspect_event& event, instant now) {
  const instant at = now - duration(std::max<std::int64_t>(0, event.age_micros));
  return event.event_kind == suspect_event::kind::kCleared ? ApplyClearance(event, at, now)
                                                           : ApplyCrash(event, at, now);
}

bool suspect_registry::ApplyCrash(const suspect_event& event, instant at, instant now) {
  if (!HasRoomFor(event)) {
    return false;
  }
  recent_crashes_.emplace(event.crash_id, at);
  const auto [found, is_first] = records_.try_emplace(event.digest);
  record& suspect = found->second;
  if (is_first) {
    suspect.route_hash = event.route_hash;
    ++route_hash_counts_[suspect.route_hash];
  }
  const bool annulled = suspect.cleared && at <= *suspect.cleared + kClearanceWindow;
  if (annulled || suspect.crashes.contains(event.crash_id)) {
    return false;
  }
  suspect.crashes.emplace(
      event.crash_id,
      crash_record{.at = at,
                   .isolated = event.event_kind != suspect_event::kind::kRanAtCrash,
                   .identified = event.event_kind == suspect_event::kind::kIdentified});
  ToggleChecksum(event.digest, event.crash_id);
  ++stored_events_;
  EvictSuspects(now);
  return true;
}

bool suspect_registry::HasRoomFor(const suspect_event& event) const {
  const bool is_known_crash = recent_crashes_.contains(event.crash_id);
  return stored_events_ < kMaxEvents && (is_known_crash || recent_crashes_.size() < kMaxEvents);
}

// Nodes propagate events that are new to them. A clearance appears slightly later at each node that
// receives it. Treated as new each time, it would circulate forever.
bool suspect_registry::ApplyClearance(const suspect_event& event, instant at, instant now) {
  const auto found = records_.find(event.digest);
  if (found == records_.end() || now - at >= kClearanceRetention) {
    return false;
  }
  record& suspect = found->second;
  const std::size_t annulled = std::erase_if(suspect.crashes, [&](const auto& item) {
    const bool is_annulled = item.second.at <= at + kClearanceWindow;
    if (is_annulled) {
      ToggleChecksum(event.digest, item.first);
    }
    return is_annulled;
  });
  stored_events_ -= annulled;
  const bool is_new = annulled > 0 || !suspect.cleared || at > *suspect.cleared + kClearanceWindow;
  if (is_new) {
    suspect.cleared = std::max(at, suspect.cleared.value_or(at));
  }
  return is_new;
}

suspect_registry::records::iterator suspect_registry::EraseRecord(records::iterator at) {
  for (const auto& [crash_id, crash] : at->second.crashes) {
    ToggleChecksum(at->first, crash_id);
  }
  stored_events_ -= at->second.crashes.size();
  const auto use_count = route_hash_counts_.find(at->second.route_hash);
  if (--use_count->second == 0) {
    route_hash_counts_.erase(use_count);
  }
  return records_.erase(at);
}

void suspect_registry::Expire(instant now) {
  std::erase_if(recent_crashes_,
                [now](const auto& item) { return now - item.second > kRecentCrashWindow; });
  for (auto at = records_.begin(); at != records_.end();) {
    at = now >= ExpiryOf(at->second) ? EraseRecord(at) : std::next(at);
  }
}

// Identified requests are retained up to kMaxBlocked. Of the other suspects, those with the
// oldest last crash are evicted first.
void suspect_registry::EvictSuspects(instant now) {
  if (records_.size() <= kMaxSuspects) {
    return;
  }
  Expire(now);
  const bool may_evict_blocked = CountBlocked(now) > kMaxBlocked;
  std::vector<std::pair<instant, records::iterator>> evictable;
  for (auto at = records_.begin(); at != records_.end(); ++at) {
    if (may_evict_blocked || !BlockedUntil(at->second)) {
      evictable.emplace_back(at->second.last_crash(), at);
    }
  }
  std::ranges::sort(evictable, {}, &std::pair<instant, records::iterator>::first);
  // Evicts an eighth at once, so that a flood does not cause an eviction with each event.
  evictable.resize(std::min(evictable.size(), kMaxSuspects / 8));
  for (const auto& [last_crash, at] : evictable) {
    EraseRecord(at);
  }
}

suspect_status suspect_registry::StatusOf(const request_digest& digest, instant now) const {
  const auto found = records_.find(digest);
  if (found == records_.end() || found->second.crashes.empty() || now >= ExpiryOf(found->second)) {
    return suspect_status::kNotSuspected;
  }
  const auto until = BlockedUntil(found->second);
  return until && now < *until ? suspect_status::kBlocked : suspect_status::kIsolated;
}

std::size_t suspect_registry::CrashCountOf(const request_digest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? 0 : found->second.crashes.size();
}

// Returns the fraction of the recent crashes at which the suspect ran. Crashes caused by another
// identified request are left out.
// @param judged_crash  the crash under examination, at which the suspect ran as well
double suspect_registry::FractionOfRecentCrashes(const record& suspect, std::uint64_t judged_crash,
                                                 instant now) const {
  const auto is_recent = [now](instant at) { return now - at <= kRecentCrashWindow; };
  std::set<std::uint64_t> explained;
  for (const auto& [digest, known] : records_) {
    if (&known != &suspect && known.is_identified()) {
      for (const auto& [crash_id, crash] : known.crashes) {
        explained.insert(crash_id);
      }
    }
  }
  std::size_t all_crashes = 1;
  for (const auto& [crash_id, at] : recent_crashes_) {
    const bool counts = suspect.crashes.contains(crash_id) || !explained.contains(crash_id);
    all_crashes += counts && crash_id != judged_crash && is_recent(at) ? 1 : 0;
  }
  std::size_t own_crashes = 1;
  for (const auto& [crash_id, crash] : suspect.crashes) {
    own_crashes += crash_id != judged_crash && is_recent(crash.at) ? 1 : 0;
  }
  return static_cast<double>(own_crashes) / static_cast<double>(all_crashes);
}

std::vector<suspect_event> suspect_registry::EventsOfCrash(std::uint64_t crash_id,
                                                           std::span<const running_request> running,
                                                           instant now) const {
  std::map<request_digest, running_request> lost_runs;
  for (const running_request& run : running) {
    if (lost_runs.contains(run.digest) || lost_runs.size() < kMaxRequestsPerCrash) {
      running_request& known = lost_runs.try_emplace(run.digest, run).first->second;
      known.isolated = known.isolated || run.isolated;
    }
  }
  const bool is_sole_suspect = CountSuspectsInCrash(crash_id, lost_runs, now) == 1;
  std::vector<suspect_event> events;
  for (const auto& [digest, run] : lost_runs) {
    suspect_event::kind event_kind = suspect_event::kind::kRanAtCrash;
    if (run.isolated) {
      event_kind = IsIdentified(run, crash_id, is_sole_suspect, now)
                       ? suspect_event::kind::kIdentified
                       : suspect_event::kind::kIsolatedAtCrash;
    }
    events.push_back({.event_kind = event_kind,
                      .digest = digest,
                      .route_hash = run.route_hash,
                      .crash_id = crash_id});
  }
  return events;
}

// Counts the requests of this crash that had run at another crash before. Requests of the same
// crash that were recorded by an earlier event count as well.
std::size_t suspect_registry::CountSuspectsInCrash(
    std::uint64_t crash_id, const std::map<request_digest, running_request>& lost_runs,
    instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [&](const auto& item) {
    const record& known = item.second;
    const bool was_running = lost_runs.contains(item.first) || known.crashes.contains(crash_id);
    const std::size_t other_crashes =
        known.crashes.size() - (known.crashes.contains(crash_id) ? 1 : 0);
    return was_running && other_crashes > 0 && now < ExpiryOf(known);
  }));
}

bool suspect_registry::IsIdentified(const running_request& run, std::uint64_t crash_id,
                                    bool is_sole_suspect, instant now) const {
  const auto found = records_.find(run.digest);
  if (found == records_.end()) {
    return false;
  }
  const record& known = found->second;
  const std::size_t other_crashes =
      known.crashes.size() - (known.crashes.contains(crash_id) ? 1 : 0);
  const double fraction = FractionOfRecentCrashes(known, crash_id, now);
  const bool meets_isolated_rule =
      known.isolated_crashes() + 1 >= kMinIsolatedCrashes && fraction >= kMinIsolatedFraction;
  return meets_isolated_rule ||
         (is_sole_suspect && other_crashes > 0 && fraction >= kMinSoleSuspectFraction);
}

std::vector<suspect_event> suspect_registry::AllEvents(instant now) const {
  std::vector<suspect_event> all;
  for (const auto& [digest, known] : records_) {
    if (now >= ExpiryOf(known)) {
      continue;
    }
    for (const auto& [crash_id, crash] : known.crashes) {
      const auto event_kind = crash.identified ? suspect_event::kind::kIdentified
                              : crash.isolated ? suspect_event::kind::kIsolatedAtCrash
                                               : suspect_event::kind::kRanAtCrash;
      all.push_back({.event_kind = event_kind,
                     .digest = digest,
                     .route_hash = known.route_hash,
                     .crash_id = crash_id,
                     .age_micros = (now - crash.at).count()});
    }
    if (known.cleared) {
      all.push_back({.event_kind = suspect_event::kind::kCleared,
                     .digest = digest,
                     .route_hash = known.route_hash,
                     .age_micros = (now - *known.cleared).count()});
    }
  }
  return all;
}

std::size_t suspect_registry::CountCrashedSince(instant since) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [since](const auto& item) {
    return !item.second.crashes.empty() && item.second.last_crash() >= since;
  }));
}

std::size_t suspect_registry::CountBlocked(instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [now](const auto& item) {
    const auto until = BlockedUntil(item.second);
    return until && now < *until;
  }));
}

}  // namespace cuminferry
