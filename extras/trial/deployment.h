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

/** One target of a service: a backend server's stand-in and the node beside it. */
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
  /** Absent while it is down. */
  std::unique_ptr<child_process> node_process;
  std::unique_ptr<child_process> backend_process;
};

/** A deployment of real processes on this machine's loopback addresses: the
    platform's stand-in, and for each target of the table a backend server's
    stand-in and a node. All processes end with this value. */
class deployment {
 public:
  struct options {
    /** Folder of the programs. */
    std::string programs;
    /** "full", "static" or "none". */
    std::string control = "full";
    std::uint64_t seed = 1;
    /** Whether backend servers give up at deadlines and when their caller has gone. */
    bool heeds_deadlines = true;
    /** "honest", "idle", "full" or "frozen". */
    std::string health = "honest";
    /** Loads the library into the nodes that lets links go silent. */
    bool link_faults = false;
    /** Only the first so many failure domains; 0: all. */
    std::size_t domains = 0;
    /** Keeps settings, journals and logs after the end. */
    bool keep_files = false;
  };

  /** Starts all processes and waits until each node has a table.
      @param plan  outlives the deployment */
  static absl::StatusOr<std::unique_ptr<deployment>> Start(const deployment_plan& plan,
                                                           options chosen);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  //============================================================================
  /** Publishes a table as operators write it. */
  absl::Status PublishTable(const std::string& text);
  /** Waits until every node that runs has this version or a later one of a
      service's part in force; false where `longest` passes first. */
  bool WaitForTable(std::uint64_t version, duration longest);
  /** "up", "down", "slow" or "stale". */
  void SetPlatformMode(std::string_view mode);
  /** Makes all backend servers of a service this much slower. */
  void SlowDown(std::string_view service, double factor);

  /** Lets links between nodes go silent; only where options.link_faults. */
  link_fault_control& links();

  /** Starts the node of a target anew, on the same addresses, and waits for its table. */
  absl::Status StartNode(running_target& target);
  absl::Status StartBackend(running_target& target);

  /** Sends an HTTP request to a process of the deployment; empty where none answers. */
  static std::string Ask(endpoint at, std::string_view method, const std::string& path,
                         const std::string& body = {});

  //============================================================================
  std::vector<running_target>& targets();
  /** The targets of a service. */
  std::vector<running_target*> TargetsOf(std::string_view service);
  /** The fronts of a service's nodes, as callers know them. */
  std::vector<endpoint> FrontsOf(std::string_view service);
  endpoint platform() const;
  /** Settings, logs and journals of all processes. */
  const std::string& folder() const;
  std::string JournalFileOf(const running_target& target) const;

 private:
  class state;
  explicit deployment(std::unique_ptr<state> made);
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::trial
