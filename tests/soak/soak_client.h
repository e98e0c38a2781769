#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cuminferry_relay/cuminferry_relay.h"
#include "soak/soak_ledger.h"

namespace cuminferry::testing {

/** What a sender asks for. */
struct client_request {
  std::string method = "GET";
  std::string path;
  std::size_t body_bytes = 0;
  bool chunked = false;
  /** Use a connection kept from an earlier request, and keep it. */
  bool keep = false;
  /** The sender closes the connection after this; 0: never. */
  duration gives_up_after{};
  /** Called once with the ended request. */
  std::function<void(const sent_request&)> on_end;
};

/** Sends requests to one node as clients and backend servers do, and writes into
    the ledger what came of each. Keeps connections open until the node closes
    them. */
class soak_client {
 public:
  soak_client(event_loop& loop, const endpoint& node, soak_ledger& ledger);
  ~soak_client();
  soak_client(const soak_client&) = delete;
  soak_client& operator=(const soak_client&) = delete;

  /** @param about  the ledger's entry, without how it went */
  void Send(const client_request& request, sent_request about);

  /** The whole body that a backend server gives to this request. */
  static std::string BodyFor(const std::string& id, std::size_t length);
  static std::string SignatureFor(const std::string& id, std::size_t length);

 private:
  class session;

  event_loop& loop_;
  endpoint node_;
  soak_ledger& ledger_;
  std::set<std::shared_ptr<session>> sessions_;
};

}  // namespace cuminferry::testing
