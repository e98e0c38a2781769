/** @file
    cuminferry_core: the basic types that every other module uses.

    - result/   numbered result codes and their transport in an absl::Status
    - ids/      identifiers of requests, attempts and incarnations; endpoints
    - time/     the time since boot, hybrid logical time, counts of the last minutes
    - random/   a seeded random number generator; there is no global one
    - text/     small helpers for ASCII text
    - threads/  the lock order, mutexes that check it, a worker pool
    - http/     the names of the HTTP headers between callers, nodes and backend servers; what HTTP
                allows in the head of an answer and in the chunks of its body
    - timeline/ the bounded event log of a process
    - bytes/    digests

    The module uses no other module of cuminferry.
*/
#pragma once

#include "cuminferry_core/bytes/digest.h"
#include "cuminferry_core/http/answer_head_check.h"
#include "cuminferry_core/http/chunk_check.h"
#include "cuminferry_core/http/field_lines_check.h"
#include "cuminferry_core/http/header_names.h"
#include "cuminferry_core/ids/identifiers.h"
#include "cuminferry_core/random/random_source.h"
#include "cuminferry_core/result/result_code.h"
#include "cuminferry_core/text/ascii_text.h"
#include "cuminferry_core/text/streamed_match.h"
#include "cuminferry_core/threads/ranked_mutex.h"
#include "cuminferry_core/threads/worker_pool.h"
#include "cuminferry_core/time/boot_clock.h"
#include "cuminferry_core/time/hybrid_clock.h"
#include "cuminferry_core/time/recent_maximum.h"
#include "cuminferry_core/timeline/event_log.h"
