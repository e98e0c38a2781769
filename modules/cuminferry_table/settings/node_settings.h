#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** The configuration of one node: JSON with comments, a file of the disk image that the node starts
    from. The node never writes this file. */
struct node_settings {
  /** Unique in the fleet, such as "halle-nord/permit-1". */
  std::string instance;
  std::string service;
  std::string failure_domain;
  std::string region;
  /** The number of this node among the service's targets in its failure domain, from 0. Determines
      its share of fleet-wide limits. */
  std::uint32_t target_slot = 0;

  /** Listener for HTTP requests of callers. */
  endpoint front;
  /** Listener for HTTP calls of the own backend server. */
  endpoint egress;
  /** Listener for other nodes, TCP and UDP. */
  endpoint peer;
  /** Listener for HTTP requests of operators: /status, /metrics, /timeline, /drain. */
  endpoint admin;

  /** Address of the backend server of this node. */
  endpoint backend;
  std::uint32_t backend_slots = 1;
  std::uint32_t backend_connections = 1;

  /** Addresses of the platform's configuration service. */
  std::vector<endpoint> platform;
  /** Peers that the node queries at its start, before it has a list of instances. May be empty. */
  std::vector<endpoint> seeds;

  /** "full", or a baseline for measurements: "static" enforces only the table's limits, "none"
      enforces no limits and every hop makes up to three more attempts. */
  std::string control = "full";
  /** One request in this many is recorded in the timeline. */
  std::uint32_t sample_every = 64;
  /** A drain that lasts longer than this is reported. No drain is aborted. */
  std::chrono::seconds drain_report{30};

  /** Reads and checks JSON with comments. */
  static absl::StatusOr<node_settings> Parse(std::string_view json,
                                             std::vector<table_problem>& problems);
  static absl::StatusOr<node_settings> Parse(std::string_view json);
};

}  // namespace cuminferry
