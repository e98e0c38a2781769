#include "cuminferry_policy/suspects/suspect_book.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminferry {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

// A clearing is told for as long as ends that it annuls may still be on their way.
constexpr duration kClearingKept = std::chrono::seconds(10);

// How long a request is blocked after so many ends. Each trial may cost a backend server again.
duration BlockTime(std::size_t ends) {
  switch (ends) {
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

instant suspect_book::record::last_end() const {
  instant last{};
  for (const auto& [number, end] : ends) {
    last = std::max(last, end.at);
  }
  return last;
}

std::size_t suspect_book::record::ends_apart() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(ends, [](const auto& item) { return item.second.apart; }));
}

bool suspect_book::record::is_found_out() const {
  return std::ranges::any_of(ends, [](const auto& item) { return item.second.found_out; });
}

std::optional<instant> suspect_book::BlockedUntil(const record& of) {
  return of.is_found_out() ? std::optional(of.last_end() + BlockTime(of.ends.size()))
                           : std::nullopt;
}

// A trial follows a block: what led to it is remembered for that long besides.
instant suspect_book::ForgottenAt(const record& of) {
  if (of.ends.empty()) {
    return of.cleared.value_or(instant{}) + kClearingKept;
  }
  return BlockedUntil(of).value_or(of.last_end()) + kSuspicionTime;
}

// The order of events plays no part: each counts once.
void suspect_book::Toggle(const request_digest& digest, std::uint64_t number) {
  checksum_ ^= DigestOf(digest.ToText()) + number * 0x9E3779B97F4A7C15;
}

bool suspect_book::Apply(const suspect_event& event, instant now) {
  const instant at = now - duration(std::max<std::int64_t>(0, event.age_micros));
  return event.what == suspect_event::kind::kCleared ? ApplyClearing(event, at, now)
                                                     : ApplyEnd(event, at, now);
}

bool suspect_book::ApplyEnd(const suspect_event& event, instant at, instant now) {
  latest_ends_.emplace(event.end, at);
  const auto [found, is_first] = records_.try_emplace(event.digest);
  record& of = found->second;
  if (is_first) {
    of.place = event.place;
    ++places_[of.place];
  }
  const bool annulled = of.cleared && at <= *of.cleared + kClearTime;
  if (annulled || of.ends.contains(event.end)) {
    return false;
  }
  of.ends.emplace(event.end, ended{.at = at,
                                   .apart = event.what != suspect_event::kind::kEnded,
                                   .found_out = event.what == suspect_event::kind::kFoundOut});
  Toggle(event.digest, event.end);
  MakeRoom(now);
  return true;
}

// Nodes tell on what is new to them. A clearing seems a little later at each node that it
// comes to: taken for a new one there, it would go round for ever.
bool suspect_book::ApplyClearing(const suspect_event& event, instant at, instant now) {
  const auto found = records_.find(event.digest);
  if (found == records_.end() || now - at >= kClearingKept) {
    return false;
  }
  record& of = found->second;
  const std::size_t annulled = std::erase_if(of.ends, [&](const auto& item) {
    const bool is_annulled = item.second.at <= at + kClearTime;
    if (is_annulled) {
      Toggle(event.digest, item.first);
    }
    return is_annulled;
  });
  const bool is_news = annulled > 0 || !of.cleared || at > *of.cleared + kClearTime;
  if (is_news) {
    of.cleared = std::max(at, of.cleared.value_or(at));
  }
  return is_news;
}

suspect_book::records::iterator suspect_book::Forget(records::iterator at) {
  for (const auto& [number, end] : at->second.ends) {
    Toggle(at->first, number);
  }
  const auto place = places_.find(at->second.place);
  if (--place->second == 0) {
    places_.erase(place);
  }
  return records_.erase(at);
}

void suspect_book::Expire(instant now) {
  std::erase_if(latest_ends_, [now](const auto& item) { return now - item.second > kRecentEnds; });
  for (auto at = records_.begin(); at != records_.end();) {
    at = now >= ForgottenAt(at->second) ? Forget(at) : std::next(at);
  }
}

// Whoever is found out stays, up to a bound; of the others those whose last end is longest ago
// give way.
void suspect_book::MakeRoom(instant now) {
  if (records_.size() <= kMostSuspects) {
    return;
  }
  Expire(now);
  const bool many_blocked = CountBlocked(now) > kMostBlocked;
  std::vector<std::pair<instant, records::iterator>> may_go;
  for (auto at = records_.begin(); at != records_.end(); ++at) {
    if (many_blocked || !BlockedUntil(at->second)) {
      may_go.emplace_back(at->second.last_end(), at);
    }
  }
  std::ranges::sort(may_go, {}, &std::pair<instant, records::iterator>::first);
  // Some more than needed, so that a flood does not come here with each event.
  may_go.resize(std::min(may_go.size(), kMostSuspects / 8));
  for (const auto& [last_end, at] : may_go) {
    Forget(at);
  }
}

