/** @file
    cuminferry_core: what every other module needs and nothing more.

    - result/   numbered result codes and how they travel in an absl::Status
    - ids/      identities of calls, attempts, instances and their incarnations
    - time/     the clock of this machine since boot, hybrid logical time
    - random/   a seeded source of random numbers; there is no global one
    - text/     small helpers for ASCII text
    - threads/  the lock order, mutexes that check it, a pool of workers
    - http/     the names of the headers that callers and backend servers see
    - timeline/ the bounded ring of typed events that each process keeps
    - bytes/    digests

    May use no other module of cuminferry.
*/
#pragma once

#include "cuminferry_core/bytes/digest.h"
#include "cuminferry_core/http/header_names.h"
#include "cuminferry_core/ids/identifiers.h"
#include "cuminferry_core/random/random_source.h"
#include "cuminferry_core/result/result_code.h"
#include "cuminferry_core/text/ascii_text.h"
#include "cuminferry_core/threads/ranked_mutex.h"
#include "cuminferry_core/threads/worker_pool.h"
#include "cuminferry_core/time/boot_clock.h"
#include "cuminferry_core/time/hybrid_clock.h"
#include "cuminferry_core/timeline/event_log.h"
