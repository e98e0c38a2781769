#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Names of the header fields that callers and backend servers of a deployment use, as set by
    the adapter to the deployment. */
struct relay_header_names {
  /** Identifies one attempt of a client; echoed in answers. */
  std::string request_id;
  /** Time that the sender will wait for the answer, in milliseconds. */
  std::string deadline;
  /** Id of the only instance that may run the request. */
  std::string expected_instance;
  /** Service of the ingress node; always set by the node, whatever the caller sent. */
  std::string caller_service;
  /** Set by a backend server that rejects a request: the request has not run. */
  std::string not_executed;
  /** The backend server's signature on an answer. */
  std::string signature;
  /** Name of the customer whose key a request carries; set by the node, whatever the caller
      sent. */
  std::string customer;
  /** Requests a second, as a decimal number, that a backend server takes from all nodes together
      for as long as its answers say so. */
  std::string rate;
  /** Set to 1 by a backend server that stops soon. */
  std::string leaving;

  bool operator==(const relay_header_names&) const = default;
};

/** Bounds on the requests of customers, over all nodes. */
struct customer_bounds {
  /** Whether a node that may have missed the withdrawal of a key refuses all requests with
      keys. If false, a node that is cut off continues to accept the keys that it knows. */
  bool withdrawal_strict = false;
  /** A request with a withdrawn key does not start to run later than this after the platform
      published the withdrawal. */
  duration withdrawal_time = std::chrono::seconds(5);
  limit_bounds limits;

  bool operator==(const customer_bounds&) const = default;
};

/** Settings of one node of the HTTP relay, read from JSON with comments. */
struct relay_settings {
  std::string instance;
  std::string service;
  std::string failure_domain;

  /** Address for HTTP requests of clients and calls of the own backend server. */
  endpoint outbound;
  /** Address for the platform's HTTP readiness probes. */
  endpoint ready;
  std::string ready_path;
  /** Address for HTTP requests of other nodes; the port is the same on all instances. */
  endpoint peer;
  /** Address at which nodes that know no other node query the published items. Other nodes
      list it in their `seeds`. */
  endpoint seed;
  /** Address for HTTP requests for metrics. */
  endpoint metrics;
  std::string metrics_path;
  /** Address of this node's backend server. */
  endpoint backend;

  /** Address of the platform, which publishes the table and the instances. */
  endpoint platform;
  /** Seed addresses of nodes to query before any list of instances is known. May be empty. */
  std::vector<endpoint> seeds;

  /** Repeats allowed as a fraction of a service's requests, over all nodes. */
  double repeat_ratio = 0.2;
  /** Number of repeats allowed on top of that in one window, over all nodes. */
  double repeat_allowance = 0.0;
  duration repeat_window = std::chrono::seconds(10);

  repeat_budget::bounds repeat_bounds() const {
    return {.ratio = repeat_ratio, .allowance = repeat_allowance, .window = repeat_window};
  }

  customer_bounds customers;

  /** Time within which a backend server that leaves must get no more requests. Zero where no such
      bound is known: instances that are no longer listed then get no requests at all. */
  duration drain{};
  queue_order order = queue_order::kDeadline;
  /** Whether customers of the same rank get fair shares where not all their requests can be
      admitted. */
  bool customer_shares = false;

  /** Time from SIGTERM until the process is killed. */
  duration grace = std::chrono::seconds(6);

  /** Not part of the settings file: the adapter to the deployment sets these names. */
  relay_header_names headers;

  bool operator==(const relay_settings&) const = default;

  /** Parses and validates JSON with comments.
      @param problems  receives every problem found, with its place in the text */
  static absl::StatusOr<relay_settings> Parse(std::string_view json,
                                              std::vector<table_problem>& problems);
};

}  // namespace cuminferry
