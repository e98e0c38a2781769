#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_relay/cuminferry_relay.h"
#include "cuminferry_relay/http/message_reader.h"

namespace cuminferry::testing {

/** A backend server that a test scripts down to the bytes of its answers. */
class scripted_target {
 public:
  /** One connection that a request came on. */
  struct conversation {
    tcp_connection& connection;
    http_head request;
    std::string body;
    /** Which request on this backend server it is, from 1. */
    int number = 0;
  };
  using script = std::function<void(conversation&)>;

  scripted_target(event_loop& loop, const endpoint& at);
  ~scripted_target();
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  /** Called when a request is whole; answers with the request's id if unset. */
  script on_request;
  /** Called when only a request's head has come, before its body. */
  script on_head;

  /** Ids of the requests that came, in order. */
  std::vector<std::string> ids;
  std::vector<http_head> heads;
  int open_connections = 0;
  int closed_while_running = 0;

  /** A signed answer of 200 to this request. */
  static std::string Answer(const http_head& request, std::string_view body = "ok");

 private:
  struct session;
  struct state;
  std::unique_ptr<state> state_;
};

/** What a client got. */
struct client_result {
  std::string bytes;
  /** The node closed or reset the connection. */
  bool ended = false;
  bool reset = false;

  /** Status of the first answer; 0 where there is none. */
  int status() const;
  bool Has(std::string_view text) const { return bytes.find(text) != std::string::npos; }
};

/** Some relay nodes with their backend servers on loopback, and clients. All of
    it runs on one loop. */
class relay_fleet {
 public:
  static constexpr char kService[] = "maps";

  /** @param nodes    nodes, each beside a backend server of kService
      @param domains  failure domains, over which they stand in turn; 0: one each */
  explicit relay_fleet(int nodes, int domains = 0);
  ~relay_fleet();

  //============================================================================
  /** Lets all nodes know this version of the table and all instances. */
  void PublishToAll(std::uint64_t version);
  void PublishTo(int node, std::uint64_t version);
  /** Customers of the tables that are published from now on; none at first. */
  void SetCustomers(std::vector<customer> customers) { customers_ = std::move(customers); }
  /** A route for every test: GET and POST under /once/ run once, /safe/ may be
      repeated; /short/ has a timeout of 200 ms; /open/ needs no key. */
  static std::vector<http_route> Routes();

  /** Sends text to a node's outbound address; the result grows as answers come. */
  std::shared_ptr<client_result> Send(int node, std::string text);
  /** Sends text to any address of the fleet. */
  std::shared_ptr<client_result> SendTo(const endpoint& at, std::string_view text);
  std::unique_ptr<tcp_connection> Connect(int node, const std::shared_ptr<client_result>& into);
  std::unique_ptr<tcp_connection> ConnectTo(const endpoint& at,
                                            const std::shared_ptr<client_result>& into);
  static std::string Get(std::string_view path, std::string_view id);
  /** With one more field line, or several. */
  static std::string Get(std::string_view path, std::string_view id, std::string_view fields);
  static std::string Post(std::string_view path, std::string_view id, std::string_view body);

  /** Runs the loop until the condition holds; false after `limit`. */
  bool RunUntil(const std::function<bool()>& condition, duration limit = std::chrono::seconds(5));
  void RunFor(duration span);

  scripted_target& target(int node) { return *targets_[static_cast<std::size_t>(node)]; }
  relay_node& node(int node) { return *nodes_[static_cast<std::size_t>(node)]; }
  /** Where a node listens for other nodes. */
  endpoint PeerAddress(int node) const;
  /** The platform answers this node no more, nor says so. */
  void CutFromPlatform(int node) { reached_.at(static_cast<std::size_t>(node)) = false; }
  void ReconnectPlatform(int node) { reached_.at(static_cast<std::size_t>(node)) = true; }
  /** Whether a node watches the platform itself. */
  bool Watches(int node) const { return watches_.at(static_cast<std::size_t>(node)); }
  /** How many nodes watch the platform themselves. */
  int CountWatching() const { return static_cast<int>(std::ranges::count(watches_, true)); }
  /** A new backend server at the address of one that was stopped. */
  void StartTarget(int node);
  void StopTarget(int node) { targets_[static_cast<std::size_t>(node)].reset(); }
  /** A node that knows nothing. */
  void StartNode(int node);
  void StopNode(int node) { nodes_[static_cast<std::size_t>(node)].reset(); }
  std::uint64_t TotalRequests() const;
  event_loop& loop() { return loop_; }

  relay_settings SettingsOf(int node) const;

 private:
  endpoint At(int node, std::uint16_t port) const;
  std::vector<service_instance> Instances() const;
  std::string DomainOf(int node) const;
  void AnswerWatches();

  event_loop loop_;
  int block_;
  int domains_;
  std::vector<customer> customers_;
  std::vector<bool> watches_;
  std::vector<bool> reached_;
  loop_timer platform_timer_;
  std::vector<std::unique_ptr<scripted_target>> targets_;
  std::vector<std::unique_ptr<relay_node>> nodes_;
  std::vector<std::unique_ptr<tcp_connection>> clients_;
};

}  // namespace cuminferry::testing
