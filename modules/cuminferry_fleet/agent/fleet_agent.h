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

/** Figures for status pages and measurements. */
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

/** Decides for one node which tables are in force, when to read the platform, to which peers
    changes are announced and which instances are live.

    The agent does no I/O: its functions receive events with their time, and TakeActions()
    returns the resulting actions. The owner guards the agent with lock_rank::kTable.
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
    /** Options of the platform reader; the agent sets `own_list`. */
    platform_reader::options reads;
  };

  fleet_agent(options chosen, instant now, random_source random);
  ~fleet_agent();

  //============================================================================
  /** Maximum number of services that one node follows. */
  static constexpr std::size_t kMaxFollowedServices = 256;

  /** Follows a further service, that is, its shard and its instances. Returns false where the
      service is followed already or kMaxFollowedServices is reached. */
  bool Follow(std::string_view service, instant now);

  void OnTick(instant now);
  void OnDigest(const gossip_digest& digest, instant now);
  void OnContentRequest(const content_request& request, endpoint from, instant now);
  void OnContentReply(const content_reply& reply, endpoint from, instant now);
  /** Records that a request or reply could not be sent to a peer. */
  void OnUnreachable(endpoint peer, instant now);
  /** Records the outcome of a read that an action requested. */
  void OnPlatformRead(std::string_view name, read_outcome outcome, std::string_view value,
                      instant now);
  /** Records the outcome of a watch that an action requested, with or without a change. */
  void OnPlatformWatched(std::string_view name, read_outcome outcome, std::string_view value,
                         instant now);

  void OnHello(std::string_view service, const member_hello& hello, instant now);
  void OnPeerDraining(endpoint peer, incarnation_id incarnation, instant now);
  void OnPeerLost(endpoint peer, instant now);

  //============================================================================
  /** Returns and clears the actions since the last call. */
  fleet_actions TakeActions();
  /** Latest time at which OnTick() is to be called next. */
  instant next_due(instant now) const;

  std::uint64_t table_version() const;
  /** Returns the version of a service's shard in force; 0 where there is none. */
  std::uint64_t shard_version(std::string_view service) const;
  std::vector<member> members(std::string_view service) const;
  fleet_status status(instant now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
