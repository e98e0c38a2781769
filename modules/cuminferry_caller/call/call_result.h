#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The backend server answered; holds the whole answer, a success or an error. */
struct completed_call {
  int http_status = 0;
  std::string body;
};

/** The request did not run and never will. */
struct call_not_run {
  result_code code = result_code::kRefusedOverload;
  /** The minimum time to wait before a retry. */
  std::chrono::milliseconds retry_after{0};
};

/** The request may have run. If there is a ticket, the outcome can be queried later. */
struct call_unknown {
  result_code code = result_code::kConnectionLost;
  std::string ticket;
};

/** The result of a call; there are only these three. */
using call_result = std::variant<completed_call, call_not_run, call_unknown>;

/** Returns "completed", "not_run" or "unknown". */
std::string_view NameOf(const call_result& result);

}  // namespace cuminferry
