#include "cuminferry_policy/placement/domain_reachability.h"

#include <algorithm>

namespace cuminferry {

void domain_reachability::OnReceived(std::string_view domain, instant now) {
  auto found = domains_.find(domain);
  if (found == domains_.end()) {
    found = domains_.emplace(std::string(domain), domain_state{}).first;
  }
  found->second = {.received_at = now};
}

void domain_reachability::OnUnanswered(std::string_view domain, instant sent, instant now) {
  const auto found = domains_.find(domain);
  // A domain from which nothing was ever received may be a single node that is starting.
  if (found == domains_.end() || found->second.received_at > sent) {
    return;
  }
  domain_state& state = found->second;
  state.backoff = std::clamp(state.backoff * 2, kFirstBackoff, kMaxBackoff);
  state.backoff_until = now + state.backoff;
}

bool domain_reachability::IsCutOff(std::string_view domain, instant now) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && now < found->second.backoff_until;
}

void domain_reachability::OnProbeSent(std::string_view domain, instant now) {
  const auto found = domains_.find(domain);
  if (found != domains_.end() && found->second.backoff > duration::zero()) {
    found->second.backoff_until = now + found->second.backoff;
  }
}

}  // namespace cuminferry
