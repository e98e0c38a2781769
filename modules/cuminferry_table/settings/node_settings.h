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

/** What one node is told about itself. JSON with comments on the disk image
    that starts it; nothing is ever written back. */
struct node_settings {
  /** Unique in the fleet, such as "halle-nord/permit-1". */
  std::string instance;
  std::string service;
  std::string failure_domain;
  std::string region;
  /** Which of the service's targets in this failure domain it is, from 0; fixes
      its share of fleet-wide limits. */
  std::uint32_t target_slot = 0;

  /** HTTP for callers. */
  endpoint front;
  /** HTTP for calls out of the own backend server. */
  endpoint egress;
  /** TCP and UDP for other nodes. */
  endpoint peer;
  /** HTTP for operators: /status, /metrics, /timeline, /drain. */
  endpoint admin;

  /** The backend server beside this node. */
  endpoint backend;
  std::uint32_t backend_slots = 1;
  std::uint32_t backend_connections = 1;

  /** Where the platform's configuration service answers. */
  std::vector<endpoint> platform;
  /** Peers to ask at start, before any list is known. May be empty. */
  std::vector<endpoint> seeds;

  /** "full", or a baseline for measurements: "static" keeps only the table's
      limits, "none" has no control and every hop tries three times more. */
  std::string control = "full";
  /** One request in this many leaves events on the time line. */
  std::uint32_t sample_every = 64;
  /** A drain that lasts longer than this is reported, never cut off. */
  std::chrono::seconds drain_report{30};

  /** Reads and checks JSON with comments. */
  static absl::StatusOr<node_settings> Parse(std::string_view json,
                                             std::vector<table_problem>& problems);
  static absl::StatusOr<node_settings> Parse(std::string_view json);
};

}  // namespace cuminferry
