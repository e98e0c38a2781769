#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Header field of a request whose target the calling node doesn't list.
    @see unlisted_notice */
inline constexpr std::string_view kUnlistedField = "Relay-Unlisted";
/** Header field of the answer to such a request: the target's node confirms that its backend server
    serves. Its value is the start time of the run. @see service_instance */
inline constexpr std::string_view kServingField = "Relay-Serving";
/** Path at which a node says whether its backend server serves.
    Nodes of the previous release respond with status 400. @see registration_query */
inline constexpr std::string_view kRegistrationPath = "/relay/registration";
/** Reply to a registration_query: the instance serves. */
inline constexpr std::string_view kServingReply = "serving";
/** Reply to a registration_query: the node can't tell yet whether the instance serves. */
inline constexpr std::string_view kUndecidedReply = "undecided";
/** Reply to a registration_query: the instance leaves. */
inline constexpr std::string_view kLeavingReply = "leaving";
/** Reply to a registration_query: another instance is at the address. */
inline constexpr std::string_view kOtherReply = "other";
/** Path at which a node lists the instances that it retains although they are not listed. */
inline constexpr std::string_view kUnlistedPath = "/relay/unlisted";

/** What a calling node tells the node of a target that it doesn't list. */
struct unlisted_notice {
  /** Start time of the run that the calling node means; 0 where it isn't known. */
  std::int64_t started_millis = 0;
  /** Time since the calling node learned that the target isn't listed. */
  duration unlisted_for{};

  std::string ToText() const;
  static std::optional<unlisted_notice> Parse(std::string_view text);
};

/** A calling node's query whether an instance that it doesn't list serves. */
struct registration_query {
  std::string instance;
  unlisted_notice notice;

  /** The path and query of the HTTP request. */
  std::string ToTarget() const;
  static std::optional<registration_query> Parse(std::string_view target);
};

}  // namespace cuminferry
