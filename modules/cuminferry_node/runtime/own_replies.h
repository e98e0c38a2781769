#pragma once

#include <string_view>

#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** Replies that a node gives itself, without the backend server. */
reply_message MakeNotRun(request_id request, result_code code,
                         std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
reply_message MakeUnknown(request_id request, result_code code);

/** "completed", "not_run" or "unknown". */
std::string_view NameOf(call_end end);

}  // namespace cuminferry
