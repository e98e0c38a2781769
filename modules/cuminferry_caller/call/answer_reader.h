#pragma once

#include <string>

#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** What one attempt, or one question about a ticket, has shown. */
struct attempt_outcome {
  call_result result;
  /** The ticket that the answer named; empty where it named none. */
  std::string ticket;
};

/** Reads the end of an attempt from the transport's answer. An answer without
    Cuminferry-End comes from some other server and counts as completed. */
attempt_outcome ReadOutcome(transport_answer answer);

}  // namespace cuminferry
