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
#include "cuminferry_relay/path/recent_ids.h"
#include "cuminferry_relay/path/relay_metrics.h"
#include "cuminferry_relay/path/relay_settings.h"

namespace cuminferry {

/** The blackboard of a relay node: its components share their state here instead of calling
    each other. Used only on the thread of the event loop. */
class relay_board {
 public:
  relay_board(event_loop& loop, relay_settings settings);
  relay_board(const relay_board&) = delete;
  relay_board& operator=(const relay_board&) = delete;

  //============================================================================
  // Published table and instances.

  void SetTable(std::shared_ptr<const route_table> table);
  /** nullptr before the first version is known. */
  const std::shared_ptr<const route_table>& table() const { return table_; }
  /** Updates the targets, peers, coordinators, the place in the dissemination tree and the own
      slot count from changes of the listed instances. The cost grows with the changes, not with
      the number of instances. */
  void ApplyInstances(const std::vector<address_change>& changes);
  /** Number of listed instances, and of those that are draining. */
  std::size_t instance_count() const { return instances_.size(); }
  std::size_t draining_count() const { return draining_ids_.size(); }
  /** Number of services that have or had instances. */
  std::size_t service_count() const { return pickers_.size(); }
  /** Whether an instance has declared that it leaves, is listed as draining or is no longer
      listed. */
  bool IsLeavingOrRemoved(std::string_view instance_id) const {
    return HasDeclaredLeaving(instance_id) || draining_ids_.contains(instance_id) ||
           removed_ids_.Contains(instance_id);
  }
  /** Start time of the run that is, or was last, listed under this id; 0 where none is known.
      @see service_instance */
  std::int64_t RunOf(std::string_view instance_id) const;
  /** A run of an instance has declared in an answer that it leaves. It gets nothing more, whatever
      the list says, until a later run is listed. Returns whether that is new.
      @param started_millis  start time of the run. @see RunOf */
  bool OnDeclaredLeaving(const std::string& service, std::string_view instance_id,
                         std::int64_t started_millis);
  /** Start time of the run that declared that it leaves; nothing where none did. */
  std::optional<std::int64_t> LeavingRunOf(std::string_view instance_id) const {
    return declared_leaving_.RunOf(instance_id);
  }
  bool HasDeclaredLeaving(std::string_view instance_id) const {
    return declared_leaving_.Contains(instance_id);
  }
  /** Number of instances that have declared that they leave; of too many, the latest. */
  std::size_t declared_leaving_count() const { return declared_leaving_.size(); }
  /** The listed instance at the address of the own backend server; nullptr where there is none. */
  const service_instance* OwnInstance() const;
  /** Whether other instances of the own service are listed as ready. */
  bool HasOtherTargets() const;
  /** Slots of the own backend server; 0 until known. */
  std::uint32_t own_slots() const { return own_slots_; }
  /** Determines which node this one queries for updates of the published items. */
  const tree_position& position() const { return position_; }
  /** The most targets of a service that this node has listed for minutes. */
  std::size_t KnownTargetsOf(const std::string& service);
  /** Peer addresses of all other nodes, in order. */
  const std::vector<endpoint>& peers() const { return peers_; }

  //============================================================================
  /** The picker of a service's targets; created empty if the service is not known. */
  target_picker& PickerOf(const std::string& service);
  /** Peer address of a backend server's node. */
  endpoint PeerAddressOf(const endpoint& backend) const;
  /** The client for requests to another node; created on first use. That of a node that is not
      listed exists until the next change of the instances. */
  http_client& ClientFor(const endpoint& peer);

  /** Counts and logs bytes that came in the place of an answer.
      @param from  who sent them. @see relay_metrics::OnInvalidAnswer */
  void OnInvalidAnswer(std::string_view from, const invalid_answer& invalid);

  /** Applies changed bounds on repeats, the grace period and the bounds for customers. */
  void ApplyBounds(const relay_settings& changed);

  event_loop& loop;
  /** Identity and own addresses never change; bounds and seeds may. */
  relay_settings settings;
  random_source random;
  decision_log log;
  relay_metrics metrics;

  item_replica items;
  /** Upper bound on the age of `items`. */
  replica_age items_age;
  /** The newest revision of the published items that an answer reported, and the peer address
      of the node that reported it. */
  std::uint64_t newest_reported_revision = 0;
  endpoint newest_revision_peer;

  /** Budget of repeats at the own backend server. */
  repeat_budget repeats;
  /** Turns of the own backend server's calls where repeats at their targets are scarce. */
  repeat_turns turns;

  customer_limits limits;
  customer_shares shares;
  customer_weights weights;
  coordinator_picker coordinators;
  /** Called if a node or its backend server reports that this instance is not at its address. */
  std::function<void(std::string_view id)> on_instance_absent;
  /** Called if a target's node answers that its backend server leaves or is another instance. */
  std::function<void(std::string_view id, std::string_view why)> on_target_denied;
  /** When an instance that counts as a target was first not listed; nothing for a listed one. */
  std::function<std::optional<instant>(std::string_view id)> unlisted_since;
  /** Called if the node of an unlisted instance confirms that it serves.
      @param started_millis  start time of the run */
  std::function<void(std::string_view id, std::int64_t started_millis)> on_instance_confirmed;
  unlisted_queries unlisted;
  /** Queries a coordinator of the customer's limit and calls back once one has answered or
      none did. */
  std::function<void(const std::string& customer, std::function<void()> on_replied)>
      query_coordinator;

  ingress_admission admission;
  run_outcomes outcomes;
  domain_reachability domains;
  body_sizes sizes;
  call_attribution attribution;
  running_work running;
  call_demand demand;
  row_origins origins;

  suspect_registry suspects;
  /** Called with events on suspects that the own backend server or an answer reported. */
  std::function<void(const std::vector<suspect_event>&)> on_suspects;

  /** SIGTERM was received: the process exits within its grace period. */
  bool draining = false;
  /** The platform has noticed the drain: requests for the own backend server are refused. */
  bool refuses_runs = false;
  /** Later in the drain, requests of clients are refused too, so that requests in progress
      can finish before the process exits. */
  bool refuses_clients = false;

 private:
  struct target_count {
    std::size_t listed = 0;
    recent_maximum largest;
  };

  void CountTarget(const std::string& service, bool is_listed);
  void AddPeerOf(const endpoint& backend);
  void RemovePeerOf(const endpoint& backend);
  void AddInstance(const service_instance& added);
  void RemoveInstance(const service_instance& removed, bool is_same_target);
  void DropUnlistedClients();
  void DropUndeclaredServices();

  std::shared_ptr<const route_table> table_;
  std::map<std::string, target_picker> pickers_;
  std::map<endpoint, std::unique_ptr<http_client>> clients_;
  // Peer addresses in `clients_` that were not listed when their clients were created.
  std::set<endpoint> unlisted_clients_;
  std::vector<endpoint> peers_;
  // The instance at each address.
  std::map<endpoint, service_instance> instances_;
  // Number of instances whose nodes have this peer address.
  std::map<endpoint, std::size_t> instances_by_peer_;
  std::set<std::string, std::less<>> draining_ids_;
  recent_ids removed_ids_;
  recent_ids declared_leaving_;
  std::uint32_t own_slots_ = 0;
  std::map<std::string, target_count> targets_by_service_;
  dissemination_tree tree_;
  tree_position position_;
};

}  // namespace cuminferry
