/** @file
    cuminferry_node: the process beside a backend server, as a library. Binds
    the decisions of policy and fleet to sockets, threads and clocks.

    - fleet/   table versions and members: the platform, UDP, peers
    - http/    the HTTP server and the watch on its connections
    - peers/   connections to other nodes
    - backend/ the hand-over to the backend server
    - shares/  this node's part of fleet-wide limits
    - runtime/ calls in, calls out, the backend server, draining

    May use all modules but cuminferry_caller.
*/
#pragma once

#include "cuminferry_node/fleet/fleet_runtime.h"
#include "cuminferry_node/runtime/node.h"
