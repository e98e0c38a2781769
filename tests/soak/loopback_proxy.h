#pragma once

#include <map>
#include <memory>

#include "cuminferry_relay/cuminferry_relay.h"

namespace cuminferry::testing {

/** What a proxy does to the bytes that pass through it. */
struct link_fault {
  /** Each byte arrives this much later. */
  duration delay{};
  /** Bytes towards the server are lost; a connection that lost some stays silent. */
  bool cut_to_server = false;
  /** Bytes towards the client are lost, in the same way. */
  bool cut_to_client = false;
  /** New connections are reset. */
  bool resets_new = false;
};

/** Stands between the clients and one server on loopback and harms their
    connections: delays, resets, silences and cuts them, in one direction or both.
    Runs in the process of the test, on its loop. */
class loopback_proxy {
 public:
  loopback_proxy(event_loop& loop, const endpoint& at, const endpoint& server);
  ~loopback_proxy();
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;

  //============================================================================
  void SetFault(const link_fault& fault) { fault_ = fault; }
  /** Resets what is open now. */
  void ResetOpen();
  /** What is open now carries nothing any more and does not end; new ones work. */
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
