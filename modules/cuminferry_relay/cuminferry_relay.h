/** @file
    cuminferry_relay: the path of requests that clients and backend servers send
    as plain HTTP, known by host and path.

    - io/   one thread's loop over sockets and timers
    - http/ heads and bodies of HTTP/1.1 as they arrive, on both sides
    - path/ a request's way through two nodes, and the node itself

    The path runs on one loop's thread, without locks; the writer of the log is
    the only other thread, behind a bounded queue.

    May use cuminferry_core, cuminferry_table, cuminferry_policy, cuminferry_fleet
    and cuminferry_wire.
*/
#pragma once

#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/io/event_loop.h"
#include "cuminferry_relay/path/relay_node.h"
