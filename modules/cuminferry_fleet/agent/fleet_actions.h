#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cuminferry_fleet/tables/table_spread.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Asks a peer for a value newer than a version. */
struct content_request {
  endpoint to;
  std::string name;
  std::uint64_t newer_than = 0;
};

/** Gives a peer a value; an empty text says that there is nothing newer. */
struct content_reply {
  endpoint to;
  std::string name;
  std::uint64_t version = 0;
  std::string text;
};

/** What the fleet's decisions ask the node to do. */
struct fleet_actions {
  std::vector<outgoing_digest> digests;
  std::vector<content_request> requests;
  std::vector<content_reply> replies;
  /** Name of the value to read from the platform. */
  std::optional<std::string> platform_read;
  /** Name of the value to watch: to be read once it changes. */
  std::optional<std::string> platform_watch;
  std::vector<table_shard> in_force;
  /** Services whose members changed. */
  std::vector<std::string> changed_services;
  std::vector<timeline_event> events;
  /** The platform's list names this instance as leaving. */
  bool self_leaving = false;
  /** Set where the process did not run for so long. */
  std::optional<duration> pause;
};

}  // namespace cuminferry
