#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The backend server answered; this is its whole answer, good or bad. */
struct completed_call {
  int http_status = 0;
  std::string body;
};

/** The request did not run and never will. */
struct call_not_run {
  result_code code = result_code::kRefusedOverload;
  /** When to come back at the earliest. */
  std::chrono::milliseconds retry_after{0};
};

/** The request may have run. With a ticket it can be asked about later. */
struct call_unknown {
  result_code code = result_code::kConnectionLost;
  std::string ticket;
};

/** How a call ended: there is no fourth end. */
using call_result = std::variant<completed_call, call_not_run, call_unknown>;

/** "completed", "not_run" or "unknown". */
std::string_view NameOf(const call_result& result);

}  // namespace cuminferry
