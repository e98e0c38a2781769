#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/path/decision_log.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/relay_metrics.h"
#include "cuminferry_relay/path/relay_settings.h"

namespace cuminferry {

/** What the parts of a relay node know in common: each part reads and writes
    its sections, and none calls another. All on one loop's thread. */
class relay_board {
 public:
  relay_board(event_loop& loop, relay_settings settings);
  relay_board(const relay_board&) = delete;
  relay_board& operator=(const relay_board&) = delete;

  //============================================================================
  // What is published.

  void SetTable(std::shared_ptr<const route_table> table);
  /** nullptr before the first version is known. */
  const std::shared_ptr<const route_table>& table() const { return table_; }
  /** Targets and the own backend server, from the instances that are listed. */
  void SetInstances(const std::vector<service_instance>& instances);
  /** Services that have instances. */
  std::size_t service_count() const { return pickers_.size(); }
  /** Whether an instance was said to leave or is no longer listed. */
  bool IsLeaving(std::string_view instance_id) const {
    return leaving_.contains(instance_id) || gone_.contains(instance_id);
  }
  std::uint32_t own_slots() const { return own_slots_; }
  /** Whom the own node asks for news of the platform. */
  const dissemination_tree& tree() const { return tree_; }
  /** Other nodes, by the addresses that they serve each other at. */
  const std::vector<endpoint>& peers() const { return peers_; }

  //============================================================================
  target_picker& PickerOf(const std::string& service);
  /** The node beside a backend server. */
  endpoint PeerBeside(const endpoint& backend) const;
  http_client& ClientFor(const endpoint& peer);

  /** Takes a changed bound on repeats and a changed grace. */
  void UseBoundsOf(const relay_settings& changed);

  event_loop& loop;
  /** Identity and addresses stay; the bounds may change. */
  relay_settings settings;
  random_source random;
  decision_log log;
  relay_metrics metrics;

  item_replica items;
  /** How old that copy may be. */
  copy_age copy;
  /** The latest change that any answer has told of, by its revision, and the node that told it. */
  std::uint64_t heard_revision = 0;
  endpoint heard_from;

  /** Of the own backend server. */
  repeat_budget repeats;

  customer_limits limits;
  customer_homes homes;
  /** A node, or its backend server, said that this instance is not beside it. */
  std::function<void(std::string_view id)> on_not_there;
  /** Calls back once a home of the customer has answered, or none did. */
  std::function<void(const std::string& customer, std::function<void()> on_told)> ask_home;

  entry_admission admission;
  run_outcomes outcomes;
  domain_watch domains;
  body_sizes sizes;
  row_causes causes;
  running_work running;
  call_demand demand;
  row_origins origins;

  suspect_book suspects;
  /** The own backend server, or an answer to a request, told this of suspects. */
  std::function<void(const std::vector<suspect_event>&)> on_suspects;

  /** SIGTERM came: the process ends within its grace. */
  bool draining = false;
  /** The platform has noticed the drain: nothing more is taken for the own backend
      server. */
  bool stopping = false;
  /** Later in the drain: nothing more is taken from clients either, so that what
      runs can end before the process does. */
  bool closed = false;

 private:
  std::shared_ptr<const route_table> table_;
  std::map<std::string, target_picker> pickers_;
  std::map<endpoint, std::unique_ptr<http_client>> clients_;
  std::vector<endpoint> peers_;
  std::set<std::string, std::less<>> serving_;
  std::set<std::string, std::less<>> leaving_;
  std::set<std::string, std::less<>> gone_;
  std::uint32_t own_slots_ = 0;
  std::size_t targets_of_service_ = 0;
  dissemination_tree tree_;
};

}  // namespace cuminferry
