#pragma once

#include <optional>

#include "cuminferry_relay/http/http_head.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/relay_settings.h"

namespace cuminferry {

/** Returns why an answer of a backend server must not be passed on; nothing for a valid answer.

    A server may answer in place of another one that had its address before, reject a request
    without running it, or hand out bytes that are no answer of its own.

    That the request has not run is shown by the field for it or by status 421, in an answer that
    can't belong to an earlier send. Any other answer with a status that promises it to clients is
    damaged, as the request may have run.
    @see http_status::PromisesNotRun
    @param is_first_on_connection  the connection has brought no other answer. An answer without an
                                   id may belong to an earlier request otherwise, and a rejection
                                   doesn't show that this request has not run. */
std::optional<relay_outcome> InvalidAnswerOutcome(const http_head& answer,
                                                  const relay_header_names& names,
                                                  bool is_first_on_connection);

}  // namespace cuminferry
