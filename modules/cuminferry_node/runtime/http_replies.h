#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_node/http/http_server.h"
#include "cuminferry_node/runtime/own_replies.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** A reply as the caller, or the backend server on its call out, sees it. */
void ToHttp(const reply_message& reply, http_response& into);

/** The headers of a request that are passed on to the backend server: all but
    those of the connection and of cuminferry itself. */
std::vector<header_field> HeadersToPassOn(const std::vector<header_field>& headers);

/** What the caller asks for by Cuminferry-Time-Left-Ms; `longest` where it asks
    for nothing. False where the header can't be read. */
bool ReadTimeLeft(const http_request& request, instant now, instant longest, instant& into);

}  // namespace cuminferry
