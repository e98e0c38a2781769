#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cuminferry_fleet/tables/version_gossip.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Request to a peer for a value newer than a version. */
struct content_request {
  endpoint to;
  std::string name;
  std::uint64_t newer_than = 0;
};

/** Reply with a value to a peer. An empty text means that there is no newer value. */
struct content_reply {
  endpoint to;
  std::string name;
  std::uint64_t version = 0;
  std::string text;
};

/** Actions that the fleet agent requests from the node. */
struct fleet_actions {
  std::vector<outgoing_digest> digests;
  std::vector<content_request> requests;
  std::vector<content_reply> replies;
  /** Name of the value to read from the platform. */
  std::optional<std::string> platform_read;
  /** Name of the value to watch, that is, to read once it changes. */
  std::optional<std::string> platform_watch;
  std::vector<table_shard> in_force;
  /** Services whose members changed. */
  std::vector<std::string> changed_services;
  std::vector<timeline_event> events;
  /** Whether the platform's list contains this instance as draining. */
  bool self_draining = false;
  /** Duration for which the process did not run, where such a pause was detected. */
  std::optional<duration> pause;
};

}  // namespace cuminferry
