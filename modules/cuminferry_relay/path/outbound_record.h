#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_relay/path/decision_log.h"
#include "cuminferry_relay/path/peer_headers.h"

namespace cuminferry {

/** What is known of a request that entered at this node, as its lines in the log
    tell it. */
struct outbound_record {
  std::string request_id;
  /** Empty until its row is found. */
  std::string row;
  std::uint64_t table_version = 0;
  /** Empty where it carries no customer's key. */
  std::string customer;
  std::string service;
  /** The last target that it was sent to. */
  std::string target_id;
  /** Targets' nodes that it was sent to. */
  std::size_t placements = 0;
  /** Of these, those whose backend server it may have come to. */
  std::uint32_t reached = 0;
  /** Not sent by a client but by a backend server. */
  bool nested = false;
  /** Of its customer's requests, the part that its limit let in, where it was over it. */
  std::optional<double> limit_share;
  /** No home of its customer answered: the node went by its even part of the limit. */
  bool limit_alone = false;
  /** How old the copy of what is published was, where that ended it. */
  std::optional<duration> copy_age;
  /** Part of its row's requests of its rank that is let in, where it was refused. */
  std::optional<double> level;
  /** The service that limits its row, where it was refused for that. */
  std::string limited_by;
  /** What it is known by, where it ran at a backend server that ended. */
  std::string suspect;
  /** Why it ended without an answer of a backend server. */
  std::string reason;

  /** A try that brought no answer of the backend server. */
  void WriteTry(decision_log& log, relay_outcome why) const;
  /** The request's end, after decision_log::Wants(). */
  void WriteEnd(decision_log& log, std::string_view result, duration took) const;
};

}  // namespace cuminferry
