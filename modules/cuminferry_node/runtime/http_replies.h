#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_node/http/http_server.h"
#include "cuminferry_node/runtime/local_replies.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** Fills the HTTP response for a reply, for a caller or for the backend server that made
    the call. */
void WriteHttpResponse(const reply_message& reply, http_response& into);

/** The headers that are forwarded with a request: all except connection headers, those
    added by the HTTP library, and cuminferry's own. */
std::vector<header_field> HeadersToForward(const std::vector<header_field>& headers);

/** Reads the deadline from the header Cuminferry-Time-Left-Ms (milliseconds from `now`).
    The result is `longest` at the latest, and `longest` where the header is absent.
    @return false where the header is not a number */
bool ReadTimeLeft(const http_request& request, instant now, instant longest, instant& into);

}  // namespace cuminferry
