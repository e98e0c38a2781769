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

/** Connects fleet_agent, which makes the decisions, to the platform, to UDP and to the node's
    connections. Keeps the table shards and instance lists of the services that this node needs up
    to date. */
class fleet_runtime {
 public:
  /** Callbacks to the node. They run on the runtime's own threads. */
  struct hooks {
    /** A version of a service's shard came into force. Versions of a service only increase. */
    std::function<void(const table_shard&)> on_shard;
    /** The known instances of a service changed. */
    std::function<void(std::string_view service, std::span<const target_info>)> on_targets;
    /** Sends a frame to another node over the node's connection to it, opening one if there is
        none. Returns false if the frame was not sent. */
    std::function<bool(endpoint peer, std::string frame)> send;
    /** The platform's list marks this instance as draining. Called again for each such list. May
        be empty. */
    std::function<void()> on_self_draining;
    /** This process did not run for the time `gap`, so that its view of the fleet may be out of
        date. May be empty. */
    std::function<void(duration gap)> on_pause;
    /** The platform sent bytes in the place of an answer. May be empty. */
    std::function<void(std::string_view problem)> on_invalid_answer = {};
  };

  fleet_runtime(const node_settings& settings, incarnation_id incarnation, event_log& events,
                hooks node_hooks);
  ~fleet_runtime();

  //============================================================================
  /** Starts to query the platform and peers, and follows this node's own service. Returns an error
      if the UDP port can't be opened. */
  absl::Status Start();

  /** Follows another service, one that this node's backend server calls. */
  void Follow(std::string_view service);

  /** Handles a message of type kShardRequest or kShardReply that was received over a connection.
      Messages of other types are ignored. */
  void OnPeerMessage(endpoint from, message_type type, std::span<const char> payload);

  /** Handles the hello of another node. */
  void OnHello(const hello_message& hello);
  /** Another node reported that it is draining. It gets no new calls until another incarnation of
      it is known.
      @param incarnation  as reported in the message, or 0 for the last known one */
  void OnPeerDraining(endpoint peer, incarnation_id incarnation = 0);
  /** Another node's connections are lost and it can't be reached. It gets no new calls until
      anything is received from it. */
  void OnPeerLost(endpoint peer);

  //============================================================================
  /** Highest known version of the whole table. */
  std::uint64_t table_version() const;
  /** The content of /status in JSON: versions in force, state of the platform, known members. */
  std::string StatusJson() const;
  /** The values that StatusJson() reports. */
  fleet_status status() const;
  /** Whether this process was paused and neither a peer nor the platform has answered since, so
      that thresholds and members may be out of date. */
  bool catching_up() const;
  /** Total bytes of the datagrams sent and received. */
  std::uint64_t datagram_bytes() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
