/** @file
    cuminferry_relay: relays requests that clients and backend servers send as plain HTTP and
    that are routed by host and path.

    - io/   event loop of one thread, over sockets and timers
    - http/ streaming HTTP/1.1 server and client
    - path/ the handling of a request at the ingress node and at the target's node, and the
            node itself

    All requests are handled on the thread of one event loop, without locks. The writer of the
    log is the only other thread; a bounded queue decouples it from the loop.

    May depend on cuminferry_core, cuminferry_table, cuminferry_policy, cuminferry_fleet and
    cuminferry_wire.
*/
#pragma once

#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/io/event_loop.h"
#include "cuminferry_relay/io/tcp_listener.h"
#include "cuminferry_relay/path/relay_node.h"
