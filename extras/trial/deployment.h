#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "link_faults/link_fault_control.h"
#include "trial/child_process.h"
#include "trial/deployment_plan.h"

namespace cuminferry::trial {

/** One target of a service: a backend server's stand-in and its node. */
struct running_target {
  std::string instance;
  std::string service;
  std::string failure_domain;
  std::size_t domain_index = 0;
  std::uint32_t target_slot = 0;
  endpoint front;
  endpoint egress;
  endpoint peer;
  endpoint admin;
  endpoint backend;
  /** Null while the process is not started. */
  std::unique_ptr<child_process> node_process;
  std::unique_ptr<child_process> backend_process;
};

/** A deployment of real processes on this machine's loopback addresses: the
    platform's stand-in, and for each target of the table a backend server's
    stand-in and a node. All processes are killed when this object is destroyed. */
class deployment {
 public:
  struct options {
    /** Build folder that contains the programs to start. */
    std::string program_folder;
    /** Mode of overload control in the nodes: "full", "static" or "none". */
    std::string control = "full";
    std::uint64_t seed = 1;
    /** Whether backend servers stop working on a request at its deadline and when its caller
        has disconnected. */
    bool honors_deadlines = true;
    /** Health report of the backend servers: "honest", "idle", "full" or "frozen". */
    std::string health = "honest";
    /** Preloads the link fault library into the nodes, which drops traffic on chosen links. */
    bool link_faults = false;
    /** Number of failure domains to start, in the table's order; 0 starts all. */
    std::size_t domain_count = 0;
    /** Leaves settings, journals and logs in the folder when the deployment is destroyed. */
    bool keep_files = false;
  };

  /** Starts all processes and waits until each node has a table.
      @param plan  must outlive the deployment */
  static absl::StatusOr<std::unique_ptr<deployment>> Start(const deployment_plan& plan,
                                                           options start_options);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  //============================================================================
  /** Publishes a table in the JSON form that operators write. */
  absl::Status PublishTable(const std::string& text);
  /** Waits until each running node knows of this table version or a later one and has the
      current shard of its own service in force.
      @return  false if that takes more than `timeout` */
  bool WaitForTable(std::uint64_t version, duration timeout);
  /** Sets how the platform's stand-in behaves: "up", "down", "slow" or "stale". */
  void SetPlatformMode(std::string_view mode);
  /** Multiplies the service times of all backend servers of a service by `factor`. */
  void SetSlowdown(std::string_view service, double factor);

  /** Controls faults of links between nodes; requires options.link_faults. */
  link_fault_control& links();

  /** Restarts the node of a target on the same addresses and waits for its table. */
  absl::Status StartNode(running_target& target);
  /** Restarts the backend server of a target on the same address. */
  absl::Status StartBackend(running_target& target);

  /** Sends an HTTP request to a process of the deployment.
      @return  the body of the answer; empty if there is no answer or its status isn't 200 */
  static std::string SendRequest(endpoint at, std::string_view method, const std::string& path,
                                 const std::string& body = {});

  //============================================================================
  std::vector<running_target>& targets();
  std::vector<running_target*> TargetsOf(std::string_view service);
  /** The addresses on which a service's nodes accept requests of callers. */
  std::vector<endpoint> FrontsOf(std::string_view service);
  endpoint platform() const;
  /** The folder with the settings, logs and journals of all processes. */
  const std::string& folder() const;
  /** The file in which a target's backend server records its runs. */
  std::string JournalFileOf(const running_target& target) const;

 private:
  class state;
  explicit deployment(std::unique_ptr<state> initial_state);
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::trial
