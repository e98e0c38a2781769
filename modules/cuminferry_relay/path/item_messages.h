#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry {

/** A node's query for updates of the published items. */
struct item_query {
  /** Revision up to which the querying node's replica is complete; 0 where it has none. */
  std::uint64_t after = 0;
  /** Asks for the next page of an update. */
  struct next_page {
    /** Last revision of the page before. */
    std::uint64_t after = 0;
    /** Whether the update holds all items. */
    bool whole = false;
  };
  std::optional<next_page> page;
  /** Peer address of the querying node where it may be referred to other nodes; unset otherwise. */
  endpoint from;

  /** The path and query of the HTTP request. */
  std::string ToTarget() const;
  /** Reads a request's path and query; parameters that are missing or malformed keep their
      defaults. */
  static item_query Parse(std::string_view target);
};

/** The reply to an item_query. */
struct item_reply {
  item_update update;
  /** Whether the replying node watches the platform. */
  bool is_watching = false;
  /** Whether a node that watches the platform has just replied to the replying node. */
  bool reached_watcher = false;
  /** Time, in microseconds, since the replying node's own watch confirmed its replica;
      item_update::kUnknownAge where it has none. */
  std::int64_t watch_age_micros = item_update::kUnknownAge;
  /** Peer addresses of nodes to query in place of this one. @see start_referrals */
  std::vector<std::string> referrals;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(update, is_watching, reached_watcher, watch_age_micros, referrals);
  }
};

}  // namespace cuminferry
