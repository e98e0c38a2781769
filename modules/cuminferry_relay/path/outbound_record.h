#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_relay/path/decision_log.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/send_trail.h"

namespace cuminferry {

/** What the log reports of a request for which this node is the ingress node. */
struct outbound_record {
  std::string request_id;
  /** Name of the row; empty until the row is found. */
  std::string row;
  std::uint64_t table_version = 0;
  /** Name of the customer; empty if the request carries no known customer's key. */
  std::string customer;
  std::string service;
  /** Instance id of the last target that the request was sent to. */
  std::string target_id;
  /** Number of target nodes that the request was sent to. */
  std::size_t placements = 0;
  /** Number of placements that may have reached a backend server. */
  std::uint32_t backend_placements = 0;
  /** What was known of the rate that the last target declares, and the age of that. */
  std::optional<rate_belief> declared;
  /** Time for which the last target had not been listed; nothing if it was listed. */
  std::optional<duration> unlisted_for;
  /** The request was sent by a backend server, not by a client. */
  bool nested = false;
  /** Fraction of the customer's requests that its limit admitted, if the request was refused
      for that limit. */
  std::optional<double> limit_share;
  /** No coordinator of the customer answered, so the node applied its equal share of the
      limit. */
  bool used_equal_share = false;
  /** Fraction of the customer's requests that its fair share admitted, if the request was refused
      for that share. */
  std::optional<double> customer_share;
  /** Age of the replica of the published items, if the request was refused for it. */
  std::optional<duration> replica_age;
  /** Admitted fraction of the row's requests of this rank, if the request was refused. */
  std::optional<double> level;
  /** The service that limits the row, if the request was refused for that limit. */
  std::string limited_by;
  /** Digest of the request, if a backend server crashed while running it or it is blocked. */
  std::string suspect_digest;
  /** Where the request was sent; empty if it may be repeated. */
  send_trail trail;
  /** Why the request completed without an answer of a backend server. */
  std::string reason;

  /** Logs a placement that brought no answer of a backend server. */
  void LogFailedPlacement(decision_log& log, relay_outcome why) const;
  /** Logs the request's result; called only if decision_log::TryReserveLine() returned true.
      @param took  from the request's head until its completion */
  void LogResult(decision_log& log, std::string_view result, duration took) const;

 private:
  void AddDeclared(nlohmann::ordered_json& detail) const;
  void AddUnlisted(nlohmann::ordered_json& detail) const;
};

}  // namespace cuminferry
