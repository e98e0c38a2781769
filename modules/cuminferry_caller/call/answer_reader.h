#pragma once

#include <string>

#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/transport/transport.h"

namespace cuminferry {

/** The result of one attempt, or of one query about a ticket. */
struct attempt_outcome {
  call_result result;
  /** The ticket in the answer; empty if the answer names none. */
  std::string ticket;
};

/** Determines the outcome of an attempt from the transport's answer. An answer without the header
    Cuminferry-End comes from a server other than a node and counts as completed. */
attempt_outcome ReadOutcome(transport_answer answer);

}  // namespace cuminferry
