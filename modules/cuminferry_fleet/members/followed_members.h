#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_fleet/members/member_view.h"

namespace cuminferry {

/** The instances of all services that a node follows. What is received from an instance changes the
    view of each service that contains it, and what changes is reported by hooks. */
class followed_members {
 public:
  /** Instances that are probed in one round, for each service. */
  static constexpr std::size_t kMaxProbesPerService = 16;

  struct hooks {
    /** The members of a service have changed. */
    std::function<void(const std::string& service)> on_change;
    /** A member is up, draining or lost; `subject` is its id, or its address where the id is not
        known. */
    std::function<void(event_kind, result_code, const std::string& subject)> on_event;
  };

  explicit followed_members(hooks hooks) : hooks_(std::move(hooks)) {}

  //============================================================================
  void Follow(std::string_view service);
  bool Follows(std::string_view service) const { return views_.contains(service); }
  /** Number of followed services. */
  std::size_t size() const { return views_.size(); }
  /** Names of the followed services, in their order. */
  std::vector<std::string> services() const;
  /** Returns the members of a service; none where it is not followed. */
  std::vector<member> MembersOf(std::string_view service) const;

  //============================================================================
  /** Takes the platform's list of a service. Returns false where the service is not followed. */
  bool UpdateList(const published_instances& list, instant now);
  void OnReceived(endpoint peer, incarnation_id incarnation, instant now);
  void OnHello(std::string_view service, const member_hello& hello, instant now);
  void OnDraining(endpoint peer, incarnation_id incarnation, instant now);
  void OnLost(endpoint peer, instant now);
  /** @see member_view::OnPause */
  void OnPause(duration gap);
  /** Removes members that are not listed and sent no message for a while. */
  void RemoveExpired(instant now);
  /** Returns the instances to probe now; later calls return the next ones of each service. */
  std::vector<endpoint> NextProbes();

 private:
  void ReportListChanges(const std::vector<member>& before, const std::vector<member>& after) const;

  hooks hooks_;
  std::map<std::string, member_view, std::less<>> views_;
  std::size_t probe_offset_ = 0;
};

}  // namespace cuminferry
