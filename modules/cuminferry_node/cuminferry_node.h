/** @file
    cuminferry_node: the process that runs alongside a backend server, as a library.
    Connects the logic of cuminferry_policy and cuminferry_fleet to sockets, threads and
    clocks.

    - fleet/   distribution of table versions and members: platform, UDP gossip, peers
    - http/    HTTP server and detection of closed client connections
    - peers/   connections to other nodes
    - backend/ requests to the backend server
    - shares/  this node's shares of fleet-wide limits
    - runtime/ incoming calls, outgoing calls, draining

    May use all modules except cuminferry_caller.
*/
#pragma once

#include "cuminferry_node/fleet/fleet_runtime.h"
#include "cuminferry_node/runtime/node.h"
