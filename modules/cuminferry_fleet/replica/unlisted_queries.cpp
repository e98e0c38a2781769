#include "cuminferry_fleet/replica/unlisted_queries.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminferry {

void unlisted_queries::OnRequest(std::string_view service, instant now) {
  const auto found = requested_at_.find(service);
  if (found == requested_at_.end()) {
    requested_at_.emplace(service, now);
  } else {
    found->second = now;
  }
}

bool unlisted_queries::IsWanted(const candidate& of, instant now) const {
  const auto requested = requested_at_.find(of.service);
  return !of.has_listed_others ||
         (requested != requested_at_.end() && now - requested->second <= kUseTime);
}

bool unlisted_queries::IsDue(const candidate& of, const unlisted_state& known, instant now) {
  return now >= known.first_due_at &&
         (!known.queried_at || now - *known.queried_at >= kQueryPeriod) &&
         (!of.confirmed_at || now - *of.confirmed_at >= kQueryPeriod);
}

void unlisted_queries::UpdateKnown(std::span<const candidate> unlisted, instant now,
                                   random_source& random) {
  std::map<std::string, unlisted_state, std::less<>> before = std::exchange(known_, {});
  for (const candidate& of : unlisted) {
    const auto found = before.find(of.id);
    if (found != before.end()) {
      known_.emplace(of.id, found->second);
      continue;
    }
    const auto delay = static_cast<duration::rep>(
        random.Below(static_cast<std::uint64_t>(kMaxFirstDelay.count())));
    known_.emplace(of.id, unlisted_state{.first_due_at = now + duration(delay)});
  }
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
  UpdateKnown(unlisted, now, random);
  std::map<std::string_view, std::vector<const candidate*>> due_by_service;
  for (const candidate& of : unlisted) {
    if (IsDue(of, known_.at(of.id), now) && IsWanted(of, now)) {
      due_by_service[of.service].push_back(&of);
    }
  }
  std::vector<std::string> chosen;
  for (auto& [service, due] : due_by_service) {
    // Among those that were never confirmed, the ones not asked yet come first, in random order.
    std::ranges::sort(due, {}, [this](const candidate* of) {
      const unlisted_state& known = known_.at(of->id);
      return std::tuple(of->confirmed_at, known.queried_at, known.first_due_at);
    });
    due.resize(std::min(due.size(), Allowance(due.front()->service, now)));
    for (const candidate* of : due) {
      known_.at(of->id).queried_at = now;
      sent_[of->service].push_back(now);
      chosen.push_back(of->id);
    }
  }
  return chosen;
}

}  // namespace cuminferry
