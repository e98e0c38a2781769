#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/rate_headers.h"
#include "cuminferry_relay/path/relay_settings.h"
#include "cuminferry_relay/path/unlisted_headers.h"

namespace cuminferry {

/** What the head of a request from a calling node says, other than its call_header. */
struct serving_request {
  /** Applies where the calling node doesn't pass on a deadline. */
  static constexpr duration kDefaultTimeLeft = std::chrono::seconds(30);

  std::string id;
  /** Time from its arrival to its deadline. */
  duration time_left = kDefaultTimeLeft;
  /** Id of the instance that the request is meant for; empty where any may run it. */
  std::string expected_instance;
  /** Service of the ingress node; empty where it isn't known. */
  std::string caller_service;
  /** Customer whose key the request carries; empty where it carries none. */
  std::string customer;
  /** The request may be repeated while repeats are scarce. @see repeat_turns */
  bool has_turn = true;
  /** Targets of the service that the calling node knows; 0 where it doesn't say. */
  std::size_t known_targets = 0;
  /** What the calling node knows of the declared rate. */
  std::optional<rate_request> rate;
  /** Set where the calling node doesn't list the expected instance. */
  std::optional<unlisted_notice> unlisted;
  /** Set where the request has run at a backend server that crashed. */
  std::optional<request_digest> suspect_digest;

  /** @see picked_target */
  bool awaits_turn() const { return rate && rate->awaits_turn; }

  static serving_request ReadFrom(const http_head& head, const relay_header_names& names);
};

/** The head of the request as the backend server gets it.
    @param from_node  the head that the calling node sent
    @param time_left  time to the request's deadline */
http_head HeadForBackend(const http_head& from_node, const call_header& header, duration time_left,
                         const relay_header_names& names);

}  // namespace cuminferry
