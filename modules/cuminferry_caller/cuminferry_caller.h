/** @file
    cuminferry_caller: a client library for callers outside the fleet. Callers may also use plain
    HTTP; the library adds typed results, tickets and retries that respect refusals.

    - call/      a call, its three results, its retries
    - transport/ sends one request to one node

    The module may use cuminferry_core and cuminferry_http.
*/
#pragma once

#include "cuminferry_caller/call/call_request.h"
#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/call/caller.h"
#include "cuminferry_caller/call/retry_policy.h"
#include "cuminferry_caller/transport/client_pool.h"
#include "cuminferry_caller/transport/transport.h"
