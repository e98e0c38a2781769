#pragma once

#include <string_view>

#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** A reply that this node makes without the backend server: the request was not run.
    @param retry_after how long the caller should wait before a retry; 0 for no statement */
reply_message MakeNotRunReply(request_id request, result_code code,
                              std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
/** A reply that this node makes without the backend server: whether the request ran is
    unknown. */
reply_message MakeUnknownReply(request_id request, result_code code);

/** "completed", "not_run" or "unknown". */
std::string_view NameOf(call_outcome outcome);

}  // namespace cuminferry
