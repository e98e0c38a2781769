#include "cuminferry_fleet/replica/unlisted_queries.h"

#include <algorithm>
#include <tuple>

namespace cuminferry {

void unlisted_queries::OnRequest(std::string_view service, instant now) {
  const auto found = requested_at_.find(service);
  if (found == requested_at_.end()) {
    requested_at_.emplace(service, now);
  } else {
    found->second = now;
  }
}

bool unlisted_queries::IsWanted(std::string_view service, bool has_listed_others,
                                instant now) const {
  const auto requested = requested_at_.find(service);
  return !has_listed_others ||
         (requested != requested_at_.end() && now - requested->second <= kUseTime);
}

bool unlisted_queries::IsDue(const candidate& of, const unlisted_state& known, instant now) {
  return now >= known.first_due_at &&
         (!known.queried_at || now - *known.queried_at >= kQueryPeriod) &&
         (!of.confirmed_at || now - *of.confirmed_at >= kQueryPeriod);
}

unlisted_queries::unlisted_state& unlisted_queries::KnownOf(const candidate& of, instant now,
                                                            random_source& random) {
  const auto [found, is_new] = known_.try_emplace(of.id);
  if (is_new) {
    const auto delay = static_cast<duration::rep>(
        random.Below(static_cast<std::uint64_t>(kMaxFirstDelay.count())));
    found->second.first_due_at = now + duration(delay);
  }
  found->second.seen_at = now;
  return found->second;
}

std::size_t unlisted_queries::Allowance(const std::string& service, instant now) {
  std::deque<instant>& sent = sent_[service];
  while (!sent.empty() && now - sent.front() >= kQueryPeriod) {
    sent.pop_front();
  }
  return kMaxPerService - std::min(kMaxPerService, sent.size());
}

std::vector<std::string> unlisted_queries::TakeDue(std::span<const candidate> unlisted, instant now,
                                                   random_source& random) {
  std::map<std::string_view, std::vector<due_instance>> due_by_service;
  for (const candidate& of : unlisted) {
    unlisted_state& known = KnownOf(of, now, random);
    if (IsDue(of, known, now) && IsWanted(of.service, of.has_listed_others, now)) {
      due_by_service[of.service].push_back({.of = &of, .known = &known});
    }
  }
  std::vector<std::string> chosen;
  for (auto& [service, due] : due_by_service) {
    // Among those that were never confirmed, the ones not asked yet come first, in random order.
    std::ranges::sort(due, {}, [](const due_instance& one) {
      return std::tuple(one.of->confirmed_at, one.known->queried_at, one.known->first_due_at);
    });
    due.resize(std::min(due.size(), Allowance(std::string(service), now)));
    for (const due_instance& one : due) {
      one.known->queried_at = now;
      sent_[one.of->service].push_back(now);
      chosen.push_back(one.of->id);
    }
  }
  if (known_.size() > unlisted.size()) {
    std::erase_if(known_, [now](const auto& known) { return known.second.seen_at != now; });
  }
  return chosen;
}

}  // namespace cuminferry
