#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_policy/shares/limit_shares.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The node's part of the fleet-wide limits: binds limit_shares to the links
    between nodes. Safe to use from all threads. */
class share_side {
 public:
  /** Sends a frame to another node; may lose it. */
  using send_hook = std::function<void(endpoint peer, std::string frame)>;

  share_side(const node_settings& settings, incarnation_id incarnation, send_hook send);

  //============================================================================
  /** Takes the limits of the own service. */
  void UseTable(const table_shard& shard);
  /** The instances of the own service; those of the own failure domain lend to each other. */
  void UsePeers(std::span<const endpoint> peers);

  /** Whether a call of a row may be handed over now; it counts until End(). */
  bool Begin(std::string_view row, instant deadline);
  void End(std::string_view row);
  void NoteWaiting(std::string_view row, std::uint32_t waiting);

  /** How many calls of a row may run here now. */
  std::uint32_t UsableLimit(std::string_view row);

  //============================================================================
  /** A message of the types kShareRequest, kShareGrant and kShareReturn. False
      where it can't be read. */
  bool OnMessage(endpoint from, message_type type, std::span<const char> payload);
  /** To be called every 50 to 100 milliseconds. */
  void Tick(instant now);

 private:
  void Send(const share_actions& actions);

  section<limit_shares> shares_;
  const send_hook send_;
};

}  // namespace cuminferry
