#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cuminferry_relay/cuminferry_relay.h"
#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry::testing {

/** A backend server whose answers a test scripts byte by byte. */
class scripted_target {
 public:
  /** A request and the connection on which it was received. */
  struct scripted_request {
    tcp_connection& connection;
    http_head request;
    std::string body;
    /** The sequence number of the request on this backend server, from 1. */
    int sequence_number = 0;
  };
  using script = std::function<void(scripted_request&)>;

  scripted_target(event_loop& loop, const endpoint& at);
  ~scripted_target();
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  /** Called when a request has been received completely. If this is not set, the backend server
      sends Answer(). */
  script on_request;
  /** Called when the head of a request has been received, before its body. */
  script on_head;

  /** The ids of the requests received, in order. */
  std::vector<std::string> request_ids;
  /** The heads of the requests received, in order. */
  std::vector<http_head> request_heads;
  int open_connections = 0;
  /** The number of connections closed after a request that did not get the default answer. */
  int closed_while_running = 0;

  /** Returns a signed answer with status 200 to this request. */
  static std::string Answer(const http_head& request, std::string_view body = "ok");

 private:
  struct session;
  struct state;
  std::unique_ptr<state> state_;
};

/** The bytes that a client received, and the state of its connection. */
struct client_result {
  std::string bytes;
  /** Whether the node closed or reset the connection. */
  bool ended = false;
  bool reset = false;

  /** Returns the status of the first answer, or 0 if there is none. */
  int status() const;
  bool Contains(std::string_view text) const { return bytes.find(text) != std::string::npos; }
};

/** Relay nodes, their backend servers and clients on loopback addresses. All of them run on one
    event loop. */
class relay_fleet {
 public:
  static constexpr char kService[] = "maps";

  /** @param nodes    number of nodes, each with a backend server of kService
      @param domains  number of failure domains, to which the nodes are assigned in turn; with 0,
                      each node has its own */
  explicit relay_fleet(int nodes, int domains = 0);
  ~relay_fleet();

  //============================================================================
  /** Publishes this version of the table and all instances to all nodes. */
  void PublishToAll(std::uint64_t version);
  /** Publishes this version of the table and all instances to one node. */
  void PublishTo(int node, std::uint64_t version);
  /** Leaves these nodes' instances out of what is published from now on. Initially none. */
  void SetUnlisted(std::set<int> nodes) { unlisted_ = std::move(nodes); }
  /** Lists these nodes' instances as draining from what is published next on, all others as ready.
   */
  void SetDraining(std::set<int> nodes);
  /** Another instance has the address of this node's one from what is published next on. */
  void ReplaceInstance(int node);
  /** Sets the only service of the tables that are published from now on; without rows if it isn't
      kService. */
  void SetDeclaredService(std::string name) { declared_service_ = std::move(name); }
  /** Sets the customers of the tables that are published from now on. Initially there are none. */
  void SetCustomers(std::vector<customer> customers) { customers_ = std::move(customers); }
  /** The routes of all tests. GET and POST under /once/ and /short/ run at most once, those under
     /safe/ and /open/ may be repeated. /short/ has a timeout of 200 ms; /open/ needs no key;
     /relay/, at most once, shares its paths with the messages between nodes. */
  static std::vector<http_route> Routes();

  /** Sends text to a node's outbound address. Answers are appended to the result as they are
      received. */
  std::shared_ptr<client_result> Send(int node, std::string text);
  /** Sends text to any address of the fleet. */
  std::shared_ptr<client_result> SendTo(const endpoint& at, std::string_view text);
  /** Connects to a node's outbound address and collects the received bytes in `result`. */
  std::unique_ptr<tcp_connection> Connect(int node, const std::shared_ptr<client_result>& result);
  std::unique_ptr<tcp_connection> ConnectTo(const endpoint& at,
                                            const std::shared_ptr<client_result>& result);
  /** Returns the text of a GET request. */
  static std::string Get(std::string_view path, std::string_view id);
  /** Returns the text of a GET request with additional field lines, each ending with CRLF. */
  static std::string Get(std::string_view path, std::string_view id, std::string_view fields);
  static std::string Post(std::string_view path, std::string_view id, std::string_view body);

  /** Runs the loop until the condition holds. Returns false if it does not hold within `limit`. */
  bool RunUntil(const std::function<bool()>& condition, duration limit = std::chrono::seconds(5));
  void RunFor(duration span);

  scripted_target& target(int node) { return *targets_[static_cast<std::size_t>(node)]; }
  relay_node& node(int node) { return *nodes_[static_cast<std::size_t>(node)]; }
  /** The address on which a node accepts requests of clients and of its backend server. */
  endpoint OutboundAddress(int node) const;
  /** The address on which a node accepts connections of other nodes. */
  endpoint PeerAddress(int node) const;
  /** The address at which a node that has just started queries this one. */
  endpoint SeedAddress(int node) const;
  /** Makes the platform stop answering this node without an error. */
  void CutFromPlatform(int node) { platform_reachable_.at(static_cast<std::size_t>(node)) = false; }
  void ReconnectPlatform(int node) {
    platform_reachable_.at(static_cast<std::size_t>(node)) = true;
  }
  /** Whether a node watches the platform directly. */
  bool IsWatchingPlatform(int node) const {
    return watches_platform_.at(static_cast<std::size_t>(node));
  }
  /** The number of nodes that watch the platform directly. */
  int CountPlatformWatchers() const {
    return static_cast<int>(std::ranges::count(watches_platform_, true));
  }
  /** Starts a new backend server at the address of one that was stopped. */
  void StartTarget(int node);
  void StopTarget(int node) { targets_[static_cast<std::size_t>(node)].reset(); }
  /** Starts a node without a table or instances. */
  void StartNode(int node);
  void StopNode(int node) { nodes_[static_cast<std::size_t>(node)].reset(); }
  std::uint64_t TotalRequests() const;
  /** How often nodes have read a table. */
  int table_reads() const { return table_reads_; }
  event_loop& loop() { return loop_; }

  relay_settings SettingsOf(int node) const;

 private:
  endpoint AddressOf(int node, std::uint16_t port) const;
  std::vector<service_instance> Instances() const;
  std::string DomainOf(int node) const;
  void AnswerPlatformWatches();

  event_loop loop_;
  int address_block_;
  int domains_;
  std::vector<customer> customers_;
  int table_reads_ = 0;
  std::set<int> unlisted_;
  std::set<int> draining_;
  // Revisions of the instances' records, and how often each instance was replaced.
  std::map<int, std::uint64_t> revisions_;
  std::map<int, int> replacements_;
  std::string declared_service_ = kService;
  std::vector<bool> watches_platform_;
  std::vector<bool> platform_reachable_;
  loop_timer platform_timer_;
  std::vector<std::unique_ptr<scripted_target>> targets_;
  std::vector<std::unique_ptr<relay_node>> nodes_;
  std::vector<std::unique_ptr<tcp_connection>> clients_;
};

}  // namespace cuminferry::testing
