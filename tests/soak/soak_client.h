#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cuminferry_relay/cuminferry_relay.h"
#include "soak/soak_ledger.h"

namespace cuminferry::testing {

/** A request as the client sends it. */
struct client_request_options {
  std::string method = "GET";
  std::string path;
  /** The customer's key; empty: none. */
  std::string key;
  std::size_t body_bytes = 0;
  bool chunked = false;
  /** Number of pieces in which the body is sent, a few ms apart; 1: with the head. */
  int body_pieces = 1;
  /** Reuses an idle connection and leaves it open afterwards. */
  bool reuse_connection = false;
  /** The client closes the connection after this time; 0: never. */
  duration abandon_after{};
  /** Called once when the request is finished. */
  std::function<void(const sent_request&)> on_end;
};

/** Sends requests to one node as clients and backend servers do, and records the
    outcome of each in the ledger. Idle connections stay open until the node closes
    them. */
class soak_client {
 public:
  soak_client(event_loop& loop, const endpoint& node, soak_ledger& ledger);
  ~soak_client();
  soak_client(const soak_client&) = delete;
  soak_client& operator=(const soak_client&) = delete;

  /** @param new_entry  the ledger entry of this request; its outcome is set later */
  void Send(const client_request_options& request, sent_request new_entry);

  /** The body of `length` bytes that a backend server sends in answer to this request. */
  static std::string BodyFor(const std::string& id, std::size_t length);
  static std::string SignatureFor(const std::string& id, std::size_t length);
  /** Header field of an answer that holds the number of the backend server. */
  static constexpr std::string_view kTargetField = "Soak-Target";

 private:
  class session;

  event_loop& loop_;
  endpoint node_;
  soak_ledger& ledger_;
  std::set<std::shared_ptr<session>> sessions_;
};

}  // namespace cuminferry::testing
