#include "cuminferry_fleet/members/followed_members.h"

#include <algorithm>

namespace cuminferry {

void followed_members::Follow(std::string_view service) {
  views_.emplace(std::string(service), member_view(std::string(service)));
}

std::vector<std::string> followed_members::services() const {
  std::vector<std::string> names;
  for (const auto& [service, view] : views_) {
    names.push_back(service);
  }
  return names;
}

std::vector<member> followed_members::MembersOf(std::string_view service) const {
  const auto found = views_.find(service);
  return found == views_.end() ? std::vector<member>() : found->second.members();
}

//==============================================================================
bool followed_members::UpdateList(const published_instances& list, instant now) {
  const auto found = views_.find(list.service);
  if (found == views_.end()) {
    return false;
  }
  const std::vector<member> before = found->second.members();
  found->second.UpdateList(list, now);
  ReportListChanges(before, found->second.members());
  hooks_.on_change(list.service);
  return true;
}

// The first list is left out, as its events would fill the ring buffer of the time line.
void followed_members::ReportListChanges(const std::vector<member>& before,
                                         const std::vector<member>& after) const {
  if (before.empty()) {
    return;
  }
  std::map<endpoint, bool> was_draining;
  for (const member& one : before) {
    was_draining[one.info.peer] = one.draining;
  }
  for (const member& one : after) {
    const auto old = was_draining.find(one.info.peer);
    if (old == was_draining.end() || old->second != one.draining) {
      hooks_.on_event(one.draining ? event_kind::kMemberLeaving : event_kind::kMemberUp,
                      result_code::kOk, one.info.instance);
    }
  }
}

void followed_members::OnReceived(endpoint peer, incarnation_id incarnation, instant now) {
  for (auto& [service, view] : views_) {
    if (view.OnReceived(peer, incarnation, now)) {
      hooks_.on_change(service);
    }
  }
}

void followed_members::OnHello(std::string_view service, const member_hello& hello, instant now) {
  const auto found = views_.find(service);
  if (found != views_.end() && found->second.OnHello(hello, now)) {
    hooks_.on_event(hello.info.draining ? event_kind::kMemberLeaving : event_kind::kMemberUp,
                    result_code::kOk, hello.info.instance);
    hooks_.on_change(found->first);
  }
}

void followed_members::OnDraining(endpoint peer, incarnation_id incarnation, instant now) {
  for (auto& [service, view] : views_) {
    if (view.Contains(peer) && view.OnDraining(peer, incarnation, now)) {
      hooks_.on_event(event_kind::kMemberLeaving, result_code::kOk, peer.ToString());
      hooks_.on_change(service);
    }
  }
}

void followed_members::OnLost(endpoint peer, instant now) {
  for (auto& [service, view] : views_) {
    if (view.OnLost(peer, now)) {
      hooks_.on_event(event_kind::kMemberDown, result_code::kPeerSilent, peer.ToString());
      hooks_.on_change(service);
    }
  }
}

void followed_members::OnPause(duration gap) {
  for (auto& [service, view] : views_) {
    view.OnPause(gap);
  }
}

void followed_members::RemoveExpired(instant now) {
  for (auto& [service, view] : views_) {
    if (view.OnTick(now)) {
      hooks_.on_change(service);
    }
  }
}

std::vector<endpoint> followed_members::NextProbes() {
  std::vector<endpoint> probes;
  for (const auto& [service, view] : views_) {
    const std::vector<endpoint> waiting = view.instances_to_probe();
    for (std::size_t i = 0; i < std::min(waiting.size(), kMaxProbesPerService); ++i) {
      probes.push_back(waiting[(probe_offset_ + i) % waiting.size()]);
    }
  }
  probe_offset_ += kMaxProbesPerService;
  return probes;
}

}  // namespace cuminferry
