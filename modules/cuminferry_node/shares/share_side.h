#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_policy/shares/limit_shares.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The node's part of the fleet-wide limits: connects limit_shares to the messages between nodes.
    Thread-safe. */
class share_side {
 public:
  /** Sends a frame to another node, without a guarantee that it is delivered. */
  using send_hook = std::function<void(endpoint peer, std::string frame)>;

  share_side(const node_settings& settings, incarnation_id incarnation, send_hook send);

  //============================================================================
  /** Applies the limits of this node's service. */
  void UseTable(const table_shard& shard);
  /** Sets the instances of this node's service. Those of the same failure domain lend parts of
      their limits to each other. */
  void UsePeers(std::span<const endpoint> peers);

  /** Whether a call of a row may be passed to the backend server now. If so, the call counts as
      running until EndCall(). */
  bool TryBeginCall(std::string_view row, instant deadline);
  void EndCall(std::string_view row);
  /** Sets the number of calls of a row that wait for the limit. */
  void SetWaitingCount(std::string_view row, std::uint32_t waiting);

  /** Maximum number of calls of a row that may run on this instance now. */
  std::uint32_t UsableLimit(std::string_view row);

  //============================================================================
  /** Handles a message of type kShareRequest, kShareGrant or kShareReturn. Returns false if the
      message is invalid. */
  bool OnMessage(endpoint from, message_type type, std::span<const char> payload);
  /** Sends due messages. The owner calls this every 50 to 100 milliseconds. */
  void Tick(instant now);

 private:
  void Send(const share_actions& actions);

  section<limit_shares> shares_;
  const send_hook send_;
};

}  // namespace cuminferry