suspect_standing suspect_book::StandingOf(const request_digest& digest, instant now) const {
  const auto found = records_.find(digest);
  if (found == records_.end() || found->second.ends.empty() || now >= ForgottenAt(found->second)) {
    return suspect_standing::kFree;
  }
  const auto until = BlockedUntil(found->second);
  return until && now < *until ? suspect_standing::kBlocked : suspect_standing::kCareful;
}

std::optional<instant> suspect_book::BlockedUntil(const request_digest& digest, instant now) const {
  const auto found = records_.find(digest);
  const auto until =
      found == records_.end() ? std::optional<instant>() : BlockedUntil(found->second);
  return until && now < *until ? until : std::nullopt;
}

std::size_t suspect_book::EndsOf(const request_digest& digest) const {
  const auto found = records_.find(digest);
  return found == records_.end() ? 0 : found->second.ends.size();
}

// Of those that no other request is known to have caused.
// @param latest  the end that is judged, under which it ran as well
double suspect_book::PartOfLatestEnds(const record& of, std::uint64_t latest, instant now) const {
  const auto is_recent = [now](instant at) { return now - at <= kRecentEnds; };
  std::set<std::uint64_t> explained;
  for (const auto& [digest, known] : records_) {
    if (&known != &of && known.is_found_out()) {
      for (const auto& [number, end] : known.ends) {
        explained.insert(number);
      }
    }
  }
  std::size_t all = 1;
  for (const auto& [number, at] : latest_ends_) {
    const bool counts = of.ends.contains(number) || !explained.contains(number);
    all += counts && number != latest && is_recent(at) ? 1 : 0;
  }
  std::size_t own = 1;
  for (const auto& [number, end] : of.ends) {
    own += number != latest && is_recent(end.at) ? 1 : 0;
  }
  return static_cast<double>(own) / static_cast<double>(all);
}

std::vector<suspect_event> suspect_book::EventsOfEnd(std::uint64_t end,
                                                     std::span<const running_request> running,
                                                     instant now) const {
  std::map<request_digest, running_request> told;
  for (const running_request& run : running) {
    if (told.contains(run.digest) || told.size() < kMostOfOneEnd) {
      running_request& known = told.try_emplace(run.digest, run).first->second;
      known.apart = known.apart || run.apart;
    }
  }
  const bool only_suspect = CountSuspectsAt(end, told, now) == 1;
  std::vector<suspect_event> events;
  for (const auto& [digest, run] : told) {
    suspect_event::kind what = suspect_event::kind::kEnded;
    if (run.apart) {
      what = IsFoundOut(run, end, only_suspect, now) ? suspect_event::kind::kFoundOut
                                                     : suspect_event::kind::kEndedApart;
    }
    events.push_back({.what = what, .digest = digest, .place = run.place, .end = end});
  }
  return events;
}

// Those that had ended another backend server, also where their loss at this end was noticed
// earlier.
std::size_t suspect_book::CountSuspectsAt(std::uint64_t end,
                                          const std::map<request_digest, running_request>& told,
                                          instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [&](const auto& item) {
    const record& known = item.second;
    const bool was_there = told.contains(item.first) || known.ends.contains(end);
    const std::size_t others = known.ends.size() - (known.ends.contains(end) ? 1 : 0);
    return was_there && others > 0 && now < ForgottenAt(known);
  }));
}

bool suspect_book::IsFoundOut(const running_request& run, std::uint64_t end, bool only_suspect,
                              instant now) const {
  const auto found = records_.find(run.digest);
  if (found == records_.end()) {
    return false;
  }
  const record& known = found->second;
  const std::size_t others = known.ends.size() - (known.ends.contains(end) ? 1 : 0);
  const double part = PartOfLatestEnds(known, end, now);
  const bool often = known.ends_apart() + 1 >= kApartToBlock && part >= kManyEnds;
  return often || (only_suspect && others > 0 && part >= kMostEnds);
}

std::vector<suspect_event> suspect_book::All(instant now) const {
  std::vector<suspect_event> all;
  for (const auto& [digest, known] : records_) {
    if (now >= ForgottenAt(known)) {
      continue;
    }
    for (const auto& [number, end] : known.ends) {
      const auto what = end.found_out ? suspect_event::kind::kFoundOut
                        : end.apart   ? suspect_event::kind::kEndedApart
                                      : suspect_event::kind::kEnded;
      all.push_back({.what = what,
                     .digest = digest,
                     .place = known.place,
                     .end = number,
                     .age_micros = (now - end.at).count()});
    }
    if (known.cleared) {
      all.push_back({.what = suspect_event::kind::kCleared,
                     .digest = digest,
                     .place = known.place,
                     .age_micros = (now - *known.cleared).count()});
    }
  }
  return all;
}

std::size_t suspect_book::CountSince(instant since) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [since](const auto& item) {
    return !item.second.ends.empty() && item.second.last_end() >= since;
  }));
}

std::size_t suspect_book::CountBlocked(instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(records_, [now](const auto& item) {
    const auto until = BlockedUntil(item.second);
    return until && now < *until;
  }));
}

}  // namespace cuminferry
