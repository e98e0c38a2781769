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
    /** The platform's list names this very instance as leaving. May be empty;
        called again with each list that says so. */
    std::function<void()> on_self_leaving;
    /** This process did not run for so long; what it held true may have passed.
        May be empty. */
    std::function<void(duration gap)> on_pause;
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
  /** Another node said that it is leaving: it gets nothing new until another
      incarnation of it is heard of.
      @param incarnation as its leaving_message has it; 0: the one last heard of */
  void OnPeerLeaving(endpoint peer, incarnation_id incarnation = 0);
  /** Another node's connections ended and it can't be reached: it gets nothing
      new until anything is heard of it. */
  void OnPeerLost(endpoint peer);

  //============================================================================
  /** Highest version of the whole table that is known here. */
  std::uint64_t table_version() const;
  /** For /status: versions in force, platform state, members known. */
  std::string StatusJson() const;
  /** The numbers behind StatusJson(). */
  fleet_status status() const;
  /** After a pause, until a peer or the platform has answered: thresholds and
      members may be out of date. */
  bool catching_up() const;
  /** Bytes of the datagrams sent and received. */
  std::uint64_t datagram_bytes() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
