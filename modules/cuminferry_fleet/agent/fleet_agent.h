#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/agent/fleet_actions.h"
#include "cuminferry_fleet/members/member_view.h"
#include "cuminferry_fleet/platform/platform_reader.h"

namespace cuminferry {

/** Numbers for status pages and measurements. */
struct fleet_status {
  std::uint64_t table_version = 0;
  std::uint32_t fleet_size = 0;
  std::vector<value_version> in_force;
  std::size_t peers = 0;
  std::size_t directory_entries = 0;
  std::size_t wanted_contents = 0;
  bool platform_reachable = false;
  bool platform_stale = false;
  std::uint64_t platform_reads = 0;
  std::uint64_t platform_failed_reads = 0;
  std::uint64_t digests_sent = 0;
  std::uint64_t digests_received = 0;
  std::uint64_t rejected = 0;
  std::uint64_t conflicts = 0;
  bool catching_up = false;
  bool watching = false;
};

/** All decisions of one node about the fleet: which tables are in force, when to
    read the platform, whom to tell, which instances live.

    Sans-I/O: events go in with the time, actions come out with TakeActions().
    The owner guards it with lock_rank::kTable.
*/
class fleet_agent {
 public:
  struct options {
    std::string instance;
    std::string service;
    std::string failure_domain;
    std::string region;
    endpoint self;
    incarnation_id incarnation = 0;
    std::vector<endpoint> seeds;
    /** `own_list` is filled in by the agent. */
    platform_reader::options reads;
  };

  fleet_agent(options chosen, instant now, random_source random);
  ~fleet_agent();

  //============================================================================
  /** Most services that one node follows. */
  static constexpr std::size_t kFollowedBound = 256;

  /** Follows one more service: its shard and its instances. False where it is
      followed already or the bound is reached. */
  bool Follow(std::string_view service, instant now);

  void OnTick(instant now);
  void OnDigest(const spread_digest& digest, instant now);
  void OnContentRequest(const content_request& request, endpoint from, instant now);
  void OnContentReply(const content_reply& reply, endpoint from, instant now);
  /** A request or reply could not be sent to this peer. */
  void OnUnreachable(endpoint peer, instant now);
  /** The read that an action asked for has ended. */
  void OnPlatformRead(std::string_view name, read_end end, std::string_view value, instant now);
  /** The watch that an action asked for has ended, with or without a change. */
  void OnPlatformWatched(std::string_view name, read_end end, std::string_view value, instant now);

  void OnHello(std::string_view service, const member_hello& hello, instant now);
  void OnPeerLeaving(endpoint peer, incarnation_id incarnation, instant now);
  void OnPeerLost(endpoint peer, instant now);

  //============================================================================
  /** What is to be done since the last call. */
  fleet_actions TakeActions();
  /** When OnTick() has work next, at the latest. */
  instant next_due(instant now) const;

  std::uint64_t table_version() const;
  /** Version of a service's shard in force; 0 where there is none. */
  std::uint64_t shard_version(std::string_view service) const;
  std::vector<member> members(std::string_view service) const;
  fleet_status status(instant now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
