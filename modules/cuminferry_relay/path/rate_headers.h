#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry {

/** Header field in which nodes tell each other of the rate that a target's backend server declares:
    rate_report in answers, rate_request in requests. A field of its own, as nodes of another
   version read the other fields to their end. */
inline constexpr std::string_view kRateField = "Relay-Rate";

/** What a calling node tells the target's node with a request. */
struct rate_request {
  /** What the calling node knows of the declared rate. A target's node that has just started knows
      it from nobody else before its first answer. */
  std::optional<rate_belief> declared;
  /** When the run of the backend server started that declared it. @see published_target */
  std::int64_t started_millis = 0;
  /** @see picked_target */
  bool awaits_turn = false;

  /** Whether there is anything to tell. */
  bool is_needed() const { return declared || awaits_turn; }
  std::string ToText() const;
  static std::optional<rate_request> Parse(std::string_view text);
};

std::string ToText(const rate_report& report);
std::optional<rate_report> ParseRateReport(std::string_view text);

}  // namespace cuminferry
