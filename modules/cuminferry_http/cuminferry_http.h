/** @file
    cuminferry_http: clients on cpp-httplib that take no broken answer for a sound one.

    - client/ a client, and the stream that checks what it reads

    The module may use cuminferry_core.
*/
#pragma once

#include "cuminferry_http/client/answer_checking_stream.h"
#include "cuminferry_http/client/checked_http_client.h"
