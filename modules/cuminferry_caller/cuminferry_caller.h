/** @file
    cuminferry_caller: the library of callers outside the fleet. Plain HTTP does
    as well; this adds typed ends, tickets and well-behaved retries.

    - call/      a call, its three ends, how it is tried again
    - transport/ how one request gets to one node and back

    May use cuminferry_core.
*/
#pragma once

#include "cuminferry_caller/call/call_request.h"
#include "cuminferry_caller/call/call_result.h"
#include "cuminferry_caller/call/caller.h"
#include "cuminferry_caller/call/retry_manners.h"
#include "cuminferry_caller/transport/client_pool.h"
#include "cuminferry_caller/transport/transport.h"
