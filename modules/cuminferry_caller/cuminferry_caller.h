/** @file
    cuminferry_caller: the library of callers outside the fleet. Plain HTTP does
    as well; this adds typed ends, tickets and well-behaved retries.

    May use cuminferry_core.
*/
#pragma once

#include "cuminferry_caller/call/call_result.h"
