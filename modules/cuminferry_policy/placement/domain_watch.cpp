#include "cuminferry_policy/placement/domain_watch.h"

#include <algorithm>

namespace cuminferry {

void domain_watch::OnHeard(std::string_view domain, instant now) {
  auto found = domains_.find(domain);
  if (found == domains_.end()) {
    found = domains_.emplace(std::string(domain), domain_state{}).first;
  }
  found->second = {.heard = now};
}

void domain_watch::OnSilent(std::string_view domain, instant sent, instant now) {
  const auto found = domains_.find(domain);
  // A domain that was never heard from may be a single node that starts.
  if (found == domains_.end() || found->second.heard > sent) {
    return;
  }
  domain_state& state = found->second;
  state.rest = std::clamp(state.rest * 2, kFirstRest, kLongestRest);
  state.rests_until = now + state.rest;
}

bool domain_watch::IsCutOff(std::string_view domain, instant now) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && now < found->second.rests_until;
}

void domain_watch::OnTried(std::string_view domain, instant now) {
  const auto found = domains_.find(domain);
  if (found != domains_.end() && found->second.rest > duration::zero()) {
    found->second.rests_until = now + found->second.rest;
  }
}

}  // namespace cuminferry
