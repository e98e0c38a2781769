#pragma once

#include <map>
#include <memory>

#include "cuminferry_relay/cuminferry_relay.h"

namespace cuminferry::testing {

/** Faults that a proxy injects into its connections. */
struct link_fault {
  /** Added to the delivery time of each byte. */
  duration delay{};
  /** Bytes to the server are dropped. A connection that has dropped bytes delivers nothing more
      in that direction, also after the fault has ended. */
  bool cut_to_server = false;
  /** Bytes to the client are dropped in the same way. */
  bool cut_to_client = false;
  /** New connections are reset. */
  bool resets_new = false;
};

/** A TCP proxy between clients and one server on loopback that injects faults into
    their connections: delays, resets and dropped bytes, in one direction or both.
    Runs on the event loop of the test. */
class loopback_proxy {
 public:
  loopback_proxy(event_loop& loop, const endpoint& listen_address, const endpoint& server);
  ~loopback_proxy();
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;

  //============================================================================
  void SetFault(const link_fault& fault) { fault_ = fault; }
  /** Resets all open connections. */
  void ResetOpen();
  /** Connections that are open now stay open and deliver nothing more; new ones work. */
  void SilenceOpen();

 private:
  class link;

  void OnAccept(std::unique_ptr<tcp_connection> client);

  event_loop& loop_;
  endpoint server_;
  link_fault fault_;
  std::unique_ptr<tcp_listener> listener_;
  std::map<link*, std::shared_ptr<link>> links_;
};

}  // namespace cuminferry::testing
