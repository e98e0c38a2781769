#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** Binds the decisions of cuminferry_fleet to the platform, to UDP and to the
    node's connections: keeps the shards and instance lists of the services that
    this node needs in force. */
class fleet_runtime {
 public:
  /** What the node wants to be told; called on the runtime's own threads. */
  struct hooks {
    /** A version of a service's shard came into force. Versions only go up. */
    std::function<void(const table_shard&)> on_shard;
    /** The known instances of a service changed. */
    std::function<void(std::string_view service, std::span<const target_info>)> on_targets;
    /** Sends a frame to another node over the node's connection to it, opening
        one where there is none. False where that can't be. */
    std::function<bool(endpoint peer, std::string frame)> send;
  };

  fleet_runtime(const node_settings& settings, incarnation_id incarnation, event_log& events,
                hooks chosen);
  ~fleet_runtime();

  //============================================================================
  /** Begins to ask the platform and peers. The own service is followed at once. */
  absl::Status Start();

  /** Follows one more service, one that the own backend server calls. */
  void Follow(std::string_view service);

  /** A message of the types kShardRequest, kShardReply, kShareRequest,
      kShareGrant and kShareReturn that came over a connection. */
  void OnPeerMessage(endpoint from, message_type type, std::span<const char> payload);

  /** Another node was heard of directly, by its hello. */
  void OnHello(const hello_message& hello);
  /** Another node said that it is leaving, or its connection ended for good. */
  void OnPeerLeaving(endpoint peer);

  //============================================================================
  /** Highest version of the whole table that is known here. */
  std::uint64_t table_version() const;
  /** For /status: versions in force, platform state, members known. */
  std::string StatusJson() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
